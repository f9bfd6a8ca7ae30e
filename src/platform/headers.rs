//! Names of the HTTP headers of the users' platform.

use http::HeaderName;

use crate::proxy::header_profile::HeaderProfile;

/// The headers that a node exchanges with callers and backend servers.
pub(crate) static PROFILE: HeaderProfile = HeaderProfile {
    // Identifies one attempt of the caller. A retry by a node keeps the ID.
    request_id: HeaderName::from_static("x-dfw-attempt-id"),
    deadline_ms: HeaderName::from_static("x-dfw-deadline-ms"),
    callers_set_deadline: true,
    // A backend server sends no token with its calls. The ID of a call begins with the ID of the request
    // that led to it.
    call_token: None,
    calls_extend_request_id: true,
    // The service of the VM on which the request entered the mesh, not the service of the direct caller.
    caller_service: Some(HeaderName::from_static("x-dfw-caller")),
    // The organisation that has the caller's key, in every request that has one.
    organisation: HeaderName::from_static("x-dfw-tenant"),
    expected_instance: Some(HeaderName::from_static("x-dfw-expected-instance")),
    instance: Some(HeaderName::from_static("x-dfw-instance")),
    not_run: Some(HeaderName::from_static("x-dfw-not-executed")),
    responses_repeat_id: true,
    // Requests per second that the backend server accepts from all nodes together, as a decimal number. In each
    // response for as long as the limit holds.
    rate_limit: Some(HeaderName::from_static("server-limit")),
    // `1` in each response of a backend server that shuts down.
    leaving: Some(HeaderName::from_static("server-leaving")),
    seal: Some(HeaderName::from_static("x-dfw-response-seal")),
    retry_after_has_fractions: true,
};
