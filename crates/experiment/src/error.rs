//! Errors of the experiment commands.

use snafu::Snafu;

/// Result of a command or of one of its steps.
pub(crate) type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// An unknown command, a missing argument or an invalid flag.
    #[snafu(display("{text}"))]
    Usage { text: String },
    /// A node process has invalid settings, or could not listen.
    #[snafu(display("{text}"))]
    Node { text: String },
    /// A node, a stand-in of the test kit or a backend server did not start.
    #[snafu(display("the mesh did not start: {text}"))]
    Start { text: String },
    /// A version of the configuration could not be published.
    #[snafu(display("cannot publish version {version}"))]
    Publish {
        version: u64,
        #[snafu(source(from(dragonflywall::ops::command::publish::Error, Box::new)))]
        source: Box<dragonflywall::ops::command::publish::Error>,
    },
    /// The mesh behaved differently than the command requires, or results are unusable.
    #[snafu(display("{text}"))]
    Unexpected { text: String },
    /// The page that is to be updated could not be read.
    #[snafu(display("cannot read {path}"))]
    Read {
        path: String,
        source: std::io::Error,
    },
    /// A result file or its directory could not be written.
    #[snafu(display("cannot write {path}"))]
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
