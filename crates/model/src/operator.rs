//! Runs the product's own `publish` one platform call at a time.
//!
//! An operator's command is a function of the answers that it has had. [`Operator::progress_after`] runs it
//! anew on those answers up to its next call and says which that is, so a model can choose every
//! answer, let other operators run in between, and keep the answers as the command's whole state.
//! Runs are remembered by their answers, so each is made once.
//!
//! Objects are addressed by their content and versions' rows never change, so reading or writing
//! them at another moment makes no difference; those calls are answered at once.

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

/// A call of the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableCall {
    /// Read a row.
    Row(String),
    /// Run a transaction.
    Transact(Transaction),
}

/// What a call brought.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Answer {
    /// A row's revision and value.
    Row(Option<(u64, String)>),
    /// The transaction took effect.
    Committed,
    /// A condition did not hold.
    ConditionFailed,
    /// The platform is away; nothing was written.
    Unavailable,
    /// The answer was lost.
    Lost,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CommandOutcome {
    /// Done, as this version.
    Published(u64),
    /// Refused: the operator is told that nothing was changed.
    Refused,
    /// Not known; the version that the operator is told to resume with.
    Unknown(Option<u64>),
}

/// What a command does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It calls the platform.
    Call(TableCall),
    /// It has ended.
    Ended(CommandOutcome),
}

/// Which command is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Command {
    /// `publish`, or `publish --resume ID --expect N FILE...`.
    Publish {
        /// The version that the operator has seen.
        expected: Option<u64>,
        /// Whether it goes on with an earlier run.
        resumed: bool,
        /// Another id than the first run's, by a mutation.
        new_id: bool,
    },
    /// `publish --resume ID` alone.
    Settle,
}

/// One operator: who, under which id, which change.
#[derive(Debug)]
pub struct Operator {
    id: String,
    records: Vec<TeamRecord>,
    objects: Arc<Objects>,
    cached_runs: RefCell<HashMap<(Command, Vec<Answer>), Progress>>,
}

/// The object store of a model: everything that anybody has stored.
#[derive(Debug, Default)]
pub struct Objects(Mutex<BTreeMap<Digest, Vec<u8>>>);

impl Objects {
    /// The configuration that a version's row names.
    pub fn configuration(&self, row: &VersionRow) -> Configuration {
        let objects = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = objects.get(&row.snapshot_object).expect("stored before");
        Configuration::from_snapshot(bytes, row.stamp).expect("stored whole")
    }
}

impl Operator {
    /// An operator who publishes `records` under `id`.
    pub fn new(id: &str, records: Vec<TeamRecord>, objects: &Arc<Objects>) -> Self {
        Self {
            id: id.to_owned(),
            records,
            objects: Arc::clone(objects),
            cached_runs: RefCell::default(),
        }
    }

    /// The publication's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The records that it publishes.
    pub fn records(&self) -> &[TeamRecord] {
        &self.records
    }

    /// What `command` does after `answers`.
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
                Progress::Call(call.expect("it waits for nothing but the platform"))
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
            // Looking into a lost answer within the same run waits for time to pass; the model
            // does it by running the command again.
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

/// The platform of one run: gives the answers in turn, and then none.
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
        reason: "away".to_owned(),
    }
}

impl Table for ReplayPlatform {
    async fn transact(&self, transaction: &Transaction) -> store::Result<Outcome> {
        match self.answer(TableCall::Transact(transaction.clone())).await {
            Answer::Committed => Ok(Outcome::Committed),
            Answer::ConditionFailed => Ok(Outcome::ConditionFailed),
            Answer::Lost => Err(store::Error::OutcomeUnknown {
                reason: "lost".to_owned(),
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

/// Whether a row never changes once it is there.
pub fn is_immutable_row(key: &str) -> bool {
    key.starts_with(VERSION_PREFIX)
}

/// Number of a version, for messages and comparisons.
pub fn version_number(stamp: Stamp) -> u64 {
    stamp.version.0
}
