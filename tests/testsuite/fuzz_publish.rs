//! Runs `publish` against an in-memory store that loses requests and answers, delivers lost commits
//! late, and lets another operator publish between any two calls. Each accepted version must equal
//! the one before with the records of exactly one publication replaced.

use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use dragonflywall::core::configuration::{Configuration, TeamRecord};
use dragonflywall::core::routing::RouteTable;
use dragonflywall::core::team_file;
use dragonflywall::core::version::{Digest, Version};
use dragonflywall::ops::command::publish::{self, PublishOptions};
use dragonflywall::ops::query::accepted;
use dragonflywall::store::{
    Condition, Error, ObjectStore, Outcome, Result, Row, Table, Transaction,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fuzz;

const TEAMS: [&str; 3] = ["armazem", "balanco", "pesagem"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The platform is unavailable for this call.
    Unavailable,
    /// A commit does not arrive, or arrives late.
    RequestLost,
    /// A commit takes effect, but its answer is lost.
    AnswerLost,
}

/// A team's new record: the resource that it offers, and the team and resource that it calls, if any.
#[derive(Clone, Copy, Debug)]
struct Change {
    team: usize,
    resource: usize,
    calls: Option<(usize, usize)>,
}

#[derive(Clone, Debug)]
enum Action {
    Publish {
        change: Change,
        /// Faults by the number of the call to the platform at which they occur.
        faults: BTreeMap<u32, Fault>,
        /// A change that another operator publishes, and the number of the call before which it does.
        competing_publication: Option<(u32, Change)>,
    },
    /// Resumes the last publication whose outcome is unknown.
    Resume { faults: BTreeMap<u32, Fault> },
    /// Settles the last publication whose outcome is unknown without publishing it.
    Settle { faults: BTreeMap<u32, Fault> },
    /// Delivers all commits that were lost on their way.
    DeliverDelayedCommits,
}

const FAULTS: &[Fault] = &[
    Fault::Unavailable,
    Fault::RequestLost,
    Fault::AnswerLost,
    Fault::AnswerLost,
];

struct PublishScript;

fn change() -> impl Strategy<Value = Change> {
    let calls = prop::option::weighted(0.3, (0..TEAMS.len(), 0..3_usize));
    (0..TEAMS.len(), 0..3_usize, calls).prop_map(|(team, resource, calls)| Change {
        team,
        resource,
        calls,
    })
}

fn faults() -> impl Strategy<Value = BTreeMap<u32, Fault>> {
    prop::collection::btree_map(0..12_u32, prop::sample::select(FAULTS), 0..4)
}

impl ReferenceStateMachine for PublishScript {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Action> {
        let competing_publication = prop::option::of((0..12_u32, change()));
        let publish = (change(), faults(), competing_publication);
        prop_oneof![
            4 => publish.prop_map(|(change, faults, competing_publication)| Action::Publish { change, faults, competing_publication }),
            2 => faults().prop_map(|faults| Action::Resume { faults }),
            1 => faults().prop_map(|faults| Action::Settle { faults }),
            1 => Just(Action::DeliverDelayedCommits),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

#[derive(Debug, Default)]
struct MemoryStore {
    rows: BTreeMap<String, (u64, String)>,
    objects: BTreeMap<Digest, Vec<u8>>,
    delayed_commits: Vec<Transaction>,
}

impl MemoryStore {
    fn execute(&mut self, transaction: &Transaction) -> Outcome {
        let revision = |key: &String| self.rows.get(key).map_or(0, |row| row.0);
        let holds = transaction
            .conditions
            .iter()
            .all(|condition| match condition {
                Condition::Absent { key } => revision(key) == 0,
                Condition::Revision {
                    key,
                    revision: expected,
                } => revision(key) == *expected,
            });
        if !holds {
            return Outcome::ConditionFailed;
        }
        for (key, value) in &transaction.puts {
            let row = self.rows.entry(key.clone()).or_default();
            *row = (row.0 + 1, value.clone());
        }
        Outcome::Committed
    }
}

/// Access of one operator to the store, with faults at some calls.
struct FaultyPlatform {
    store: Arc<Mutex<MemoryStore>>,
    calls: Mutex<u32>,
    faults: BTreeMap<u32, Fault>,
    competing_publication: Option<(u32, PublishOptions)>,
}

impl FaultyPlatform {
    fn new(store: &Arc<Mutex<MemoryStore>>, faults: BTreeMap<u32, Fault>) -> Self {
        Self {
            store: Arc::clone(store),
            calls: Mutex::new(0),
            faults,
            competing_publication: None,
        }
    }

    fn store(&self) -> MutexGuard<'_, MemoryStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and returns its fault. Runs the competing publication first if it is due before
    /// this call.
    fn start_call(&self) -> Option<Fault> {
        let call = {
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            *calls += 1;
            *calls - 1
        };
        if let Some((call_number, options)) = &self.competing_publication
            && *call_number == call
        {
            let other = Self::new(&self.store, BTreeMap::new());
            // The competing publication may be refused as well.
            let _ = poll_to_completion(publish::publish(&other, options));
        }
        self.faults.get(&call).copied()
    }
}

/// Runs a future that completes at the first poll. The in-memory store never waits, and the settle
/// limit of 0 ms leaves no time to wait after a lost answer.
fn poll_to_completion<T>(future: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    match pin!(future).poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the future did not complete at the first poll"),
    }
}

fn unavailable<T>() -> Result<T> {
    Err(Error::Unavailable {
        reason: "simulated outage".to_owned(),
    })
}

impl Table for FaultyPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        let fault = self.start_call();
        let mut store = self.store();
        let lost = Err(Error::OutcomeUnknown {
            reason: "simulated loss".to_owned(),
        });
        match fault {
            None => Ok(store.execute(transaction)),
            Some(Fault::Unavailable) => unavailable(),
            Some(Fault::RequestLost) => {
                store.delayed_commits.push(transaction.clone());
                lost
            }
            Some(Fault::AnswerLost) => {
                store.execute(transaction);
                lost
            }
        }
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        if self.start_call().is_some() {
            return unavailable();
        }
        let row = self.store().rows.get(key).cloned();
        Ok(row.map(|(revision, value)| Row { revision, value }))
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        let store = self.store();
        let wanted = |key: &str| key.starts_with(prefix) && key > after;
        let rows = store.rows.iter().filter(|(key, _)| wanted(key));
        let row = |(key, (revision, value)): (&String, &(u64, String))| {
            let row = Row {
                revision: *revision,
                value: value.clone(),
            };
            (key.clone(), row)
        };
        Ok(rows.take(limit as usize).map(row).collect())
    }
}

impl ObjectStore for FaultyPlatform {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> Result<()> {
        if self.start_call().is_some() {
            return unavailable();
        }
        self.store().objects.insert(*digest, bytes.to_vec());
        Ok(())
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        if self.start_call().is_some() {
            return unavailable();
        }
        Ok(self.store().objects.get(digest).cloned())
    }
}

/// Final outcome of a publication as reported to its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportedOutcome {
    Published(Version),
    Refused,
}

struct System {
    store: Arc<Mutex<MemoryStore>>,
    /// Record of each publication by its id.
    requested_records: BTreeMap<String, TeamRecord>,
    /// Reported outcome of each publication by its id.
    reported: BTreeMap<String, ReportedOutcome>,
    /// The last publication whose outcome is unknown.
    unsettled: Option<PublishOptions>,
    /// Accepted configurations after the last action, oldest first.
    accepted: Vec<Configuration>,
}

fn record(change: Change) -> TeamRecord {
    let team = TEAMS[change.team];
    let calls = change.calls.map_or(String::new(), |(team, resource)| {
        format!("[calls]\n{} = [\"r{resource}\"]\n", TEAMS[team])
    });
    let resource = change.resource;
    let text = format!(
        "team = \"{team}\"\n[service.{team}]\nslots_per_endpoint = 6\n\
         connections_per_endpoint = 120\n[service.{team}.resource.r{resource}]\n\
         idempotent = false\n[[service.{team}.route]]\npath = \"/\"\n\
         resource = \"r{resource}\"\n{calls}"
    );
    team_file::parse(&text).expect("the team file is valid")
}

impl System {
    fn options(&mut self, change: Change) -> PublishOptions {
        let id = format!("id-{}", self.requested_records.len());
        let record = record(change);
        self.requested_records.insert(id.clone(), record.clone());
        PublishOptions::builder()
            .publish_id(id)
            .operator("ana")
            .time_ms(0)
            .records(vec![record])
            .settle_limit_ms(0)
            .build()
    }

    fn publish(&mut self, platform: &FaultyPlatform, mut options: PublishOptions) {
        let id = options.publish_id.clone();
        let result = poll_to_completion(publish::publish(platform, &options));
        match result {
            Ok(published) => {
                let reported = ReportedOutcome::Published(published.stamp.version);
                self.reported.insert(id, reported);
            }
            Err(
                publish::Error::OutcomeUnknown { expected, .. }
                | publish::Error::Unsettled { expected, .. },
            ) => {
                options.expected = expected.or(options.expected);
                options.resumed = true;
                self.unsettled = Some(options);
            }
            Err(_) => {
                self.reported.insert(id, ReportedOutcome::Refused);
            }
        }
    }

    fn settle(&mut self, platform: &FaultyPlatform, options: PublishOptions) {
        let id = options.publish_id.clone();
        let result = publish::abandon(platform, &id, "ana", 0);
        match poll_to_completion(result) {
            Ok(Some(version)) => {
                self.reported
                    .insert(id, ReportedOutcome::Published(version));
            }
            Ok(None) => {
                self.reported.insert(id, ReportedOutcome::Refused);
            }
            Err(_) => self.unsettled = Some(options),
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = PublishScript;

    fn init_test((): &()) -> Self {
        Self {
            store: Arc::default(),
            requested_records: BTreeMap::new(),
            reported: BTreeMap::new(),
            unsettled: None,
            accepted: vec![Configuration::default()],
        }
    }

    fn apply(mut system: Self, (): &(), action: Action) -> Self {
        match action {
            Action::Publish {
                change,
                faults,
                competing_publication,
            } => {
                let options = system.options(change);
                let mut platform = FaultyPlatform::new(&system.store, faults);
                platform.competing_publication = competing_publication
                    .map(|(call_number, change)| (call_number, system.options(change)));
                system.publish(&platform, options);
            }
            Action::Resume { faults } => {
                if let Some(options) = system.unsettled.take() {
                    let platform = FaultyPlatform::new(&system.store, faults);
                    system.publish(&platform, options);
                }
            }
            Action::Settle { faults } => {
                if let Some(options) = system.unsettled.take() {
                    let platform = FaultyPlatform::new(&system.store, faults);
                    system.settle(&platform, options);
                }
            }
            Action::DeliverDelayedCommits => {
                let mut store = system.store.lock().expect("no test has panicked");
                for transaction in std::mem::take(&mut store.delayed_commits) {
                    store.execute(&transaction);
                }
            }
        }
        system.check_invariants();
        system
    }
}

impl System {
    fn check_invariants(&mut self) {
        let platform = FaultyPlatform::new(&self.store, BTreeMap::new());
        let rows = accepted::versions(&platform, Version::NONE);
        let rows = poll_to_completion(rows).expect("there are no faults");
        let head = poll_to_completion(accepted::head(&platform));
        assert_eq!(
            head.expect("there are no faults").stamp.version.0,
            rows.len() as u64
        );
        let ids: BTreeSet<&String> = rows.iter().map(|row| &row.publish_id).collect();
        assert_eq!(ids.len(), rows.len(), "a publication was committed twice");
        for (index, row) in rows.iter().enumerate() {
            let content = accepted::configuration(&platform, row.stamp.version);
            let content = poll_to_completion(content).expect("the content was stored");
            RouteTable::compile(&content).expect("all references are valid");
            if let Some(before) = self.accepted.get(index + 1) {
                assert_eq!(&content, before, "an accepted version changed");
                continue;
            }
            let mut expected = self.accepted[index].clone();
            expected.version = expected.version.next();
            let record = self.requested_records[&row.publish_id].clone();
            expected.teams.insert(record.team.clone(), record);
            assert_eq!(
                content, expected,
                "a change of another publication was lost or reverted"
            );
            self.accepted.push(content);
        }
        assert_eq!(
            self.accepted.len(),
            rows.len() + 1,
            "an accepted version is missing"
        );
        for (id, reported) in &self.reported {
            let row = rows.iter().find(|row| row.publish_id == *id);
            let actual = row.map_or(ReportedOutcome::Refused, |row| {
                ReportedOutcome::Published(row.stamp.version)
            });
            assert_eq!(*reported, actual, "the reported outcome of `{id}` is wrong");
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(96))]

    #[test]
    fn fuzz_publish_against_a_list(sequential 1..24 => System);
}
