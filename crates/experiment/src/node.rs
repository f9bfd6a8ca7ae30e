//! The hidden command `node`: runs one node, as `dragonflywall node` does.

use std::ffi::OsString;
use std::os::unix::process::parent_id;
use std::time::Duration;

use dragonflywall::node::{self, Settings, logging, settings};
use testkit::process::PARENT_ID_VARIABLE;
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
    let mut terminate =
        signal(SignalKind::terminate()).expect("the SIGTERM handler can be installed");
    let mut interrupt =
        signal(SignalKind::interrupt()).expect("the SIGINT handler can be installed");
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
        () = parent_exited() => std::process::exit(1),
    }
    handle.drain().await;
    Ok(())
}

/// Returns when the parent process has ended, which shows as a new parent id. An experiment that
/// is killed cannot stop its nodes; without this check hundreds of node processes would keep
/// running. The parent may have ended before this process runs, so it gives its id.
async fn parent_exited() {
    let given = std::env::var(PARENT_ID_VARIABLE).ok();
    let given = given.and_then(|text| text.parse().ok());
    let parent = given.unwrap_or_else(parent_id);
    while parent_id() == parent {
        tokio::time::sleep(PARENT_CHECK_INTERVAL).await;
    }
}
