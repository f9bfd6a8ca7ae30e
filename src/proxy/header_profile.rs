//! Names of the headers that a node exchanges with callers and backend servers.
//!
//! The product has names of its own ([`DEFAULT`]); [`crate::platform`] has those of the users' platform.
//! Headers between nodes are the same under both, see [`super::headers`].

use std::time::{Duration, Instant};

use http::HeaderName;
use http::header::{HeaderMap, HeaderValue};

use super::headers;

/// One set of names, and what goes with them.
#[derive(Debug)]
pub(crate) struct HeaderProfile {
    /// Names a request. A caller that tries again gives each try a name of its own.
    pub(crate) request_id: HeaderName,
    /// Milliseconds until nobody waits for the answer any more.
    pub(crate) deadline_ms: HeaderName,
    /// Callers say themselves until when they wait; else only their route's timeout counts.
    pub(crate) callers_set_deadline: bool,
    /// To a backend server: names the running call, to be copied to the calls that it makes.
    pub(crate) call_token: Option<HeaderName>,
    /// A backend server's call has an id of its own that begins with that of the running request and
    /// [`CALL_ID_SEPARATOR`].
    pub(crate) calls_extend_request_id: bool,
    /// To a backend server: the service on whose VM the request began.
    pub(crate) caller_service: Option<HeaderName>,
    /// To a backend server: the only instance that may run the request.
    pub(crate) expected_instance: Option<HeaderName>,
    /// From a backend server, when it is asked for its health: which instance it is.
    pub(crate) instance: Option<HeaderName>,
    /// From a backend server: the request of this answer has not run.
    pub(crate) not_run: Option<HeaderName>,
    /// Backend servers repeat `request_id` in their answers, so an answer to another request is
    /// known as such.
    pub(crate) responses_repeat_id: bool,
    /// From a backend server: on each success, the mark that it is whole and its own.
    pub(crate) seal: Option<HeaderName>,
    /// `Retry-After` may have fractions of a second.
    pub(crate) retry_after_has_fractions: bool,
}

/// Parts the id of a call from that of the request that led to it.
pub(crate) const CALL_ID_SEPARATOR: char = '.';

/// The product's own names.
pub(crate) static DEFAULT: HeaderProfile = HeaderProfile {
    request_id: headers::REQUEST_ID,
    deadline_ms: headers::DEADLINE_MS,
    callers_set_deadline: false,
    call_token: Some(headers::CALL),
    calls_extend_request_id: false,
    caller_service: None,
    expected_instance: None,
    instance: None,
    not_run: None,
    responses_repeat_id: false,
    seal: None,
    retry_after_has_fractions: false,
};

impl HeaderProfile {
    /// The id of the request that led to the one with this id, if it is a call's.
    pub(crate) fn parent_of<'a>(&self, request_id: &'a HeaderValue) -> Option<&'a str> {
        let id = request_id
            .to_str()
            .ok()
            .filter(|_| self.calls_extend_request_id)?;
        id.rsplit_once(CALL_ID_SEPARATOR).map(|(parent, _)| parent)
    }

    /// Until when a caller waits, if it says so.
    pub(crate) fn deadline(&self, headers: &HeaderMap) -> Option<Instant> {
        if !self.callers_set_deadline {
            return None;
        }
        let timeout_ms = headers::get_u64(headers, &self.deadline_ms)?;
        Instant::now().checked_add(Duration::from_millis(timeout_ms))
    }

    /// The value of `Retry-After`: whole seconds, rounded up, unless fractions are understood.
    pub(crate) fn retry_after_value(&self, ms: u64) -> HeaderValue {
        if !self.retry_after_has_fractions {
            return HeaderValue::from(ms.div_ceil(1_000));
        }
        headers::to_value(&format!("{}.{:03}", ms / 1_000, ms % 1_000))
    }

    /// Drops from a caller's request what only the mesh may say to a backend server.
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

    /// Whether a backend server says that it has not run the request of this answer.
    pub(crate) fn is_not_run(&self, headers: &HeaderMap) -> bool {
        let name = self.not_run.as_ref();
        name.is_some_and(|name| headers.contains_key(name))
    }

    /// Whether an answer is a backend server's to the request with this id, as far as answers say. A
    /// backend server may answer twice, the second time where the next request's answer is expected;
    /// only the right answer has the id.
    pub(crate) fn is_response_to(
        &self,
        id: Option<&HeaderValue>,
        response: &http::response::Parts,
    ) -> bool {
        if !self.responses_repeat_id {
            return true;
        }
        let is_success = response.status.is_success();
        let is_sealed = self.seal.as_ref();
        let is_sealed = is_sealed.is_none_or(|name| response.headers.contains_key(name));
        match response.headers.get(&self.request_id) {
            Some(answered_id) => Some(answered_id) == id && (is_sealed || !is_success),
            None => !is_success,
        }
    }
}
