//! Reads the accepted configuration and its history from the platform.

use snafu::{OptionExt, ResultExt, Snafu};

use crate::core::configuration::{self, Configuration};
use crate::core::version::{Digest, Stamp, Version};
use crate::store::rows::{HEAD_KEY, HeadRow, VERSION_PREFIX, VersionRow, version_key};
use crate::store::{self, ObjectStore, Table};

/// A result whose error is [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Number of rows that are read at a time from the audit trail.
const PAGE_ROWS: u32 = 200;

/// Why a read failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The platform did not answer, or answered with an error.
    #[snafu(display("cannot read {item}"))]
    Platform {
        /// Description of the row or object.
        item: String,
        /// The error of the platform.
        source: store::Error,
    },
    /// A row does not have the expected form.
    #[snafu(display("row `{key}` does not have the expected form"))]
    Row {
        /// Key of the row.
        key: String,
        /// The JSON parse error.
        source: serde_json::Error,
    },
    /// A row or object that must exist does not.
    #[snafu(display("{item} is missing from the platform"))]
    Missing {
        /// Description of the row or object.
        item: String,
    },
    /// The stored content of a version is damaged or is not the content of that version.
    #[snafu(display("the content of version {version} is invalid"))]
    Content {
        /// The version to which the content belongs.
        version: Version,
        /// Why the content was rejected.
        source: configuration::Error,
    },
}

/// The accepted version and the revision of its row in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The accepted version; [`Stamp::NONE`] if nothing has been published.
    pub stamp: Stamp,
    /// Revision of the head row, for a conditional write; 0 if nothing has been published.
    pub revision: u64,
}

/// Reads the head, which is the accepted version.
pub async fn head(table: &impl Table) -> Result<Head> {
    let row = table.row(HEAD_KEY).await;
    let row = row.context(PlatformSnafu { item: "the head" })?;
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

/// Reads the audit row of one version.
pub async fn version_row(table: &impl Table, version: Version) -> Result<VersionRow> {
    let key = version_key(version);
    let row = table.row(&key).await.context(PlatformSnafu {
        item: format!("version {version}"),
    })?;
    let row = row.context(MissingSnafu {
        item: format!("version {version}"),
    })?;
    serde_json::from_str(&row.value).context(RowSnafu { key })
}

/// Reads the audit rows of all versions after `after`, oldest first.
pub async fn versions(table: &impl Table, after: Version) -> Result<Vec<VersionRow>> {
    let mut found = Vec::new();
    let mut after_key = version_key(after);
    loop {
        let page = table.rows(VERSION_PREFIX, &after_key, PAGE_ROWS).await;
        let page = page.context(PlatformSnafu {
            item: "the audit trail",
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

/// Reads the whole configuration of one version. For [`Version::NONE`] it is empty.
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
    let item = || format!("object {}", digest.short());
    let bytes = store.object(digest).await;
    let bytes = bytes.context(PlatformSnafu { item: item() })?;
    bytes.context(MissingSnafu { item: item() })
}
