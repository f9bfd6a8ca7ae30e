//! The integration tests: whole processes, and the library's decisions from outside.

mod check;
mod decide_admission;
mod decide_placement;
mod decide_retry;
mod decide_simulation;
mod documentation;
mod ledger;
mod operator_commands;
mod publish;
mod publish_in_flight;
mod requests_answers;
mod requests_chain;
mod requests_drain;
mod requests_streams;
mod requests_untrusted;
mod simulation;
mod spread_membership;
mod spread_network;
mod support;
mod token;
mod whole_path;
