//! The hidden command `node`: one node process, run as the product's own program runs it.

use std::ffi::OsString;
use std::os::unix::process::parent_id;
use std::time::Duration;

use dragonflywall::node::{self, Settings, logging, settings};
use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Error, Result};

const PARENT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) fn run(arguments: Vec<OsString>) -> Result {
    let settings =
        settings::parse(arguments, |name| std::env::var(name).ok()).map_err(|error| {
            Error::Node {
                text: error.to_string(),
            }
        })?;
    logging::init(settings.log_format, settings.log_level);
    node::runtime().block_on(run_node(settings))
}

async fn run_node(settings: Settings) -> Result {
    let handle = node::start(settings).await.map_err(|error| Error::Node {
        text: error.to_string(),
    })?;
    println!("{}", handle.addresses_json());
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT can be handled");
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
        () = parent_exited() => std::process::exit(1),
    }
    handle.drain().await;
    Ok(())
}

/// Ends when the process that started this one has ended. An experiment that is killed cannot
/// stop its nodes any more, and hundreds of them would go on for ever.
async fn parent_exited() {
    let parent = parent_id();
    while parent_id() == parent {
        tokio::time::sleep(PARENT_CHECK_INTERVAL).await;
    }
}
