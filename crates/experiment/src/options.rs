//! Flags that the measuring commands share.

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use lexopt::ValueExt;

use crate::error::Result;

/// How much to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scale {
    /// Small sizes: shows that everything runs.
    Quick,
    /// All sizes: the figures of the documentation.
    Full,
}

impl Scale {
    /// The flag that asks for it.
    pub(crate) fn flag(self) -> &'static str {
        match self {
            Self::Quick => "--quick",
            Self::Full => "--full",
        }
    }
}

/// Flags of a measuring command.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) scale: Scale,
    /// The directory of the documentation that results are written into.
    pub(crate) docs: PathBuf,
    /// Only this size, where sizes are measured.
    pub(crate) nodes: Option<usize>,
}

impl Options {
    /// Parses `--quick`, `--full`, `--docs DIR`, `--nodes N`.
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
