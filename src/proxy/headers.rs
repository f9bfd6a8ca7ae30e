//! The mesh's own headers, and which headers never pass through.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use crate::core::names::ResourceName;
use crate::core::token::TOKEN_HEADER;
use crate::decide::load_balancing::LoadReport;

/// Prefix of every header that nodes exchange. Callers' headers with it are dropped: a caller
/// must not be able to set its own class, deadline or verdict.
pub(crate) const MESH_PREFIX: &str = "x-dragonflywall-";
/// On a request between nodes: marks data, apart from control calls on the same listener, and says
/// when it was sent, by the sender's microseconds since its VM was started.
pub(crate) const DATA: HeaderName = HeaderName::from_static("x-dragonflywall-data");
/// On a request between nodes: milliseconds that remain until its deadline;
/// also on one to a backend server.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("x-dragonflywall-deadline-ms");
/// On a request between nodes: the service that it is for.
pub(crate) const SERVICE: HeaderName = HeaderName::from_static("x-dragonflywall-service");
/// On a request between nodes: the resource that it asks for.
pub(crate) const RESOURCE: HeaderName = HeaderName::from_static("x-dragonflywall-resource");
/// On a request between nodes: class of the work, its rank, and for how many milliseconds it is
/// willing to wait for a slot, with blanks between them.
pub(crate) const CLASS: HeaderName = HeaderName::from_static("x-dragonflywall-class");
/// On a request between nodes: calls that led to it.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("x-dragonflywall-depth");
/// On a request between nodes: retries that may be spent further down. On an answer: those left.
pub(crate) const RETRIES: HeaderName = HeaderName::from_static("x-dragonflywall-retries");
/// On a request to a backend server, which copies it to the calls that it makes meanwhile.
pub(crate) const CALL: HeaderName = HeaderName::from_static("x-dragonflywall-call");
/// On an answer between nodes: the endpoint's load, six numbers with blanks between them.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-dragonflywall-load");
/// On an answer between nodes: how many microseconds requests for other resources hold a slot, as `NAME MICROSECONDS`
/// with commas between them.
pub(crate) const HELD: HeaderName = HeaderName::from_static("x-dragonflywall-held");
/// On a request between nodes: its large body is still with the entry, which asks for a turn.
pub(crate) const RESERVE: HeaderName = HeaderName::from_static("x-dragonflywall-reserve");
/// The turn that a gate gave to a large body, and with which the body comes.
pub(crate) const TURN: HeaderName = HeaderName::from_static("x-dragonflywall-turn");
/// On a failed answer: what is known of whether the request ran.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("x-dragonflywall-verdict");
/// On a failed answer: why, as one word.
pub(crate) const REASON: HeaderName = HeaderName::from_static("x-dragonflywall-reason");
/// On a failed answer between nodes: when asking again may help, in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName =
    HeaderName::from_static("x-dragonflywall-retry-after-ms");
/// On every request between nodes and to an operator listener: the mesh token.
pub(crate) const TOKEN: HeaderName = HeaderName::from_static(TOKEN_HEADER);
/// On every answer to a caller: the configuration version it was served under.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-dragonflywall-version");
/// On every request that reaches a backend server and every answer to a caller.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Drops headers of one connection, among them those that `Connection` names.
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

/// Drops the mesh's own headers.
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

/// Writes a load for [`LOAD`].
pub(crate) fn format_load(load: &LoadReport) -> HeaderValue {
    let LoadReport {
        in_use,
        ahead,
        slots,
        mean_service_time_us: mean_held_us,
        resource_service_time_us: resource_held_us,
        upload_time_us: intake_us,
    } = load;
    to_value(&format!(
        "{in_use} {ahead} {slots} {mean_held_us} {resource_held_us} {intake_us}"
    ))
}

/// Reads what [`format_load`] wrote.
pub(crate) fn parse_load(headers: &HeaderMap) -> Option<LoadReport> {
    let mut numbers = get_str(headers, &LOAD)?.split(' ').map(str::parse::<u64>);
    let mut next = || numbers.next()?.ok();
    Some(LoadReport {
        in_use: u32::try_from(next()?).ok()?,
        ahead: u32::try_from(next()?).ok()?,
        slots: u32::try_from(next()?).ok()?,
        mean_service_time_us: next()?,
        resource_service_time_us: next()?,
        // A node of the release before says no sixth.
        upload_time_us: next().unwrap_or(0),
    })
}

/// Writes how long requests for some resources hold a slot, for [`HELD`].
pub(crate) fn format_hold_times(times: &[(&ResourceName, u64)]) -> HeaderValue {
    let times = times.iter();
    let times: Vec<String> = times
        .map(|(resource, held_us)| format!("{resource} {held_us}"))
        .collect();
    to_value(&times.join(","))
}

/// Reads what [`format_hold_times`] wrote.
pub(crate) fn parse_hold_times(headers: &HeaderMap) -> Vec<(ResourceName, u64)> {
    let times = get_str(headers, &HELD).unwrap_or("").split(',');
    let times = times.filter_map(|time| {
        let (resource, held_us) = time.split_once(' ')?;
        let held_us = held_us.parse().ok().filter(|held_us| *held_us > 0)?;
        Some((ResourceName::new(resource), held_us))
    });
    times.collect()
}

/// A header value from text that the mesh itself made.
pub(crate) fn to_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("?"))
}
