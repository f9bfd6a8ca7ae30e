use super::*;

/// Guards against promises that leave no trace: crowded out by other failures, or dropped without a count.
#[test]
fn each_promise_has_a_line_or_is_counted_by_its_evidence() {
    let limiter = LogLimiter::default();
    while limiter.may_log(LogClass::Notable) {}
    let id = |number: u32| HeaderValue::from_str(&format!("r{number}")).expect("a valid id");
    let mut logged = 0;
    while limiter.may_log_promise(Some(&id(logged)), Evidence::GateRefused) {
        logged += 1;
    }
    assert!(logged >= PROMISE_BURST_LINES.get());
    for number in 1..100 {
        limiter.may_log_promise(Some(&id(logged + number)), Evidence::NotSent);
    }
    let dropped = std::mem::take(&mut *lock_ignoring_poison(&limiter.dropped_promises));
    let count = |evidence: Evidence| dropped.by_evidence.get(evidence.as_str()).copied();
    assert_eq!(count(Evidence::GateRefused), Some(1));
    // A line may have become free meanwhile.
    assert!(count(Evidence::NotSent) >= Some(90));
    assert_eq!(dropped.first_ids.len(), DROPPED_IDS_MAX);
    assert_eq!(dropped.first_ids[0], format!("r{logged}"));
}
