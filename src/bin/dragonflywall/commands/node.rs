//! `node`: runs the node of a VM. It is the only command that runs as a service.

use std::ffi::OsString;

use dragonflywall::node::{self, Settings, logging, settings};
use tokio::signal::unix::{SignalKind, signal};

use super::Command;
use crate::cli::{Failure, Result};

pub(crate) const COMMAND: Command = Command {
    name: "node",
    summary: "run the node of this VM until SIGTERM",
    help,
    run,
};

fn help() -> String {
    format!(
        "Runs the node of this VM: proxy, member of the mesh, carrier of configuration.\n\
         Prints its addresses as one line of JSON and then its log, and drains on SIGTERM or SIGINT.\n\n\
         Usage: dragonflywall node [OPTIONS]\n\nOptions [environment variable]:\n{}",
        settings::help()
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let settings = settings::parse(arguments, |name| std::env::var(name).ok())
        .map_err(|error| Failure::Usage(error.to_string()))?;
    logging::init(settings.log_format, settings.log_level);
    let ended = node::runtime().block_on(serve(settings));
    logging::flush();
    ended
}

async fn serve(settings: Settings) -> Result {
    let handle = node::start(settings).await.map_err(|error| {
        Failure::refused(
            &error,
            "check that the address belongs to this VM and is not in use",
        )
    })?;
    println!("{}", handle.addresses_json());
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    handle.drain().await;
    Ok(())
}
