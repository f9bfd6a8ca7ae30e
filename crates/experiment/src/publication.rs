//! Publishes configurations in the same way as the command `dragonflywall publish`.

use std::time::Instant;

use dragonflywall::core::configuration::TeamRecord;
use dragonflywall::core::names::RegionName;
use dragonflywall::core::team_file;
use dragonflywall::ops::command::hint::{self, HintOptions};
use dragonflywall::ops::command::publish::{PublishOptions, Published, publish};
use dragonflywall::peer::client::DialOptions;
use dragonflywall::store::http::HttpStore;
use snafu::ResultExt;

use crate::error::{Error, PublishSnafu, Result};
use crate::wall_clock::unix_time_us;

/// A version that has been committed, and the time of its commit.
#[derive(Debug)]
pub(crate) struct Publication {
    /// The outcome of the publish operation, with the version and its digest.
    pub(crate) published: Published,
    /// Monotonic time at which the commit returned.
    pub(crate) committed_at: Instant,
    /// The same moment in microseconds since the Unix epoch, for comparison with the time stamps
    /// that nodes log.
    pub(crate) committed_unix_us: u64,
    /// Number of nodes that accepted a hint about the new version.
    pub(crate) hinted_nodes: usize,
}

/// Parses the texts of team files. An invalid file is an error, because all files come from the
/// examples or from this program.
pub(crate) fn parse_team_files(files: &[String]) -> Result<Vec<TeamRecord>> {
    let parse_file = |text: &String| {
        team_file::parse(text).map_err(|findings| Error::Unexpected {
            text: format!("a team file is invalid: {findings:?}"),
        })
    };
    files.iter().map(parse_file).collect()
}

/// Publishes `records` and then sends hints about the new version to a few nodes of `region`, which is
/// the operator's region. If `region` is `None`, they go to the region that answers first. Fails if
/// the published version is not `expected_version`.
pub(crate) async fn publish_and_hint(
    store: &HttpStore,
    operator: &str,
    region: Option<&str>,
    records: Vec<TeamRecord>,
    expected_version: u64,
) -> Result<Publication> {
    let options = PublishOptions::builder()
        .publish_id(format!("{:016x}", rand::random::<u64>()))
        .operator(operator)
        .time_ms(unix_time_us() / 1_000)
        .records(records)
        .build();
    let published = publish(store, &options).await.context(PublishSnafu {
        version: expected_version,
    })?;
    let committed_at = Instant::now();
    let committed_unix_us = unix_time_us();
    let hint_options = HintOptions {
        head: published.stamp,
        dial: DialOptions::default(),
        region: region.map(RegionName::new),
    };
    let hinted_nodes = hint::send_hints(store, &hint_options).await;
    if published.stamp.version.0 != expected_version {
        return Err(Error::Unexpected {
            text: format!(
                "expected version {expected_version}, published {}",
                published.stamp
            ),
        });
    }
    Ok(Publication {
        published,
        committed_at,
        committed_unix_us,
        hinted_nodes,
    })
}
