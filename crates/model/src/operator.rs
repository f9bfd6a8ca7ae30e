//! Runs the product's own `publish` command one platform call at a time.
//!
//! What a command does is determined by the answers to its calls. [`Operator::progress_after`] runs
//! the command from its start with given answers and returns the call that follows them. A
//! specification can therefore choose every answer, interleave several operators, and store the
//! answers as the whole state of a command. Results are cached, so each list of answers is run once.
//!
//! Objects are addressed by content and version rows never change, so the time at which they are read
//! or written makes no difference. These calls are answered at once.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use dragonflywall::core::configuration::{Configuration, TeamRecord};
use dragonflywall::core::version::{Digest, Stamp, Version};
use dragonflywall::ops::command::publish::{self, Error, PublishOptions};
use dragonflywall::store::rows::{VERSION_PREFIX, VersionRow};
use dragonflywall::store::{self, ObjectStore, Outcome, Row, Table, Transaction};

/// A call to the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableCall {
    /// Reads the row with the given key.
    Row(String),
    /// Runs a conditional transaction.
    Transact(Transaction),
}

/// The answer to a [`TableCall`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    /// The row's revision and value, or `None` if the row does not exist.
    Row(Option<(u64, String)>),
    /// The transaction took effect.
    Committed,
    /// A condition of the transaction did not hold, so nothing was written.
    ConditionFailed,
    /// The platform is unavailable, and nothing was written.
    Unavailable,
    /// No answer arrived. The transaction may have taken effect, may still do so, or may be lost.
    Lost,
}

/// The outcome that a command reports to its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CommandOutcome {
    /// The change was published as the given version.
    Published(u64),
    /// The change was refused, and nothing was changed.
    Refused,
    /// The outcome is unknown. The version, if any, is the one that the operator has to pass as
    /// `--expect` to resume the publication.
    Unknown(Option<u64>),
}

/// What a command does after it has received its answers so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It calls the platform's table and waits for the answer.
    Call(TableCall),
    /// It has ended with an outcome.
    Ended(CommandOutcome),
}

/// A command that an operator runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Command {
    /// `publish`, or `publish --resume ID --expect N FILE...`.
    Publish {
        /// The version on which the operator bases the change (`--expect`).
        expected: Option<u64>,
        /// Whether the command resumes an earlier run (`--resume`).
        resumed: bool,
        /// Whether the id differs from that of the first run, which only a mutation causes.
        new_id: bool,
    },
    /// `publish --resume ID` without files: finds out whether the publication was committed, and if
    /// not, makes sure that it never is.
    Settle,
}

/// An operator, with the id and the records of the change to publish.
#[derive(Debug)]
pub struct Operator {
    id: String,
    records: Vec<TeamRecord>,
    objects: Arc<Objects>,
    cached_runs: RefCell<HashMap<(Command, Vec<Answer>), Progress>>,
}

/// The object store that all operators of a specification share.
#[derive(Debug, Default)]
pub struct Objects(Mutex<BTreeMap<Digest, Vec<u8>>>);

impl Objects {
    /// The configuration of the version in `row`, read from its snapshot.
    pub fn configuration(&self, row: &VersionRow) -> Configuration {
        let objects = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = objects
            .get(&row.snapshot_object)
            .expect("a snapshot is stored before its version is committed");
        Configuration::from_snapshot(bytes, row.stamp).expect("a stored snapshot is intact")
    }
}

impl Operator {
    /// Creates an operator that publishes `records` under `id` and stores objects in `objects`.
    pub fn new(id: &str, records: Vec<TeamRecord>, objects: &Arc<Objects>) -> Self {
        Self {
            id: id.to_owned(),
            records,
            objects: Arc::clone(objects),
            cached_runs: RefCell::default(),
        }
    }

    /// Id of the publication, without the suffix that a mutation adds.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The team records that the operator publishes.
    pub fn records(&self) -> &[TeamRecord] {
        &self.records
    }

    /// Returns what `command` does after it has received `answers`.
    pub fn progress_after(&self, command: Command, answers: &[Answer]) -> Progress {
        let key = (command, answers.to_vec());
        if let Some(progress) = self.cached_runs.borrow().get(&key) {
            return progress.clone();
        }
        let progress = self.replay(command, answers);
        self.cached_runs.borrow_mut().insert(key, progress.clone());
        progress
    }

    fn replay(&self, command: Command, answers: &[Answer]) -> Progress {
        let platform = ReplayPlatform {
            answers: Mutex::new(answers.iter().cloned().collect()),
            pending_call: Mutex::default(),
            objects: Arc::clone(&self.objects),
        };
        let mut context = Context::from_waker(Waker::noop());
        let outcome = match command {
            Command::Publish {
                expected,
                resumed,
                new_id,
            } => {
                let options = self.options(expected, resumed, new_id);
                let command_run = pin!(publish::publish(&platform, &options));
                command_run.poll(&mut context).map(|result| match result {
                    Ok(published) => CommandOutcome::Published(published.stamp.version.0),
                    Err(error) => outcome_of_error(&error),
                })
            }
            Command::Settle => {
                let command_run = pin!(publish::abandon(&platform, &self.id, "operator", 0));
                command_run.poll(&mut context).map(|result| match result {
                    Ok(Some(version)) => CommandOutcome::Published(version.0),
                    Ok(None) => CommandOutcome::Refused,
                    Err(error) => outcome_of_error(&error),
                })
            }
        };
        match outcome {
            Poll::Ready(outcome) => Progress::Ended(outcome),
            Poll::Pending => {
                let call = platform.pending_call.into_inner();
                let call = call.unwrap_or_else(PoisonError::into_inner);
                Progress::Call(call.expect("a pending command waits for a platform call"))
            }
        }
    }

    fn options(&self, expected: Option<u64>, resumed: bool, new_id: bool) -> PublishOptions {
        let suffix = if new_id { "-again" } else { "" };
        PublishOptions::builder()
            .publish_id(format!("{}{suffix}", self.id))
            .operator("operator")
            .time_ms(0)
            .records(self.records.clone())
            .maybe_expected(expected.map(Version))
            .resumed(resumed)
            // No time passes in the specification, so a command must not wait to find out what became of a
            // transaction without an answer. The specification runs the command again instead.
            .settle_limit_ms(0)
            .build()
    }
}

fn outcome_of_error(error: &Error) -> CommandOutcome {
    match error {
        Error::OutcomeUnknown { expected, .. } | Error::Unsettled { expected, .. } => {
            CommandOutcome::Unknown(expected.map(|version| version.0))
        }
        _ => CommandOutcome::Refused,
    }
}

/// A platform for one run of a command. It gives the prepared answers in order. The call after the
/// last answer is stored in `pending_call` and never returns.
struct ReplayPlatform {
    answers: Mutex<VecDeque<Answer>>,
    pending_call: Mutex<Option<TableCall>>,
    objects: Arc<Objects>,
}

impl ReplayPlatform {
    async fn answer(&self, call: TableCall) -> Answer {
        let answer = self
            .answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front();
        let Some(answer) = answer else {
            *self
                .pending_call
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(call);
            return std::future::pending().await;
        };
        answer
    }
}

fn unavailable() -> store::Error {
    store::Error::Unavailable {
        reason: "the platform is unavailable".to_owned(),
    }
}

impl Table for ReplayPlatform {
    async fn transact(&self, transaction: &Transaction) -> store::Result<Outcome> {
        match self.answer(TableCall::Transact(transaction.clone())).await {
            Answer::Committed => Ok(Outcome::Committed),
            Answer::ConditionFailed => Ok(Outcome::ConditionFailed),
            Answer::Lost => Err(store::Error::OutcomeUnknown {
                reason: "the answer was lost".to_owned(),
            }),
            Answer::Unavailable | Answer::Row(_) => Err(unavailable()),
        }
    }

    async fn row(&self, key: &str) -> store::Result<Option<Row>> {
        match self.answer(TableCall::Row(key.to_owned())).await {
            Answer::Row(row) => Ok(row.map(|(revision, value)| Row { revision, value })),
            _ => Err(unavailable()),
        }
    }

    async fn rows(&self, _: &str, _: &str, _: u32) -> store::Result<BTreeMap<String, Row>> {
        Err(unavailable())
    }
}

impl ObjectStore for ReplayPlatform {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> store::Result<()> {
        let mut objects = self
            .objects
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        objects.insert(*digest, bytes.to_vec());
        Ok(())
    }

    async fn object(&self, digest: &Digest) -> store::Result<Option<Vec<u8>>> {
        let objects = self.objects.0.lock();
        let objects = objects.unwrap_or_else(PoisonError::into_inner);
        Ok(objects.get(digest).cloned())
    }
}

/// Whether the row with this key never changes after it is written, as version rows do not.
pub fn is_immutable_row(key: &str) -> bool {
    key.starts_with(VERSION_PREFIX)
}

/// The version number in a stamp.
pub fn version_number(stamp: Stamp) -> u64 {
    stamp.version.0
}
