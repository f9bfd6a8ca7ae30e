//! Load generator and benchmark tool for dragonflywall.
//!
//! `demo` runs a complete small mesh and checks the answers that callers receive. The other
//! commands run benchmarks and write tables, CSV files and plots below `docs/measurements`. Each
//! node is a process: this same program, started with the hidden command `node`, so that no other
//! program has to be built first. Every command ends without further input, listens on loopback
//! addresses only, and leaves nothing behind except the files that it writes.

mod all;
mod baseline;
mod capacity;
mod cli;
mod convergence;
mod demo;
mod error;
mod examples;
mod fit;
mod load;
mod node;
mod observed_mesh;
mod options;
mod process_stats;
mod publication;
mod report;
mod requests;
mod requirements;
mod rollout;
mod slopes;
mod wall_clock;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
