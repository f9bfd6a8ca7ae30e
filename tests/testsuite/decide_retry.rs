//! Which failed requests are retried, and the retry budgets of call trees and entry nodes.

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

/// Planned stops spend no attempts: after three draining endpoints a request still has its three attempts.
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

/// Guards against a payment that runs twice: after an attempt that may have run, only an idempotent
/// request is retried.
#[test]
fn only_idempotent_requests_are_retried_after_may_have_run() {
    let mut tokens = ServiceTokens::default();
    let tokens = tokens.for_service(&ServiceName::new("cobros"));
    assert!(!Attempts::new(&treatment(false), 8).take_retry(AttemptFailure::MayHaveRun, tokens));
    assert!(Attempts::new(&treatment(true), 8).take_retry(AttemptFailure::MayHaveRun, tokens));
}

/// Guards against retries that keep a failing service overloaded: after the reserve is spent, one in ten
/// requests is retried.
#[test]
fn retries_are_limited_to_a_tenth_of_requests() {
    let mut tokens = ServiceTokens::default();
    let tokens = tokens.for_service(&ServiceName::new("tablon"));
    let mut retries = 0;
    for _ in 0..1_000 {
        tokens.deposit();
        let mut attempts = Attempts::new(&treatment(true), RETRIES_PER_TREE);
        while attempts.take_retry(AttemptFailure::NotRun, tokens) {
            retries += 1;
        }
    }
    assert!((100..=111).contains(&retries), "{retries} retries");
}

/// Returns the number of attempts at the last service of a call chain, which fails each of them after it
/// may have run. Each level gets the budget that the level above passes downstream.
fn attempts_at_last_service(depth: u32, budget: u32, tokens: &mut ServiceTokens) -> u32 {
    if depth > DEPTH_MAX {
        return 1;
    }
    let mut attempts = Attempts::new(&treatment(true), budget);
    let mut made = 0;
    loop {
        made += attempts_at_last_service(depth + 1, attempts.downstream_budget(), tokens);
        // Each level calls a service of its own, so that only the budget limits its retries.
        let service = ServiceName::new(format!("level-{depth}"));
        let tokens = tokens.for_service(&service);
        for _ in 0..100 {
            tokens.deposit();
        }
        if !attempts.take_retry(AttemptFailure::MayHaveRun, tokens) {
            return made;
        }
    }
}

/// Guards against retries that multiply along a call chain: the last service, seven calls down, has an
/// outage. With three attempts at each level it would get 6561 requests for each first one.
#[test]
fn call_chain_shares_one_retry_budget() {
    let made = attempts_at_last_service(0, RETRIES_PER_TREE, &mut ServiceTokens::default());
    let without_budget = 3_u32.pow(DEPTH_MAX + 1);
    println!("attempts at the last service of a chain: {made}, without a budget: {without_budget}");
    assert!(
        made <= 1 + RETRIES_PER_TREE,
        "{made} attempts at the last service"
    );
    assert!(made > 1, "nothing was retried");
}

/// Guards against a reserve that each entry node uses in full: with a reserve of 56 for the whole mesh,
/// 16 entry nodes would make 896 retries at once.
#[test]
fn entry_nodes_share_the_reserve_of_the_mesh() {
    let policy = RetryPolicy::for_entry_node(20, Some(56), 16);
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
    // With very many entry nodes each still has a reserve of one retry.
    assert_eq!(RetryPolicy::for_entry_node(20, Some(56), 520).reserve, 1);
}
