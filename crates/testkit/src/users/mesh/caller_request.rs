//! Requests as callers of a VM make them.

use ::http::Method;

use crate::users::configuration::DEFAULT_HOST;

/// Header with the id of a request.
pub const REQUEST_ID: &str = "x-dfw-attempt-id";
/// Header by which a backend server says that an answer is its own.
pub const RESPONSE_SEAL: &str = "x-dfw-response-seal";

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest<'a> {
    /// Method.
    pub method: Method,
    /// Host that it names.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Its id.
    pub id: &'a str,
    /// How long its caller waits.
    pub deadline_ms: u64,
    /// Its body.
    pub body: &'a [u8],
}

impl<'a> CallerRequest<'a> {
    /// A read of a path of the usual host.
    pub fn get(path: &'a str, id: &'a str) -> Self {
        Self {
            method: Method::GET,
            host: DEFAULT_HOST,
            path,
            id,
            deadline_ms: 5_000,
            body: b"",
        }
    }

    /// A request that is run once at most.
    pub fn post(path: &'a str, id: &'a str) -> Self {
        Self {
            method: Method::POST,
            ..Self::get(path, id)
        }
    }
}
