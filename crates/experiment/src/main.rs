//! Load and experiment tool of dragonflywall.
//!
//! `demo` runs a whole small mesh; the other commands measure one and write tables, CSV files and
//! plots into `docs/`. Every command starts its nodes as processes: copies of this program run
//! with the hidden command `node`, so that nothing else needs to be built first. Each run ends by
//! itself, listens on loopback addresses only, and leaves nothing behind but its files.

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
mod slopes;
mod wall_clock;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
