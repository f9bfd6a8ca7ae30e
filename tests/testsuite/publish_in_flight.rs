//! Publications whose transaction is still under way when the operator acts again.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use dragonflywall::core::names::{ResourceName, ServiceName};
use dragonflywall::core::team_file;
use dragonflywall::core::version::{Digest, Version};
use dragonflywall::ops::command::publish::{Error, PublishOptions, abandon, publish};
use dragonflywall::ops::query::accepted;
use dragonflywall::store::http::HttpStore;
use dragonflywall::store::patient::Patient;
use dragonflywall::store::rows::HEAD_KEY;
use dragonflywall::store::{self, ObjectStore, Outcome, Result, Row, Table, Transaction};

/// A platform whose first transaction is held on the way until it is delivered, and whose reads
/// and further transactions are refused so many times because of the rate ceiling.
struct FaultyPlatform {
    inner: HttpStore,
    held_transaction: Mutex<Option<Transaction>>,
    transactions_to_hold: AtomicU32,
    busy_answers: AtomicU32,
    /// So many reads and stored objects are answered with nothing.
    lost_answers: AtomicU32,
    /// So many times the held transaction arrives just before the head is read.
    deliveries_before_head_read: AtomicU32,
    /// Somebody else's publication that is accepted while a transaction is held.
    competing_publication: Option<PublishOptions>,
}

impl FaultyPlatform {
    fn new(platform: &testkit::platform::Platform) -> Self {
        Self {
            inner: HttpStore::new(&platform.url(), None),
            held_transaction: Mutex::new(None),
            transactions_to_hold: AtomicU32::new(0),
            busy_answers: AtomicU32::new(0),
            lost_answers: AtomicU32::new(0),
            deliveries_before_head_read: AtomicU32::new(0),
            competing_publication: None,
        }
    }

    async fn deliver_held(&self) -> Outcome {
        let held_transaction = self
            .held_transaction
            .lock()
            .map(|held_transaction| held_transaction.clone());
        let transaction = held_transaction
            .ok()
            .flatten()
            .expect("a transaction was held");
        let delivered = self.inner.transact(&transaction).await;
        delivered.expect("the platform works")
    }

    fn fail_if_answer_lost(&self) -> Result<()> {
        match decrement(&self.lost_answers) {
            true => Err(store::Error::OutcomeUnknown {
                reason: "the connection was closed".to_owned(),
            }),
            false => Ok(()),
        }
    }

    fn fail_if_busy(&self) -> Result<()> {
        match decrement(&self.busy_answers) {
            true => Err(store::Error::Busy),
            false => Ok(()),
        }
    }
}

/// Takes one off a counter that is not at zero yet.
fn decrement(counter: &AtomicU32) -> bool {
    let updated = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
        remaining.checked_sub(1)
    });
    updated.is_ok()
}

impl Table for FaultyPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        self.fail_if_busy()?;
        if decrement(&self.transactions_to_hold) {
            *self
                .held_transaction
                .lock()
                .expect("no test panics while it holds it") = Some(transaction.clone());
            if let Some(competing) = &self.competing_publication {
                let published = publish(&self.inner, competing).await;
                published.expect("nobody else publishes");
            }
            return Err(store::Error::OutcomeUnknown {
                reason: "held on the way".to_owned(),
            });
        }
        self.inner.transact(transaction).await
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        self.fail_if_busy()?;
        self.fail_if_answer_lost()?;
        if key == HEAD_KEY && decrement(&self.deliveries_before_head_read) {
            self.deliver_held().await;
        }
        self.inner.row(key).await
    }

    async fn rows(&self, prefix: &str, after: &str, limit: u32) -> Result<BTreeMap<String, Row>> {
        self.inner.rows(prefix, after, limit).await
    }
}

impl ObjectStore for FaultyPlatform {
    async fn put_object(&self, digest: &Digest, bytes: &[u8]) -> Result<()> {
        self.fail_if_answer_lost()?;
        self.inner.put_object(digest, bytes).await
    }

    async fn object(&self, digest: &Digest) -> Result<Option<Vec<u8>>> {
        self.inner.object(digest).await
    }
}

async fn start() -> (testkit::platform::Platform, FaultyPlatform) {
    let started = testkit::platform::Platform::start(([127, 0, 0, 1], 0).into()).await;
    let stand_in = started.expect("a port is free");
    let platform = FaultyPlatform::new(&stand_in);
    (stand_in, platform)
}

fn options(publish_id: &str, settle_limit_ms: u64) -> PublishOptions {
    let text = std::fs::read_to_string(crate::support::repository_file(
        "examples/marinhas/armazem.toml",
    ));
    let record = team_file::parse(&text.expect("the example exists"));
    PublishOptions::builder()
        .publish_id(publish_id)
        .operator("ana")
        .time_ms(0)
        .records(vec![record.expect("the example is right")])
        .settle_limit_ms(settle_limit_ms)
        .build()
}

async fn head(table: &impl Table) -> Version {
    let head = accepted::head(table).await;
    head.expect("the platform works").stamp.version
}

/// The commit hangs on the way, and the operator is told "unknown". She stops the publication for
/// good. Only then does the commit arrive: it must not take effect behind her back, so it has to
/// fail on the id that the stop has occupied; the head has not moved and would let it through.
#[tokio::test]
async fn commit_arriving_after_abandonment_fails() {
    let (_stand_in, platform) = start().await;
    platform
        .transactions_to_hold
        .store(u32::MAX, Ordering::SeqCst);
    let published = publish(&platform, &options("night", 0)).await;
    assert!(
        matches!(published, Err(Error::OutcomeUnknown { .. })),
        "{published:?}"
    );
    platform.transactions_to_hold.store(0, Ordering::SeqCst);
    let settled = abandon(&platform, "night", "ana", 0).await;
    assert_eq!(settled.expect("the platform works"), None);
    assert_eq!(platform.deliver_held().await, Outcome::ConditionFailed);
    assert_eq!(head(&platform).await, Version::NONE);
}

/// The commit hangs on the way, and the same command sends it again and succeeds. The first one
/// arrives later, when a version stands: it fails, and no second version appears.
#[tokio::test]
async fn commit_arriving_after_its_retry_fails() {
    let (_stand_in, platform) = start().await;
    platform.transactions_to_hold.store(1, Ordering::SeqCst);
    let published = publish(&platform, &options("night", 60_000)).await;
    let published = published.expect("the repetition is committed");
    assert_eq!(published.stamp.version, Version(1));
    assert_eq!(platform.deliver_held().await, Outcome::ConditionFailed);
    assert_eq!(head(&platform).await, Version(1));
}

/// The commit hangs on the way, and the operator resumes the publication. The first commit arrives
/// just after the resumed run has looked the id up and before it reads the head. It must find its
/// own version there, and not tell the operator that somebody else published the same team.
#[tokio::test]
async fn commit_arriving_during_resume_is_found() {
    let (_stand_in, platform) = start().await;
    platform
        .transactions_to_hold
        .store(u32::MAX, Ordering::SeqCst);
    let published = publish(&platform, &options("night", 0)).await;
    assert!(
        matches!(published, Err(Error::OutcomeUnknown { .. })),
        "{published:?}"
    );
    platform.transactions_to_hold.store(0, Ordering::SeqCst);
    platform
        .deliveries_before_head_read
        .store(1, Ordering::SeqCst);
    let resumed = PublishOptions {
        expected: Some(Version::NONE),
        ..options("night", 0)
    };
    let published = publish(&platform, &resumed).await;
    let published = published.expect("its own commit is found");
    assert_eq!(published.stamp.version, Version(1));
    assert!(published.already_published);
}

/// Ana's commit is lost on the way, and Bea's publication of the same team is accepted meanwhile.
/// Ana's lost commit can't take effect any more, since the head has moved. So she gets the plain
/// refusal with the difference, at once, and not "unknown" after a wait.
#[tokio::test]
async fn lost_commit_superseded_by_another_is_refused_as_conflict() {
    let (_stand_in, mut platform) = start().await;
    let mut options_of_bea = options("bea", 60_000);
    for service in options_of_bea.records[0].services.values_mut() {
        service.queue_len += 1;
    }
    platform.competing_publication = Some(options_of_bea);
    platform.transactions_to_hold.store(1, Ordering::SeqCst);
    let published = publish(&platform, &options("ana", 200)).await;
    assert!(
        matches!(published, Err(Error::Conflict { .. })),
        "{published:?}"
    );
    assert_eq!(platform.deliver_held().await, Outcome::ConditionFailed);
}

/// The commit hangs on the way, and the operator resumes it, by mistake with a file that is refused.
/// She is told that nothing was changed. The commit arrives only then, and must not prove that
/// wrong: a refused resume settles the id before it says so.
#[tokio::test]
async fn commit_arriving_after_a_refused_resume_fails() {
    let (_stand_in, platform) = start().await;
    platform
        .transactions_to_hold
        .store(u32::MAX, Ordering::SeqCst);
    let published = publish(&platform, &options("night", 0)).await;
    assert!(
        matches!(published, Err(Error::OutcomeUnknown { .. })),
        "{published:?}"
    );
    platform.transactions_to_hold.store(0, Ordering::SeqCst);
    let mut resumed = PublishOptions {
        expected: Some(Version::NONE),
        resumed: true,
        ..options("night", 0)
    };
    let nobody = ServiceName::new("nobody");
    resumed.records[0]
        .calls
        .insert(nobody, [ResourceName::new("nothing")].into());
    let published = publish(&platform, &resumed).await;
    assert!(
        matches!(published, Err(Error::Invalid { .. })),
        "{published:?}"
    );
    assert_eq!(platform.deliver_held().await, Outcome::ConditionFailed);
    assert_eq!(head(&platform).await, Version::NONE);
}

/// A herd of restarting nodes holds the platform at its rate ceiling just when an operator
/// publishes. A refusal by the ceiling is waited out; without that, the command fails by chance.
#[tokio::test]
async fn publication_retries_while_rate_limited() {
    let (_stand_in, platform) = start().await;
    platform.busy_answers.store(2, Ordering::SeqCst);
    let published = publish(&Patient(platform), &options("busy", 60_000)).await;
    let published = published.expect("the ceiling is waited out");
    assert_eq!(published.stamp.version, Version(1));
}

/// The platform closes a connection that was idle just when the command reads the head over it. The
/// read is asked again; without that the operator is refused because of one closed connection.
#[tokio::test]
async fn read_is_retried_after_a_lost_answer() {
    let (_stand_in, platform) = start().await;
    platform.lost_answers.store(1, Ordering::SeqCst);
    let published = publish(&Patient(platform), &options("read", 60_000)).await;
    let published = published.expect("the read is repeated");
    assert_eq!(published.stamp.version, Version(1));
}
