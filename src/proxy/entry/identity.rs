//! The organisation of a caller's request: reads its key, and names the organisation to the backend server.

use std::sync::Arc;

use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;

use super::RequestContext;
use crate::core::organisation::{KeyDigest, Organisation};
use crate::core::routing::Route;
use crate::decide::access::{self, Credential, Denial, Sender};
use crate::proxy::failure::{Reason, Refusal};
use crate::proxy::headers;
use crate::proxy::state::{CurrentConfiguration, ProxyState};

/// Scheme of the credentials that contain a key.
const KEY_SCHEME: &str = "token";

/// Takes the key out of a request, so that no backend server receives it, and removes a caller's own claim of an
/// organisation. Does neither if requests need no key.
pub(super) fn take_credential(
    node: &ProxyState,
    current: &CurrentConfiguration,
    headers: &mut HeaderMap,
) -> Credential {
    if current.compiled.routes.organisations().is_none() {
        return Credential::Absent;
    }
    headers.remove(&node.header_profile.organisation);
    let credential = read_credential(headers);
    headers.remove(header::AUTHORIZATION);
    credential
}

fn read_credential(headers: &HeaderMap) -> Credential {
    let values = headers.get_all(header::AUTHORIZATION);
    let mut keys = values.iter().filter_map(key_of);
    match (keys.next(), keys.next()) {
        (None, _) => Credential::Absent,
        (Some(key), None) => Credential::Key(KeyDigest::of(key)),
        (Some(_), Some(_)) => Credential::Ambiguous,
    }
}

fn key_of(value: &HeaderValue) -> Option<&[u8]> {
    let (scheme, key) = value.as_bytes().split_at_checked(KEY_SCHEME.len())?;
    let is_key = scheme.eq_ignore_ascii_case(KEY_SCHEME.as_bytes()) && key.starts_with(b" ");
    is_key.then(|| key.trim_ascii())
}

/// Finds the organisation of a request. Fails if the request needs a key that it does not have.
pub(super) fn organisation_of(
    node: &ProxyState,
    current: &CurrentConfiguration,
    parts: &Parts,
    route: &Route,
    context: &RequestContext,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    let compiled = &*current.compiled;
    let Some(organisations) = compiled.routes.organisations() else {
        return Ok(None);
    };
    let age = node.configuration_age(compiled.stamp.version);
    let sender = sender_of(node, parts, context);
    let (credential, is_public) = (context.credential, route.record.public);
    access::organisation_of(Some(organisations), sender, credential, is_public, age).map_err(denied)
}

fn denied(denial: Denial) -> Refusal {
    let reason = match denial {
        Denial::UnknownKey => Reason::UnknownKey,
        Denial::NotFresh => Reason::NotFresh,
        Denial::ParentEnded => Reason::ParentEnded,
    };
    metrics::counter!("dragonflywall_requests_denied_total", "reason" => reason.code())
        .increment(1);
    reason.into()
}

fn sender_of(node: &ProxyState, parts: &Parts, context: &RequestContext) -> Sender {
    let profile = node.header_profile;
    let id = parts.headers.get(&profile.request_id);
    match context.depth {
        0 if id.is_some_and(|id| profile.parent_of(id).is_some()) => Sender::EndedRequest,
        0 => Sender::Caller,
        _ => Sender::RunningRequest,
    }
}

/// Names `organisation` to the backend server.
pub(super) fn add_organisation(
    node: &ProxyState,
    organisation: Option<&Organisation>,
    headers: &mut HeaderMap,
) {
    if let Some(organisation) = organisation {
        let name = headers::to_value(organisation.name.as_str());
        headers.insert(&node.header_profile.organisation, name);
    }
}
