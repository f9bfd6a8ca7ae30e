//! Health check of the local backend server.

use std::time::{Duration, Instant};

use http::{HeaderMap, Request, StatusCode};

use super::body;
use super::headers;
use super::promise::OpenAttempts;
use super::statements;
use crate::core::backend_statement::BackendStatement;
use crate::core::names::InstanceName;
use crate::core::status::Announcement;
use crate::proxy::state::ProxyState;
use crate::util::clock;

/// Timeout of one health check. The backend server is on the same VM, but like any request the
/// check may wait until the backend server has capacity for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a health check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// The instance accepts requests.
    Serving(InstanceName),
    /// The backend server is shutting down or failing. Its response may name the instance.
    NotServing(Option<InstanceName>),
    /// The backend server cannot be checked yet, did not answer the check, or did not identify
    /// itself.
    Unknown,
}

/// Checks the backend server that sent `announcement`.
pub(crate) async fn check(node: &ProxyState, announcement: &Announcement) -> Health {
    let Some(compiled) = node.last_configuration() else {
        return Health::Unknown;
    };
    let service = compiled.configuration.service(&announcement.service);
    let path = service.and_then(|service| service.health_path.as_deref());
    let Some(path) = path else {
        return from_announcement(announcement);
    };
    let request = Request::get(path)
        .header(http::header::HOST, announcement.service.as_str())
        .body(body::empty());
    let Ok(request) = request else {
        log::warn!(path; "the health path of the service is not a valid request path");
        return from_announcement(announcement);
    };
    let sent_at = Instant::now();
    let now_us = clock::since_us(node.started);
    node.admission().record_unpaced(now_us);
    let open_attempts = OpenAttempts::default();
    let exchange = node
        .pool
        .send(announcement.address, request, false, &open_attempts, || {
            Ok(())
        });
    match tokio::time::timeout(CHECK_TIMEOUT, exchange).await {
        Ok(Ok(response)) => {
            let headers = response.headers();
            let responded = responding_instance(node, headers);
            let is_other = responded.is_some() && responded != announcement.instance;
            // A response that states nothing may be of a health check that never does.
            if !is_other && node.header_profile.statement(headers) != BackendStatement::default() {
                statements::record_response(node, announcement.start().as_ref(), sent_at, headers);
            }
            from_response(node, response.status(), headers)
        }
        Ok(Err(_)) | Err(_) => Health::Unknown,
    }
}

/// Takes the state from the announcement, for a service without a health path.
fn from_announcement(announcement: &Announcement) -> Health {
    let instance = announcement.instance.clone();
    instance.map_or(Health::Unknown, Health::Serving)
}

fn from_response(node: &ProxyState, status: StatusCode, response_headers: &HeaderMap) -> Health {
    if node.header_profile.is_not_run(response_headers) {
        return Health::Unknown;
    }
    let instance = responding_instance(node, response_headers);
    if node.header_profile.statement(response_headers).leaving {
        return Health::NotServing(instance);
    }
    match (status.is_success(), instance) {
        (true, Some(instance)) => Health::Serving(instance),
        (true, None) => Health::Unknown,
        (false, instance) => Health::NotServing(instance),
    }
}

/// The instance that a response names as its sender.
fn responding_instance(node: &ProxyState, response_headers: &HeaderMap) -> Option<InstanceName> {
    let name = node.header_profile.instance.as_ref()?;
    headers::get_str(response_headers, name).map(InstanceName::new)
}
