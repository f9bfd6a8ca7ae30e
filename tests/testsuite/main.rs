//! The integration tests: whole processes, and the library's decisions from outside.

mod decide_admission;
mod fuzz;
mod fuzz_holder;
mod fuzz_membership;
mod fuzz_publish;
mod fuzz_table;
mod publish;
mod publish_in_flight;
mod requests_answers;
mod requests_chain;
mod requests_drain;
mod requests_untrusted;
mod spread_membership;
mod spread_network;
mod support;
mod token;
mod whole_path;
