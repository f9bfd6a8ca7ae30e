//! Command line flags that all benchmark commands share.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use lexopt::ValueExt;

use crate::error::Result;

/// How many sizes a benchmark covers, and for how long it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scale {
    /// Small sizes and short runs, to check that the benchmark works.
    Quick,
    /// All sizes; gives the numbers that the documentation publishes.
    Full,
}

impl Scale {
    /// The command line flag that selects this scale.
    pub(crate) fn flag(self) -> &'static str {
        match self {
            Self::Quick => "--quick",
            Self::Full => "--full",
        }
    }
}

/// Parsed flags of a benchmark command.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) scale: Scale,
    /// Documentation directory; results are written below it.
    pub(crate) docs: PathBuf,
    /// Measures only this number of nodes; used by `convergence`.
    pub(crate) nodes: Option<usize>,
}

impl Options {
    /// Parses `--quick`, `--full`, `--docs DIR` and `--nodes N`. Without flags: quick, and the
    /// `docs` directory of this repository.
    pub(crate) fn parse(arguments: Vec<OsString>) -> Result<Self> {
        let mut options = Self {
            scale: Scale::Quick,
            docs: Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs"),
            nodes: None,
        };
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                lexopt::Arg::Long("quick") => options.scale = Scale::Quick,
                lexopt::Arg::Long("full") => options.scale = Scale::Full,
                lexopt::Arg::Long("docs") => options.docs = parser.value()?.string()?.into(),
                lexopt::Arg::Long("nodes") => options.nodes = Some(parser.value()?.parse()?),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }
}
