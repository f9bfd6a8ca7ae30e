//! `publish` against a table in memory that loses requests and answers, delivers lost commits late,
//! and lets another operator publish between any two calls. The oracle is the list of accepted
//! contents: each version is the one before with one publication's records put in.

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
    /// The platform is away for this call.
    Away,
    /// A commit is lost on its way, or comes late.
    RequestLost,
    /// A commit takes effect, and its answer is lost.
    AnswerLost,
}

/// A team's new record: which resource it offers, and which team it calls, if any.
#[derive(Clone, Copy, Debug)]
struct Change {
    team: usize,
    resource: usize,
    calls: Option<(usize, usize)>,
}

#[derive(Clone, Debug)]
enum Step {
    Publish {
        change: Change,
        /// At so many calls from the start, something goes wrong.
        faults: BTreeMap<u32, Fault>,
        /// Before this call, another operator publishes this.
        race: Option<(u32, Change)>,
    },
    /// Run the last publication whose outcome is unknown again.
    Resume { faults: BTreeMap<u32, Fault> },
    /// Settle it without its files.
    Settle { faults: BTreeMap<u32, Fault> },
    /// All lost commits arrive now.
    LateCommitsArrive,
}

const FAULTS: &[Fault] = &[
    Fault::Away,
    Fault::RequestLost,
    Fault::AnswerLost,
    Fault::AnswerLost,
];

struct Script;

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

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let race = prop::option::of((0..12_u32, change()));
        let publish = (change(), faults(), race);
        prop_oneof![
            4 => publish.prop_map(|(change, faults, race)| Step::Publish { change, faults, race }),
            2 => faults().prop_map(|faults| Step::Resume { faults }),
            1 => faults().prop_map(|faults| Step::Settle { faults }),
            1 => Just(Step::LateCommitsArrive),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<String, (u64, String)>,
    objects: BTreeMap<Digest, Vec<u8>>,
    late: Vec<Transaction>,
}

impl Store {
    fn run(&mut self, transaction: &Transaction) -> Outcome {
        let revision = |key: &String| self.rows.get(key).map_or(0, |row| row.0);
        let holds = transaction
            .conditions
            .iter()
            .all(|condition| match condition {
                Condition::Absent { key } => revision(key) == 0,
                Condition::Revision { key, revision: at } => revision(key) == *at,
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

/// One operator's way to the store.
struct Platform {
    store: Arc<Mutex<Store>>,
    calls: Mutex<u32>,
    faults: BTreeMap<u32, Fault>,
    race: Option<(u32, PublishOptions)>,
}

impl Platform {
    fn new(store: &Arc<Mutex<Store>>, faults: BTreeMap<u32, Fault>) -> Self {
        Self {
            store: Arc::clone(store),
            calls: Mutex::new(0),
            faults,
            race: None,
        }
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call; lets the other operator go first if it is her turn.
    fn begin(&self) -> Option<Fault> {
        let call = {
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            *calls += 1;
            *calls - 1
        };
        if let Some((at, options)) = &self.race
            && *at == call
        {
            let other = Self::new(&self.store, BTreeMap::new());
            // A refusal is as good an outcome as any.
            let _ = at_once(publish::publish(&other, options));
        }
        self.faults.get(&call).copied()
    }
}

/// Runs what waits for nothing: a store in memory answers at once, and no time is given to look into
/// a lost answer.
fn at_once<T>(future: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    match pin!(future).poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("it waits for something"),
    }
}

fn away<T>() -> Result<T> {
    Err(Error::Unavailable {
        reason: "away".to_owned(),
    })
}

impl Table for Platform {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        let fault = self.begin();
        let mut store = self.store();
        let lost = Err(Error::OutcomeUnknown {
            reason: "lost".to_owned(),
        });
        match fault {
            None => Ok(store.run(transaction)),
            Some(Fault::Away) => away(),
            Some(Fault::RequestLost) => {
                store.late.push(transaction.clone());
                lost
            }
            Some(Fault::AnswerLost) => {
                store.run(transaction);
                lost
            }
        }
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        if self.begin().is_some() {
            return away();
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

impl ObjectStore for Platform {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> Result<()> {
        if self.begin().is_some() {
            return away();
        }
        self.store().objects.insert(*digest, bytes.to_vec());
        Ok(())
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        if self.begin().is_some() {
            return away();
        }
        Ok(self.store().objects.get(digest).cloned())
    }
}

/// What an operator was told for good of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Published(Version),
    Refused,
}

struct Bench {
    store: Arc<Mutex<Store>>,
    /// Every publication's records by its id.
    asked: BTreeMap<String, TeamRecord>,
    told: BTreeMap<String, Told>,
    unknown: Option<PublishOptions>,
    /// Accepted contents, oldest first, as seen after the last step.
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
    team_file::parse(&text).expect("a right team file")
}

impl Bench {
    fn options(&mut self, change: Change) -> PublishOptions {
        let id = format!("id-{}", self.asked.len());
        let record = record(change);
        self.asked.insert(id.clone(), record.clone());
        PublishOptions::builder()
            .publish_id(id)
            .operator("ana")
            .time_ms(0)
            .records(vec![record])
            .settle_limit_ms(0)
            .build()
    }

    fn publish(&mut self, platform: &Platform, mut options: PublishOptions) {
        let id = options.publish_id.clone();
        let result = at_once(publish::publish(platform, &options));
        match result {
            Ok(published) => {
                let told = Told::Published(published.stamp.version);
                self.told.insert(id, told);
            }
            Err(
                publish::Error::OutcomeUnknown { expected, .. }
                | publish::Error::Unsettled { expected, .. },
            ) => {
                options.expected = expected.or(options.expected);
                options.resumed = true;
                self.unknown = Some(options);
            }
            Err(_) => {
                self.told.insert(id, Told::Refused);
            }
        }
    }

    fn settle(&mut self, platform: &Platform, options: PublishOptions) {
        let id = options.publish_id.clone();
        let result = publish::abandon(platform, &id, "ana", 0);
        match at_once(result) {
            Ok(Some(version)) => {
                self.told.insert(id, Told::Published(version));
            }
            Ok(None) => {
                self.told.insert(id, Told::Refused);
            }
            Err(_) => self.unknown = Some(options),
        }
    }
}

impl StateMachineTest for Bench {
    type SystemUnderTest = Self;
    type Reference = Script;

    fn init_test((): &()) -> Self {
        Self {
            store: Arc::default(),
            asked: BTreeMap::new(),
            told: BTreeMap::new(),
            unknown: None,
            accepted: vec![Configuration::default()],
        }
    }

    fn apply(mut bench: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Publish {
                change,
                faults,
                race,
            } => {
                let options = bench.options(change);
                let mut platform = Platform::new(&bench.store, faults);
                platform.race = race.map(|(at, change)| (at, bench.options(change)));
                bench.publish(&platform, options);
            }
            Step::Resume { faults } => {
                if let Some(options) = bench.unknown.take() {
                    let platform = Platform::new(&bench.store, faults);
                    bench.publish(&platform, options);
                }
            }
            Step::Settle { faults } => {
                if let Some(options) = bench.unknown.take() {
                    let platform = Platform::new(&bench.store, faults);
                    bench.settle(&platform, options);
                }
            }
            Step::LateCommitsArrive => {
                let mut store = bench.store.lock().expect("no test has panicked");
                for transaction in std::mem::take(&mut store.late) {
                    store.run(&transaction);
                }
            }
        }
        bench.check();
        bench
    }
}

impl Bench {
    fn check(&mut self) {
        let platform = Platform::new(&self.store, BTreeMap::new());
        let rows = accepted::versions(&platform, Version::NONE);
        let rows = at_once(rows).expect("nothing is wrong");
        let head = at_once(accepted::head(&platform));
        assert_eq!(
            head.expect("nothing is wrong").stamp.version.0,
            rows.len() as u64
        );
        let ids: BTreeSet<&String> = rows.iter().map(|row| &row.publish_id).collect();
        assert_eq!(ids.len(), rows.len(), "committed twice");
        for (at, row) in rows.iter().enumerate() {
            let content = accepted::configuration(&platform, row.stamp.version);
            let content = at_once(content).expect("stored whole");
            RouteTable::compile(&content).expect("references close");
            if let Some(before) = self.accepted.get(at + 1) {
                assert_eq!(&content, before, "an accepted version changed");
                continue;
            }
            let mut expected = self.accepted[at].clone();
            expected.version = expected.version.next();
            let record = self.asked[&row.publish_id].clone();
            expected.teams.insert(record.team.clone(), record);
            assert_eq!(content, expected, "something else was lost or reverted");
            self.accepted.push(content);
        }
        assert_eq!(self.accepted.len(), rows.len() + 1, "a version is gone");
        for (id, told) in &self.told {
            let row = rows.iter().find(|row| row.publish_id == *id);
            let really = row.map_or(Told::Refused, |row| Told::Published(row.stamp.version));
            assert_eq!(*told, really, "what was told of `{id}`");
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(96))]

    #[test]
    fn fuzz_publish_against_a_list(sequential 1..24 => Bench);
}
