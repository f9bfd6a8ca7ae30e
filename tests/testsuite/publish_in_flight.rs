//! Publications whose transaction is delayed on its way to the platform, and platform failures
//! during a publication.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

use dragonflywall::core::names::{ResourceName, ServiceName};
use dragonflywall::core::team_file;
use dragonflywall::core::version::{Digest, Version};
use dragonflywall::ops::command::publish::{Error, PublishOptions, abandon, publish};
use dragonflywall::ops::query::accepted;
use dragonflywall::store::http::HttpStore;
use dragonflywall::store::retrying::Retrying;
use dragonflywall::store::rows::HEAD_KEY;
use dragonflywall::store::{self, ObjectStore, Outcome, Result, Row, Table, Transaction};

/// A platform that delays transactions, loses answers and refuses calls because of its rate limit,
/// each as many times as the counters say.
struct FaultyPlatform {
    inner: HttpStore,
    /// The transaction that was held last.
    held_transaction: Mutex<Option<Transaction>>,
    /// Number of transactions to hold, whose answers are lost.
    transactions_to_hold: AtomicU32,
    /// Number of calls that are refused because of the rate limit.
    rate_limited_calls: AtomicU32,
    /// Number of reads and stored objects whose answers are lost.
    lost_answers: AtomicU32,
    /// Number of reads of the head before which the held transaction is delivered.
    deliveries_before_head_read: AtomicU32,
    /// Publication of another operator that is accepted while a transaction is held.
    competing_publication: Option<PublishOptions>,
}

impl FaultyPlatform {
    fn new(platform: &testkit::platform::Platform) -> Self {
        Self {
            inner: HttpStore::new(&platform.url(), None),
            held_transaction: Mutex::new(None),
            transactions_to_hold: AtomicU32::new(0),
            rate_limited_calls: AtomicU32::new(0),
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

    fn fail_if_rate_limited(&self) -> Result<()> {
        match decrement(&self.rate_limited_calls) {
            true => Err(store::Error::RateLimited),
            false => Ok(()),
        }
    }
}

/// Decrements a counter; returns whether it was above zero.
fn decrement(counter: &AtomicU32) -> bool {
    let updated = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
        remaining.checked_sub(1)
    });
    updated.is_ok()
}

impl Table for FaultyPlatform {
    async fn transact(&self, transaction: &Transaction) -> Result<Outcome> {
        self.fail_if_rate_limited()?;
        if decrement(&self.transactions_to_hold) {
            *self
                .held_transaction
                .lock()
                .expect("the lock is not poisoned") = Some(transaction.clone());
            if let Some(competing) = &self.competing_publication {
                let published = publish(&self.inner, competing).await;
                published.expect("the competing publication is accepted");
            }
            return Err(store::Error::OutcomeUnknown {
                reason: "the transaction is held".to_owned(),
            });
        }
        self.inner.transact(transaction).await
    }

    async fn row(&self, key: &str) -> Result<Option<Row>> {
        self.fail_if_rate_limited()?;
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
        .records(vec![record.expect("the example is valid")])
        .settle_limit_ms(settle_limit_ms)
        .build()
}

async fn head(table: &impl Table) -> Version {
    let head = accepted::head(table).await;
    head.expect("the platform works").stamp.version
}

/// The commit is delayed, the outcome is unknown, and the operator abandons the publication. The
/// commit arrives only then. The head has not changed, so the condition on the id, whose row the
/// abandonment has written, must make it fail.
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

/// The commit is delayed, and the same command sends it again successfully. When the first commit
/// arrives later, it must fail and create no second version.
#[tokio::test]
async fn commit_arriving_after_its_retry_fails() {
    let (_stand_in, platform) = start().await;
    platform.transactions_to_hold.store(1, Ordering::SeqCst);
    let published = publish(&platform, &options("night", 60_000)).await;
    let published = published.expect("the retry is committed");
    assert_eq!(published.stamp.version, Version(1));
    assert_eq!(platform.deliver_held().await, Outcome::ConditionFailed);
    assert_eq!(head(&platform).await, Version(1));
}

/// The commit is delayed, and the operator resumes the publication. The first commit arrives after
/// the resumed run has looked up the id and before it reads the head. The run must recognise the
/// version as its own and not report a conflict with another publication.
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

/// A commit is lost, and meanwhile another publication of the same team is accepted. The head has
/// changed, so the lost commit cannot take effect any more. The command must report the conflict at
/// once, and not "unknown" after a timeout.
#[tokio::test]
async fn lost_commit_superseded_by_another_is_refused_as_conflict() {
    let (_stand_in, mut platform) = start().await;
    let mut competing_options = options("bea", 60_000);
    for service in competing_options.records[0].services.values_mut() {
        service.queue_len += 1;
    }
    platform.competing_publication = Some(competing_options);
    platform.transactions_to_hold.store(1, Ordering::SeqCst);
    let published = publish(&platform, &options("ana", 200)).await;
    assert!(
        matches!(published, Err(Error::Conflict { .. })),
        "{published:?}"
    );
    assert_eq!(platform.deliver_held().await, Outcome::ConditionFailed);
}

/// The commit is delayed, and the operator resumes the publication with an invalid file by mistake.
/// The command reports that nothing was changed, and the commit arrives only afterwards. It must
/// fail, because a refused resume settles the id before it reports the refusal.
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

/// Many nodes restart and exhaust the platform's rate limit while an operator publishes. The command
/// must retry calls that the rate limit refuses instead of failing by chance.
#[tokio::test]
async fn publication_retries_while_rate_limited() {
    let (_stand_in, platform) = start().await;
    platform.rate_limited_calls.store(2, Ordering::SeqCst);
    let published = publish(&Retrying(platform), &options("busy", 60_000)).await;
    let published = published.expect("refused calls are retried");
    assert_eq!(published.stamp.version, Version(1));
}

/// The platform closes an idle connection while the command reads the head over it. The command must
/// repeat the read instead of failing because of one closed connection.
#[tokio::test]
async fn read_is_retried_after_a_lost_answer() {
    let (_stand_in, platform) = start().await;
    platform.lost_answers.store(1, Ordering::SeqCst);
    let published = publish(&Retrying(platform), &options("read", 60_000)).await;
    let published = published.expect("the read is repeated");
    assert_eq!(published.stamp.version, Version(1));
}
