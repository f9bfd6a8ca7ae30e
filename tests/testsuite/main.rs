//! The integration tests: whole processes, and the library's decisions from outside.

mod decide_admission;
mod publish;
mod publish_in_flight;
mod requests_answers;
mod requests_chain;
mod requests_drain;
mod requests_untrusted;
mod support;
mod token;
mod whole_path;
