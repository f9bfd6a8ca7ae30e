//! Retries: what may be tried again, and how much a whole tree of calls may spend.

use dragonflywall::core::configuration::{Class, PRIORITY_DEFAULT, Spill, Treatment};
use dragonflywall::core::names::ServiceName;
use dragonflywall::decide::retry::{
    AttemptFailure, Attempts, DEPTH_MAX, RETRIES_PER_TREE, RetryPolicy, ServiceTokens,
};

pub(crate) fn treatment(idempotent: bool) -> Treatment {
    Treatment {
        class: Class::Interactive,
        idempotent,
        timeout_ms: 1_000,
        attempts: 3,
        spill: Spill::Mesh,
        priority: PRIORITY_DEFAULT,
        target_latency_ms: None,
    }
}

/// Three endpoints in a row are about to stop. A planned stop costs no attempt, so the payment
/// still has all three of its own.
#[test]
fn draining_endpoints_cost_no_attempt() {
    let mut tokens = ServiceTokens::default();
    let tokens = tokens.for_service(&ServiceName::new("cobros"));
    let mut attempts = Attempts::new(&treatment(false), RETRIES_PER_TREE);
    for _ in 0..3 {
        assert!(attempts.take_retry(AttemptFailure::Draining, tokens));
    }
    assert!(attempts.take_retry(AttemptFailure::NotRun, tokens));
    assert!(attempts.take_retry(AttemptFailure::NotRun, tokens));
    assert!(!attempts.take_retry(AttemptFailure::NotRun, tokens));
}

/// A payment may have run: never again. A read may.
#[test]
fn only_idempotent_requests_are_retried_after_may_have_run() {
    let mut tokens = ServiceTokens::default();
    let tokens = tokens.for_service(&ServiceName::new("cobros"));
    assert!(!Attempts::new(&treatment(false), 8).take_retry(AttemptFailure::MayHaveRun, tokens));
    assert!(Attempts::new(&treatment(true), 8).take_retry(AttemptFailure::MayHaveRun, tokens));
}

/// A service refuses everything. After its reserve the entry retries one in ten.
#[test]
fn retries_are_limited_to_a_tenth_of_requests() {
    let mut tokens = ServiceTokens::default();
    let tokens = tokens.for_service(&ServiceName::new("tablon"));
    let mut retries = 0;
    for _ in 0..1_000 {
        tokens.earn();
        let mut attempts = Attempts::new(&treatment(true), RETRIES_PER_TREE);
        while attempts.take_retry(AttemptFailure::NotRun, tokens) {
            retries += 1;
        }
    }
    assert!((100..=111).contains(&retries), "{retries} retries");
}

/// Attempts at the bottom of a chain whose last call always fails in the worst way. Each level
/// has what the one above passed down to it.
fn attempts_at_last_service(depth: u32, budget: u32, tokens: &mut ServiceTokens) -> u32 {
    if depth > DEPTH_MAX {
        return 1;
    }
    let mut attempts = Attempts::new(&treatment(true), budget);
    let mut made = 0;
    loop {
        made += attempts_at_last_service(depth + 1, attempts.downstream_budget(), tokens);
        // A service of its own at each level, so that only the budget bounds it.
        let service = ServiceName::new(format!("level-{depth}"));
        let tokens = tokens.for_service(&service);
        for _ in 0..100 {
            tokens.earn();
        }
        if !attempts.take_retry(AttemptFailure::MayHaveRun, tokens) {
            return made;
        }
    }
}

/// The last of a chain of services, seven calls down, has an outage. With three attempts at each
/// level it would get 6561 requests for each one at the top, which keeps it down.
#[test]
fn call_chain_shares_one_retry_budget() {
    let made = attempts_at_last_service(0, RETRIES_PER_TREE, &mut ServiceTokens::default());
    let without_budget = 3_u32.pow(DEPTH_MAX + 1);
    println!("attempts at the bottom of a chain: {made}, plain policy {without_budget}");
    assert!(made <= 1 + RETRIES_PER_TREE, "{made} attempts");
    assert!(made > 1, "nothing was tried again");
}

/// A reserve of 56 is the whole mesh's. Were it each entry's own, 16 entries that see one failure
/// would make 896 retries at once.
#[test]
fn entries_share_the_reserve_of_the_mesh() {
    let policy = RetryPolicy::for_entry(20, Some(56), 16);
    let mut made = 0;
    for _ in 0..16 {
        let mut tokens = ServiceTokens::default();
        tokens.set_policy(policy);
        let tokens = tokens.for_service(&ServiceName::new("tablon"));
        while Attempts::new(&treatment(true), RETRIES_PER_TREE)
            .take_retry(AttemptFailure::NotRun, tokens)
        {
            made += 1;
        }
    }
    assert!((16..=56).contains(&made), "{made} retries");
    assert!(policy.percent < 20, "{policy:?}");
    // A single retry is left to each of very many entries.
    assert_eq!(RetryPolicy::for_entry(20, Some(56), 520).reserve, 1);
}
