//! What a run may fail with.

use snafu::Snafu;

/// Result of a run.
pub(crate) type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Why a run gave no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The command line is wrong.
    #[snafu(display("{text}"))]
    Usage { text: String },
    /// A node's settings are wrong, or it could not listen.
    #[snafu(display("{text}"))]
    Node { text: String },
    /// A part of the mesh did not start.
    #[snafu(display("the mesh did not start: {text}"))]
    Start { text: String },
    /// A publication failed.
    #[snafu(display("publishing version {version}"))]
    Publish {
        version: u64,
        #[snafu(source(from(dragonflywall::ops::command::publish::Error, Box::new)))]
        source: Box<dragonflywall::ops::command::publish::Error>,
    },
    /// The mesh did something else than it should.
    #[snafu(display("{text}"))]
    Unexpected { text: String },
    /// A file could not be read.
    #[snafu(display("reading {path}"))]
    Read {
        path: String,
        source: std::io::Error,
    },
    /// A file could not be written.
    #[snafu(display("writing {path}"))]
    Write {
        path: String,
        source: std::io::Error,
    },
}

impl From<lexopt::Error> for Error {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage {
            text: error.to_string(),
        }
    }
}
