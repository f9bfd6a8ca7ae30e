//! Reads the accepted configuration and its history from the platform.

use snafu::{OptionExt, ResultExt, Snafu};

use crate::core::configuration::{self, Configuration};
use crate::core::version::{Digest, Stamp, Version};
use crate::store::rows::{HEAD_KEY, HeadRow, VERSION_PREFIX, VersionRow, version_key};
use crate::store::{self, ObjectStore, Table};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

const PAGE_ROWS: u32 = 200;

/// Why nothing could be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The platform failed.
    #[snafu(display("reading {what}"))]
    Platform {
        /// What was read.
        what: String,
        /// As the platform put it.
        source: store::Error,
    },
    /// A row is not in the expected form.
    #[snafu(display("row `{key}` is not in the expected form"))]
    Row {
        /// Its key.
        key: String,
        /// From the JSON reader.
        source: serde_json::Error,
    },
    /// A row or object that must exist does not.
    #[snafu(display("{what} is missing from the platform"))]
    Missing {
        /// What is missing.
        what: String,
    },
    /// The object's content is wrong.
    #[snafu(display("the content of version {version} is wrong"))]
    Content {
        /// The version.
        version: Version,
        /// What is wrong.
        source: configuration::Error,
    },
}

/// The head and the table's revision of its row; revision 0 if nothing was ever published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The accepted version.
    pub stamp: Stamp,
    /// Revision of the head row, for a conditional write.
    pub revision: u64,
}

/// Reads the head.
pub async fn head(table: &impl Table) -> Result<Head> {
    let row = table.row(HEAD_KEY).await;
    let row = row.context(PlatformSnafu { what: "the head" })?;
    let Some(row) = row else {
        return Ok(Head {
            stamp: Stamp::NONE,
            revision: 0,
        });
    };
    let head: HeadRow = serde_json::from_str(&row.value).context(RowSnafu { key: HEAD_KEY })?;
    Ok(Head {
        stamp: head.stamp,
        revision: row.revision,
    })
}

/// Reads the audit line of one version.
pub async fn version_row(table: &impl Table, version: Version) -> Result<VersionRow> {
    let key = version_key(version);
    let row = table.row(&key).await.context(PlatformSnafu {
        what: format!("version {version}"),
    })?;
    let row = row.context(MissingSnafu {
        what: format!("version {version}"),
    })?;
    serde_json::from_str(&row.value).context(RowSnafu { key })
}

/// Reads the audit lines of all versions above `after`, oldest first.
pub async fn versions(table: &impl Table, after: Version) -> Result<Vec<VersionRow>> {
    let mut found = Vec::new();
    let mut after_key = version_key(after);
    loop {
        let page = table.rows(VERSION_PREFIX, &after_key, PAGE_ROWS).await;
        let page = page.context(PlatformSnafu {
            what: "the audit trail",
        })?;
        let Some(last) = page.keys().next_back() else {
            return Ok(found);
        };
        after_key.clone_from(last);
        for (key, row) in page {
            let version = serde_json::from_str(&row.value).context(RowSnafu { key })?;
            found.push(version);
        }
    }
}

/// Reads the whole configuration of one version; the empty one for [`Version::NONE`].
pub async fn configuration<P: Table + ObjectStore>(
    platform: &P,
    version: Version,
) -> Result<Configuration> {
    if version == Version::NONE {
        return Ok(Configuration::default());
    }
    let row = version_row(platform, version).await?;
    let bytes = object(platform, &row.snapshot_object).await?;
    Configuration::from_snapshot(&bytes, row.stamp).context(ContentSnafu { version })
}

/// Reads one object that must exist.
pub async fn object(store: &impl ObjectStore, digest: &Digest) -> Result<Vec<u8>> {
    let what = || format!("object {}", digest.short());
    let bytes = store.object(digest).await;
    let bytes = bytes.context(PlatformSnafu { what: what() })?;
    bytes.context(MissingSnafu { what: what() })
}
