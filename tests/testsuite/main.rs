//! The integration tests: whole processes, and the library's decisions from outside.

mod support;
mod token;
mod whole_path;
