//! Names and formats of the mesh's own headers, and removal of headers that must not be forwarded.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::core::backend_statement::{ReportedStatements, RequestRate};
use crate::core::names::{InstanceName, ResourceName};
use crate::core::status::BackendStart;
use crate::core::team_file::HEADER_MAX_BYTES;
use crate::core::token::TOKEN_HEADER;
use crate::decide::crashes::{CrashId, CrashSet};
use crate::decide::load_balancing::{LoadReport, RateReport};

#[cfg(test)]
mod tests;

/// Most bytes in the head of a request or response between nodes, as HTTP/2 counts them: 32 bytes for each field besides its name
/// and value. The longest head that a caller may be allowed to send passes, with the mesh's own fields.
pub(crate) const PEER_HEAD_MAX_BYTES: u32 = HEADER_MAX_BYTES + (64 << 10);

/// Prefix of all headers that nodes exchange. Headers with this prefix are removed from callers'
/// requests, so that a caller cannot set its own class, deadline or verdict.
pub(crate) const MESH_PREFIX: &str = "x-dragonflywall-";
/// On a request between nodes: distinguishes requests for a backend server from control calls on
/// the same listener. The value is the time of sending, in microseconds since the sender's VM
/// booted.
pub(crate) const DATA: HeaderName = HeaderName::from_static("x-dragonflywall-data");
/// On a request between nodes or to a backend server: milliseconds until its deadline.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-dragonflywall-deadline-ms");
/// On a request between nodes: name of the requested service.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("x-dragonflywall-service");
/// On a request between nodes: name of the requested resource of the service.
pub(crate) const RESOURCE: HeaderName = HeaderName::from_static("x-dragonflywall-resource");
/// On a request between nodes: five words separated by spaces. They are the class, the priority,
/// the longest wait for a slot in milliseconds, the milliseconds until the target latency has
/// passed, and whether the request is idempotent.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-dragonflywall-class");
/// On a request between nodes: number of nested calls above this request.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("x-dragonflywall-depth");
/// On a request between nodes: number of retries that the nested calls of this request may spend.
/// On a response: how many of them are unspent.
pub(crate) const RETRIES: HeaderName = HeaderName::from_static("x-dragonflywall-retries");
/// On a request between nodes: ids of the crashes that count under this request, separated by commas. On a response: of
/// the backend servers that ended while they ran the request or its nested calls.
pub(crate) const CRASHES: HeaderName = HeaderName::from_static("x-dragonflywall-crashes");
/// On a request between nodes to an endpoint of a candidate version: revision of the order for the
/// roll-out, as the entry node knows it.
pub(crate) const ROLLOUT_ORDER: HeaderName = HeaderName::from_static("x-dragonflywall-rollout");
/// On a request to a backend server: a token that the backend server copies to the calls it makes
/// while it runs the request.
pub(crate) const CALL_TOKEN: HeaderName = HeaderName::from_static("x-dragonflywall-call");
/// On each response of a backend server for as long as it holds: the requests per second that it accepts
/// from all nodes together, as a decimal number.
pub(crate) const RATE_LIMIT: HeaderName = HeaderName::from_static("x-dragonflywall-rate-limit");
/// On a response of a backend server: it did not run the request, and never will.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-dragonflywall-not-run");
/// On a response between nodes: load of the endpoint, as six numbers separated by spaces, in the
/// order that [`format_load`] writes, and two more while its backend server limits the rate of requests.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-dragonflywall-load");
/// On a response between nodes: how long requests for other resources hold a slot, as
/// comma-separated pairs `RESOURCE MICROSECONDS`.
pub(crate) const SERVICE_TIMES: HeaderName = HeaderName::from_static("x-dragonflywall-held");
/// On a response between nodes: statements of the backend server that are in force. On a request between nodes: what
/// the entry node knows of them. Four words separated by spaces: the start time of the backend server in milliseconds,
/// its limit in requests per second or `-`, `leaving` or `-`, and its instance name.
pub(crate) const STATEMENTS: HeaderName = HeaderName::from_static("x-dragonflywall-stated");
/// On a request between nodes: requests an upload permit for a large body, which the entry node has
/// not sent yet. The value is the length of the body in bytes.
pub(crate) const UPLOAD_PERMIT_REQUEST: HeaderName =
    HeaderName::from_static("x-dragonflywall-reserve");
/// On a response between nodes: the upload permit that the gate grants. The entry node returns it
/// with the body.
pub(crate) const UPLOAD_PERMIT: HeaderName = HeaderName::from_static("x-dragonflywall-turn");
/// On a failure response: whether the request may have run.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("x-dragonflywall-verdict");
/// On a failure response with the verdict `not-run`: what shows that. One word, and after `gate-refused` a second one: what
/// the gate's refusal rests on. Behind `after`, what shows that earlier attempts have not run.
pub(crate) const EVIDENCE: HeaderName = HeaderName::from_static("x-dragonflywall-evidence");
/// On a failure response: code of the reason.
pub(crate) const REASON: HeaderName = HeaderName::from_static("x-dragonflywall-reason");
/// On a failure response between nodes: milliseconds to wait before a retry.
pub(crate) const RETRY_AFTER_MS: HeaderName =
    HeaderName::from_static("x-dragonflywall-retry-after-ms");
/// On every request between nodes and to an operator listener: the mesh token.
pub(crate) const TOKEN: HeaderName = HeaderName::from_static(TOKEN_HEADER);
/// On every response to a caller: version of the configuration that applied to the request.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-dragonflywall-version");
/// On every request to a backend server and every response to a caller: id of the request.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// On a request to a backend server: name of the organisation whose key the caller sent.
pub(crate) const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that apply to one connection only and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// How long the sender of a response keeps the idle connection open, if `Keep-Alive` says so.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let parameters = get_str(headers, &KEEP_ALIVE)?.split(',');
    let mut pairs = parameters.filter_map(|parameter| parameter.split_once('='));
    let (_, timeout_s) = pairs.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    timeout_s.trim().parse().ok().map(Duration::from_secs)
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes all headers that start with [`MESH_PREFIX`].
pub(crate) fn strip_mesh_headers(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(MESH_PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

pub(crate) fn get_u64(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

pub(crate) fn get_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets [`CRASHES`] unless there are none.
pub(crate) fn insert_crashes(headers: &mut HeaderMap, crashes: CrashSet) {
    if !crashes.is_empty() {
        let ids: Vec<String> = crashes.iter().map(|id| format!("{:x}", id.0)).collect();
        headers.insert(CRASHES, to_value(&ids.join(",")));
    }
}

/// Reads [`CRASHES`]. Ids that cannot be read are left out.
pub(crate) fn parse_crashes(headers: &HeaderMap) -> CrashSet {
    let ids = get_str(headers, &CRASHES).unwrap_or("").split(',');
    ids.filter_map(|id| u64::from_str_radix(id, 16).ok())
        .map(CrashId)
        .collect()
}

/// Formats a load report as the value of [`LOAD`].
pub(crate) fn format_load(load: &LoadReport) -> HeaderValue {
    let LoadReport {
        in_use,
        ahead,
        slots,
        mean_service_time_us,
        resource_service_time_us,
        upload_time_us,
        rate,
    } = load;
    let rate = rate.map_or_else(String::new, |rate| {
        format!(" {} {}", rate.interval_us, rate.wait_us)
    });
    to_value(&format!(
        "{in_use} {ahead} {slots} {mean_service_time_us} {resource_service_time_us} {upload_time_us}{rate}"
    ))
}

/// Parses the value that [`format_load`] writes.
pub(crate) fn parse_load(headers: &HeaderMap) -> Option<LoadReport> {
    let mut numbers = get_str(headers, &LOAD)?.split(' ').map(str::parse::<u64>);
    let mut next = || numbers.next()?.ok();
    Some(LoadReport {
        in_use: u32::try_from(next()?).ok()?,
        ahead: u32::try_from(next()?).ok()?,
        slots: u32::try_from(next()?).ok()?,
        mean_service_time_us: next()?,
        resource_service_time_us: next()?,
        // Nodes of the previous release do not send the sixth number.
        upload_time_us: next().unwrap_or(0),
        rate: next().zip(next()).map(|(interval_us, wait_us)| RateReport {
            interval_us,
            wait_us,
        }),
    })
}

/// Formats how long requests for each resource hold a slot, as the value of [`SERVICE_TIMES`].
pub(crate) fn format_service_times(times: &[(&ResourceName, u64)]) -> HeaderValue {
    let times = times.iter();
    let times: Vec<String> = times
        .map(|(resource, service_time_us)| format!("{resource} {service_time_us}"))
        .collect();
    to_value(&times.join(","))
}

/// Parses the value that [`format_service_times`] writes.
pub(crate) fn parse_service_times(headers: &HeaderMap) -> Vec<(ResourceName, u64)> {
    let times = get_str(headers, &SERVICE_TIMES).unwrap_or("").split(',');
    let times = times.filter_map(|pair| {
        let (resource, service_time_us) = pair.split_once(' ')?;
        let service_time_us = service_time_us
            .parse()
            .ok()
            .filter(|service_time_us| *service_time_us > 0)?;
        Some((ResourceName::new(resource), service_time_us))
    });
    times.collect()
}

/// Formats statements as the value of [`STATEMENTS`].
pub(crate) fn format_statements(reported: &ReportedStatements) -> HeaderValue {
    let limit = reported
        .limit
        .map_or_else(|| ABSENT.to_owned(), |rate| rate.per_s().to_string());
    let leaving = if reported.leaving { LEAVING } else { ABSENT };
    let BackendStart {
        instance,
        started_ms,
    } = &reported.start;
    to_value(&format!("{started_ms} {limit} {leaving} {instance}"))
}

/// Parses the value that [`format_statements`] writes.
pub(crate) fn parse_statements(headers: &HeaderMap) -> Option<ReportedStatements> {
    let mut words = get_str(headers, &STATEMENTS)?.splitn(4, ' ');
    let started_ms = words.next()?.parse().ok()?;
    let limit = words.next()?.parse().ok().and_then(RequestRate::from_per_s);
    let leaving = words.next()? == LEAVING;
    Some(ReportedStatements {
        start: BackendStart {
            instance: InstanceName::new(words.next()?),
            started_ms,
        },
        limit,
        leaving,
    })
}

/// Words of [`STATEMENTS`].
const ABSENT: &str = "-";
const LEAVING: &str = "leaving";

/// Converts text made by this node to a header value. Text that is not valid in a header becomes
/// `?`.
pub(crate) fn to_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("?"))
}
