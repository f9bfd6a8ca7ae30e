//! Requests that callers send to the node of a VM.

use ::http::Method;

use crate::users::configuration::DEFAULT_HOST;

/// Header with the id of a request.
pub const REQUEST_ID: &str = "x-dfw-attempt-id";
/// Response header with which a backend server proves that it produced the response; see
/// [`response_seal`](crate::users::backend::response_seal).
pub const RESPONSE_SEAL: &str = "x-dfw-response-seal";

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Request id, sent in the header [`REQUEST_ID`].
    pub id: &'a str,
    /// Time that the caller waits for the response, sent in the header `x-dfw-deadline-ms`.
    pub deadline_ms: u64,
    /// Request body.
    pub body: &'a [u8],
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
}

impl<'a> CallerRequest<'a> {
    /// Returns a GET request for a path of [`DEFAULT_HOST`], with a deadline of 5 seconds.
    pub fn get(path: &'a str, id: &'a str) -> Self {
        Self {
            method: Method::GET,
            host: DEFAULT_HOST,
            path,
            id,
            deadline_ms: 5_000,
            body: b"",
            headers: &[],
        }
    }

    /// Returns a POST request, which must run at most once; otherwise like [`Self::get`].
    pub fn post(path: &'a str, id: &'a str) -> Self {
        Self {
            method: Method::POST,
            ..Self::get(path, id)
        }
    }
}
