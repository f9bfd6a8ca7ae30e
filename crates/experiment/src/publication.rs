//! Publications as an operator makes them, through the product's own operations.

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
use crate::wall_clock::wall_us;

/// A publication that took effect.
#[derive(Debug)]
pub(crate) struct Accepted {
    /// What was published.
    pub(crate) published: Published,
    /// When the commit had returned.
    pub(crate) at: Instant,
    /// The same, in microseconds since the epoch, to compare with nodes' time stamps.
    pub(crate) wall_us: u64,
    /// Nodes that took a hint.
    pub(crate) hinted: usize,
}

/// Parses team files that must be right.
pub(crate) fn records(files: &[String]) -> Result<Vec<TeamRecord>> {
    let parse = |text: &String| {
        team_file::parse(text).map_err(|findings| Error::Unexpected {
            text: format!("an example file is refused: {findings:?}"),
        })
    };
    files.iter().map(parse).collect()
}

/// Publishes `records` and hints nodes, as `dragonflywall publish` does.
pub(crate) async fn accept(
    platform: &HttpStore,
    operator: &str,
    region: Option<&str>,
    records: Vec<TeamRecord>,
    expected_version: u64,
) -> Result<Accepted> {
    let options = PublishOptions::builder()
        .publish_id(format!("{:016x}", rand::random::<u64>()))
        .operator(operator)
        .time_ms(wall_us() / 1_000)
        .records(records)
        .build();
    let published = publish(platform, &options).await.context(PublishSnafu {
        version: expected_version,
    })?;
    let at = Instant::now();
    let wall_us = wall_us();
    let hints = HintOptions {
        head: published.stamp,
        dial: DialOptions::default(),
        region: region.map(RegionName::new),
    };
    let hinted = hint::send_hints(platform, &hints).await;
    if published.stamp.version.0 != expected_version {
        return Err(Error::Unexpected {
            text: format!(
                "expected version {expected_version}, published {}",
                published.stamp
            ),
        });
    }
    Ok(Accepted {
        published,
        at,
        wall_us,
        hinted,
    })
}
