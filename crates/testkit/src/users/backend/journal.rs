//! A journal of what a backend server does with each request. It is a file, and so outlives the process that writes it.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use super::lock;
use crate::clock;

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// Its head was read.
    Received,
    /// It was not run, and the response with this status says so.
    Rejected {
        /// Status of the response.
        status: u16,
    },
    /// It was not run for want of a slot, and its connection is reset or never answered.
    Ignored,
    /// It got a slot, and its run began.
    Begun,
    /// Its connection was closed while it waited for a slot or ran, and it was given up.
    Dropped,
    /// Its run ended, and its response is sent.
    Ended {
        /// Status of the response.
        status: u16,
    },
    /// Its response was written.
    Answered,
}

/// A line of a journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, in the microseconds of [`clock::monotonic_us`].
    pub at_us: u64,
    /// Instance name of the backend server.
    pub instance: String,
    /// Id of the request.
    pub id: String,
    /// Method, host, path and query.
    pub target: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// A journal that is being written.
#[derive(Debug)]
pub struct Journal {
    instance: String,
    file: Mutex<File>,
}

impl Journal {
    /// Opens a journal of the backend server `instance`; what the file contains is kept.
    pub fn open(path: &Path, instance: &str) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            instance: instance.to_owned(),
            file: Mutex::new(file),
        })
    }

    /// Writes a line, which is in the file when this returns, whatever becomes of the process.
    pub(super) fn record(&self, id: &str, target: &str, event: Event) {
        let entry = Entry {
            at_us: clock::monotonic_us(),
            instance: self.instance.clone(),
            id: id.to_owned(),
            target: target.to_owned(),
            event,
        };
        let line =
            serde_json::to_string(&entry).expect("an entry has only texts and numbers") + "\n";
        let written = lock(&self.file).write_all(line.as_bytes());
        written.expect("the journal can be written");
    }
}

/// Reads the journal at `path`. A last line that was not written completely is left out.
pub fn read(path: &Path) -> io::Result<Vec<Entry>> {
    let text = std::fs::read_to_string(path)?;
    let lines = text
        .split_inclusive('\n')
        .filter(|line| line.ends_with('\n'));
    lines
        .map(|line| serde_json::from_str(line).map_err(io::Error::other))
        .collect()
}
