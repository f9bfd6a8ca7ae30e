//! Stateful fuzz test of [`HttpStore`] and the table's stand-in against a model, which is a map.
//! Conditional transactions are applied completely or not at all. If the request or the response is
//! lost, the client returns [`Error::OutcomeUnknown`], whether or not the write took effect.

use std::collections::BTreeMap;

use dragonflywall::store::http::HttpStore;
use dragonflywall::store::{Condition, Error, Outcome, Row, Table, Transaction};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use testkit::platform::{Faults, Platform};
use tokio::runtime::Runtime;

use crate::fuzz;

const KEYS: [&str; 4] = ["head", "publish/a", "version/1", "version/2"];

/// Revision and value of each row by key.
type Rows = BTreeMap<String, (u64, String)>;

/// The message of a transaction that the stand-in loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostMessage {
    None,
    Request,
    Response,
}

#[derive(Clone, Debug)]
enum Step {
    Transact(Transaction, LostMessage),
    Read(&'static str),
    List { after: &'static str, limit: u32 },
}

/// The model of the table.
struct ReferenceTable;

fn key() -> impl Strategy<Value = &'static str> {
    prop::sample::select(&KEYS[..])
}

fn condition() -> impl Strategy<Value = Condition> {
    let absent = key().prop_map(|key| Condition::Absent {
        key: key.to_owned(),
    });
    let revision = (key(), 1..4_u64).prop_map(|(key, revision)| Condition::Revision {
        key: key.to_owned(),
        revision,
    });
    prop_oneof![absent, revision]
}

fn transaction() -> impl Strategy<Value = Transaction> {
    let puts = prop::collection::btree_map(key().prop_map(str::to_owned), "[a-c]", 1..3);
    (prop::collection::vec(condition(), 0..2), puts)
        .prop_map(|(conditions, puts)| Transaction { conditions, puts })
}

fn condition_holds(rows: &Rows, condition: &Condition) -> bool {
    match condition {
        Condition::Absent { key } => !rows.contains_key(key),
        Condition::Revision { key, revision } => {
            rows.get(key).is_some_and(|row| row.0 == *revision)
        }
    }
}

/// Applies the transaction to the model if its conditions hold, and returns whether they did.
fn apply_transaction(rows: &mut Rows, transaction: &Transaction) -> bool {
    if !transaction
        .conditions
        .iter()
        .all(|condition| condition_holds(rows, condition))
    {
        return false;
    }
    for (key, value) in &transaction.puts {
        let row = rows.entry(key.clone()).or_default();
        *row = (row.0 + 1, value.clone());
    }
    true
}

impl ReferenceStateMachine for ReferenceTable {
    type State = Rows;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Rows> {
        Just(Rows::new()).boxed()
    }

    fn transitions(_: &Rows) -> BoxedStrategy<Step> {
        let lost_message = prop_oneof![
            6 => Just(LostMessage::None),
            1 => Just(LostMessage::Request),
            1 => Just(LostMessage::Response),
        ];
        prop_oneof![
            3 => (transaction(), lost_message).prop_map(|(t, lost_message)| Step::Transact(t, lost_message)),
            1 => key().prop_map(Step::Read),
            1 => (key(), 1..4_u32).prop_map(|(after, limit)| Step::List { after, limit }),
        ]
        .boxed()
    }

    fn apply(mut rows: Rows, step: &Step) -> Rows {
        if let Step::Transact(transaction, LostMessage::None | LostMessage::Response) = step {
            apply_transaction(&mut rows, transaction);
        }
        rows
    }
}

/// The client under test and the stand-in that it calls.
struct TableTest {
    runtime: Runtime,
    platform: Platform,
    client: HttpStore,
    /// Rows of the model before the current step.
    rows_before_step: Rows,
}

impl StateMachineTest for TableTest {
    type SystemUnderTest = Self;
    type Reference = ReferenceTable;

    fn init_test(_: &Rows) -> Self {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("the runtime starts");
        let platform = runtime.block_on(Platform::start(([127, 0, 0, 1], 0).into()));
        let platform = platform.expect("a port is available");
        let client = HttpStore::new(&platform.url(), None);
        Self {
            runtime,
            platform,
            client,
            rows_before_step: Rows::new(),
        }
    }

    fn apply(mut table: Self, rows: &Rows, step: Step) -> Self {
        match step {
            Step::Transact(transaction, lost_message) => {
                table.platform.set_faults(Faults {
                    lose_requests: u32::from(lost_message == LostMessage::Request),
                    lose_answers: u32::from(lost_message == LostMessage::Response),
                    ..Faults::default()
                });
                let committed = apply_transaction(&mut table.rows_before_step, &transaction);
                let call = table.client.transact(&transaction);
                let result = table.runtime.block_on(call);
                match (lost_message, result) {
                    (LostMessage::None, Ok(Outcome::Committed)) => assert!(committed),
                    (LostMessage::None, Ok(Outcome::ConditionFailed)) => assert!(!committed),
                    (
                        LostMessage::Request | LostMessage::Response,
                        Err(Error::OutcomeUnknown { .. }),
                    ) => {}
                    (lost_message, result) => {
                        panic!("lost message {lost_message:?}: unexpected result {result:?}")
                    }
                }
            }
            Step::Read(key) => {
                let row = table.runtime.block_on(table.client.row(key));
                let expected = rows.get(key).cloned();
                let expected = expected.map(|(revision, value)| Row { revision, value });
                assert_eq!(row.expect("the read succeeds without a fault"), expected);
            }
            Step::List { after, limit } => {
                let list = table.client.rows("version/", after, limit);
                let list = table
                    .runtime
                    .block_on(list)
                    .expect("the read succeeds without a fault");
                let is_listed = |key: &&String| key.starts_with("version/") && key.as_str() > after;
                let expected: Vec<&String> =
                    rows.keys().filter(is_listed).take(limit as usize).collect();
                assert_eq!(list.keys().collect::<Vec<_>>(), expected);
            }
        }
        table.rows_before_step.clone_from(rows);
        table
    }

    fn check_invariants(table: &Self, rows: &Rows) {
        let values = rows.iter().map(|(key, row)| (key.clone(), row.1.clone()));
        assert_eq!(table.platform.rows(), values.collect());
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(48))]

    #[test]
    fn fuzz_table_against_a_map(sequential 1..24 => TableTest);
}
