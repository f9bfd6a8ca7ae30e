//! The platform's header names.

use http::HeaderName;

use crate::proxy::header_profile::HeaderProfile;

/// With callers and backend servers.
pub(crate) static PROFILE: HeaderProfile = HeaderProfile {
    // An attempt of a caller: what a node sends once more keeps its id.
    request_id: HeaderName::from_static("x-dfw-attempt-id"),
    deadline_ms: HeaderName::from_static("x-dfw-deadline-ms"),
    callers_set_deadline: true,
    // Calls of a backend server bear no token, but their ids tell which request led to them.
    call_token: None,
    calls_extend_request_id: true,
    // The service of the VM where the request began, not of the caller.
    caller_service: Some(HeaderName::from_static("x-dfw-caller")),
    expected_instance: Some(HeaderName::from_static("x-dfw-expected-instance")),
    instance: Some(HeaderName::from_static("x-dfw-instance")),
    not_run: Some(HeaderName::from_static("x-dfw-not-executed")),
    responses_repeat_id: true,
    seal: Some(HeaderName::from_static("x-dfw-response-seal")),
    retry_after_has_fractions: true,
};
