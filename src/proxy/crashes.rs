//! Ends of backend servers, as entry nodes and gates record them; see [`crate::decide::crashes`].

use super::failure::{Failure, Reason, Refusal};
use super::log_limiter::LogClass;
use super::state::ProxyState;
use crate::core::request_digest::RequestDigest;
use crate::decide::crashes::{CrashId, CrashSet, Withheld};
use crate::decide::load_balancing::Endpoint;

/// Records that backend servers ended while they ran a request, and has that reported to other nodes.
pub(crate) fn record(node: &ProxyState, request: RequestDigest, crashes: CrashSet) {
    let now_ms = node.uptime_ms();
    let (is_new, known) = {
        let mut book = node.crashes();
        let is_new = book.record_crashes(now_ms, request, crashes);
        (is_new, book.crashes(&request).len())
    };
    if !is_new {
        return;
    }
    node.crash_reported.notify_one();
    metrics::counter!("dragonflywall_crash_reports_total", "source" => "local").increment(1);
    if node.log_limiter.may_log(LogClass::Notable) {
        log::warn!(request_digest:% = request, crashes = known; "a backend server ended while it ran a request");
    }
}

/// The refusal of a request that is withheld.
pub(crate) fn refusal_of(withheld: Withheld) -> Refusal {
    Refusal::from(Reason::EndsBackends)
        .with_retry_after_ms(withheld.retry_after_ms)
        .with_crashes(withheld.crashes)
}

/// Adds the crash of the backend server behind `endpoint` to a failure of the connection to its node. The backend server
/// may have ended with it.
pub(crate) fn add_node_crash(endpoint: &Endpoint, failure: Failure) -> Failure {
    if failure.reason != Reason::Lost {
        return failure;
    }
    let Endpoint {
        node,
        incarnation_us,
        backend_start,
        ..
    } = endpoint;
    let hash = blake3::hash(format!("{node} {incarnation_us}").as_bytes());
    let bytes = hash.as_bytes().first_chunk();
    let process = u32::from_be_bytes(*bytes.expect("a digest has 32 bytes"));
    failure.with_crashes(CrashSet::of(CrashId::new(*backend_start, process)))
}
