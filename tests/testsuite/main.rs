//! The integration tests: whole processes, and the library's decisions from outside.

mod publish;
mod publish_in_flight;
mod support;
mod token;
mod whole_path;
