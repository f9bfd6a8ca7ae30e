//! Names of the headers that a node exchanges with callers and backend servers.
//!
//! [`DEFAULT`] has the product's own names; [`crate::platform`] has those of the users' platform.
//! Headers between nodes are the same in both, see [`super::headers`].

use std::time::{Duration, Instant};

use http::HeaderName;
use http::header::{HeaderMap, HeaderValue};

use super::headers;
use crate::core::backend_statement::{BackendStatement, RequestRate, StatedLimit};

/// A set of header names and the conventions that apply with them.
#[derive(Debug)]
pub(crate) struct HeaderProfile {
    /// Identifies a request. A caller that retries uses a new id for each attempt.
    pub(crate) request_id: HeaderName,
    /// Milliseconds after which the response is no longer needed.
    pub(crate) deadline_ms: HeaderName,
    /// Whether callers send a deadline. Otherwise only the timeout of the route applies.
    pub(crate) callers_set_deadline: bool,
    /// To a backend server: a token of the running request, which the backend server copies to its
    /// nested calls.
    pub(crate) call_token: Option<HeaderName>,
    /// Whether the id of a nested call consists of the id of the running request,
    /// [`CALL_ID_SEPARATOR`] and a suffix.
    pub(crate) calls_extend_request_id: bool,
    /// To a backend server: service of the VM on which the request entered the mesh.
    pub(crate) caller_service: Option<HeaderName>,
    /// To a backend server: name of the organisation whose key the caller sent.
    pub(crate) organisation: HeaderName,
    /// To a backend server: the only instance that may run the request.
    pub(crate) expected_instance: Option<HeaderName>,
    /// From a backend server, in the response to a health check: its instance name.
    pub(crate) instance: Option<HeaderName>,
    /// From a backend server: present if it did not run the request.
    pub(crate) not_run: Option<HeaderName>,
    /// Whether backend servers repeat `request_id` in their responses, so that a response to
    /// another request is recognised.
    pub(crate) responses_repeat_id: bool,
    /// From a backend server, on each response for as long as it holds: the requests per second that it
    /// accepts from all nodes together, as a decimal number.
    pub(crate) rate_limit: Option<HeaderName>,
    /// From a backend server that shuts down, on each response: [`LEAVING`].
    pub(crate) leaving: Option<HeaderName>,
    /// From a backend server, on each successful response: marks the response as complete and
    /// genuine.
    pub(crate) seal: Option<HeaderName>,
    /// Whether `Retry-After` may contain fractions of a second.
    pub(crate) retry_after_has_fractions: bool,
}

/// Separates the id of the parent request from the suffix in the id of a nested call.
pub(crate) const CALL_ID_SEPARATOR: char = '.';

/// Value of [`HeaderProfile::leaving`].
const LEAVING: &str = "1";

/// The product's own header names.
pub(crate) static DEFAULT: HeaderProfile = HeaderProfile {
    request_id: headers::REQUEST_ID,
    deadline_ms: headers::DEADLINE_MS,
    callers_set_deadline: false,
    call_token: Some(headers::CALL_TOKEN),
    calls_extend_request_id: false,
    caller_service: None,
    organisation: headers::ORGANISATION,
    expected_instance: None,
    instance: None,
    not_run: Some(headers::NOT_RUN),
    responses_repeat_id: false,
    rate_limit: Some(headers::RATE_LIMIT),
    leaving: None,
    seal: None,
    retry_after_has_fractions: false,
};

impl HeaderProfile {
    /// Id of the parent request, if `request_id` is the id of a nested call.
    pub(crate) fn parent_of<'a>(&self, request_id: &'a HeaderValue) -> Option<&'a str> {
        let id = request_id
            .to_str()
            .ok()
            .filter(|_| self.calls_extend_request_id)?;
        id.rsplit_once(CALL_ID_SEPARATOR).map(|(parent, _)| parent)
    }

    /// The deadline that the caller set, if callers set one.
    pub(crate) fn deadline(&self, headers: &HeaderMap) -> Option<Instant> {
        if !self.callers_set_deadline {
            return None;
        }
        let timeout_ms = headers::get_u64(headers, &self.deadline_ms)?;
        Instant::now().checked_add(Duration::from_millis(timeout_ms))
    }

    /// Value of `Retry-After`: whole seconds, rounded up, unless fractions are allowed.
    pub(crate) fn retry_after_value(&self, ms: u64) -> HeaderValue {
        if !self.retry_after_has_fractions {
            return HeaderValue::from(ms.div_ceil(1_000));
        }
        headers::to_value(&format!("{}.{:03}", ms / 1_000, ms % 1_000))
    }

    /// Removes headers from a caller's request that only the mesh may send to a backend server.
    pub(crate) fn strip_reserved(&self, headers: &mut HeaderMap) {
        let reserved = [
            &self.call_token,
            &self.caller_service,
            &self.expected_instance,
        ];
        for name in reserved.into_iter().flatten() {
            headers.remove(name);
        }
    }

    /// Whether the response says that the backend server did not run the request.
    pub(crate) fn is_not_run(&self, headers: &HeaderMap) -> bool {
        let name = self.not_run.as_ref();
        name.is_some_and(|name| headers.contains_key(name))
    }

    /// What a response says about its backend server.
    pub(crate) fn statement(&self, headers: &HeaderMap) -> BackendStatement {
        let name = self.leaving.as_ref();
        BackendStatement {
            limit: self.stated_limit(headers),
            leaving: name.is_some_and(|name| headers::get_str(headers, name) == Some(LEAVING)),
        }
    }

    /// The limit that a response names; of several, the lowest that can be read.
    fn stated_limit(&self, headers: &HeaderMap) -> StatedLimit {
        let Some(name) = &self.rate_limit else {
            return StatedLimit::None;
        };
        let values = headers.get_all(name);
        let rates = values.iter().filter_map(parse_rate);
        match rates.reduce(RequestRate::min) {
            Some(rate) => StatedLimit::Rate(rate),
            None if headers.contains_key(name) => StatedLimit::Unreadable,
            None => StatedLimit::None,
        }
    }

    /// Whether a response belongs to the request with this id, as far as its headers show.
    ///
    /// A backend server may send two responses, the second one in place of the response to the next
    /// request on the connection. Only the response with the right id is accepted.
    pub(crate) fn is_response_to<B>(
        &self,
        id: Option<&HeaderValue>,
        response: &http::Response<B>,
    ) -> bool {
        if !self.responses_repeat_id {
            return true;
        }
        let is_success = response.status().is_success();
        let is_sealed = self.seal.as_ref();
        let is_sealed = is_sealed.is_none_or(|name| response.headers().contains_key(name));
        let repeats_id = response.headers().get(&self.request_id) == id;
        repeats_id && (is_sealed || !is_success)
    }
}

fn parse_rate(value: &HeaderValue) -> Option<RequestRate> {
    let per_s = value.to_str().ok()?.trim().parse().ok()?;
    RequestRate::from_per_s(per_s)
}
