//! Handles requests at the operator listener, and those of the users' platform.
//!
//! | request | meaning |
//! |---|---|
//! | `GET /ready` | 200 if the node enforces a configuration and accepts requests, else 503 with the reason |
//! | `GET /status` | the state of the node and its view of the mesh: [`Status`] as JSON |
//! | `GET /rollouts` | the roll-outs of all services: a list of [`RolloutStatus`](crate::core::status::RolloutStatus) as JSON |
//! | `GET /organisations` | the use of quotas at this node: [`OrganisationsStatus`] as JSON |
//! | `GET /metrics` | metrics as Prometheus text |
//! | `POST /backend-server` | announcement of the local backend server: [`Announcement`] as JSON |
//! | `POST /drain` | stops sending new requests to the backend server; returns how many are in flight |

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use ractor::ActorRef;
use serde::Serialize;

use crate::core::member::BackendState;
use crate::core::names::is_name;
use crate::core::organisation::Organisation;
use crate::core::status::{Announcement, OrganisationStatus, OrganisationsStatus, Status};
use crate::core::version::{Stamp, Version};
use crate::decide::quota::QuotaBook;
use crate::node::backend_announcements::AnnouncementReply;
use crate::node::membership::MembershipMsg;
use crate::node::rollout::RolloutMsg;
use crate::node::state::NodeState;
use crate::platform::node_requests;
use crate::proxy::state::{CurrentConfiguration, NotServing};
use crate::util::clock;
use crate::util::unreadable::{self, Entry};

/// Longest body of an announcement; bounds the memory that one request can take.
const ANNOUNCEMENT_MAX_BYTES: usize = 4 << 10;

/// Longest wait for an answer of an actor in this process.
const ACTOR_TIMEOUT_MS: u64 = 1_000;

/// Most organisations that one answer lists.
const ORGANISATIONS_MAX: usize = 200;

fn organisation_status(
    book: &mut QuotaBook,
    now_ms: u64,
    organisation: &Organisation,
) -> Option<OrganisationStatus> {
    let quota = organisation.quota?;
    let used = book.use_of(now_ms, organisation.id, quota)?;
    Some(OrganisationStatus {
        name: organisation.name.clone(),
        rate_per_s: quota.rate_per_s().to_string(),
        burst_requests: quota.burst_requests,
        asked: used.here.asked,
        admitted: used.here.admitted,
        refused_total: used.refused_total,
        mesh_admitted: used.mesh_admitted,
        granted_left: used.granted_left,
    })
}

pub(crate) struct Operator {
    pub(crate) node: Arc<NodeState>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) rollout: ActorRef<RolloutMsg>,
}

impl Operator {
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ready") => self.ready(),
            (&Method::GET, "/status") => json(&self.status()),
            (&Method::GET, "/rollouts") => self.rollouts().await,
            (&Method::GET, "/organisations") => json(&self.organisations()),
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.metrics()),
            (&Method::POST, "/backend-server") => self.accept_announcement(request).await,
            (&Method::POST, "/drain") => self.drain(),
            _ => text(StatusCode::NOT_FOUND, "no such operator request\n"),
        }
    }

    async fn rollouts(&self) -> Response<Full<Bytes>> {
        match ractor::call_t!(self.rollout, RolloutMsg::GetStatus, ACTOR_TIMEOUT_MS) {
            Ok(status) => json(&status),
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping\n"),
        }
    }

    fn organisations(&self) -> OrganisationsStatus {
        let proxy = &self.node.proxy;
        let now_ms = proxy.uptime_ms();
        let compiled = proxy.last_configuration();
        let enforced = compiled.as_ref().map(|compiled| compiled.stamp.version);
        let age = proxy.configuration_age(enforced.unwrap_or(Version::NONE));
        let table = compiled.as_ref().and_then(|c| c.routes.organisations());
        let mut book = proxy.quotas();
        let mut organisations: Vec<OrganisationStatus> = table
            .into_iter()
            .flat_map(|table| table.iter())
            .filter_map(|organisation| organisation_status(&mut book, now_ms, organisation))
            .collect();
        organisations.sort_by(|a, b| b.asked.cmp(&a.asked).then_with(|| a.name.cmp(&b.name)));
        organisations.truncate(ORGANISATIONS_MAX);
        OrganisationsStatus {
            known_newest_ms_ago: age.known_newest_ms_ago,
            grants_age_ms: book.grants_age_ms(now_ms),
            organisations,
        }
    }

    fn metrics(&self) -> String {
        let (in_use, waiting) = {
            let admission = self.node.proxy.admission();
            (admission.in_use(), admission.waiting())
        };
        metrics::gauge!("dragonflywall_gate_slots_in_use").set(in_use);
        metrics::gauge!("dragonflywall_gate_waiting").set(waiting);
        let incoming_bodies = self.node.proxy.incoming_uploads.load(Ordering::Acquire);
        metrics::gauge!("dragonflywall_uploads_coming").set(incoming_bodies);
        let now_us = clock::since_us(self.node.proxy.started);
        if let Some(age_us) = self.node.proxy.statements().current().limit_age_us(now_us) {
            metrics::gauge!("dragonflywall_backend_limit_age_seconds").set(age_us as f64 / 1e6);
        }
        self.metrics.render()
    }

    /// Returns why the node does not accept requests; nothing if it does.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        self.reason_not_to_serve(&self.node.proxy.current_configuration())
    }

    fn reason_not_to_serve(
        &self,
        current: &Result<CurrentConfiguration, NotServing>,
    ) -> Option<&'static str> {
        if self.node.proxy.leaving.is_cancelled() {
            return Some("draining");
        }
        if let Some(reason) = **self.node.blocked_reason.load() {
            return Some(reason);
        }
        match current {
            Ok(_) => None,
            Err(NotServing::Refreshing) => Some("the process was frozen and catches up"),
            Err(NotServing::NoConfiguration) => Some("no configuration is enforced yet"),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        match self.not_ready_reason() {
            None => text(StatusCode::OK, "ready\n"),
            Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    fn status(&self) -> Status {
        let current = self.node.proxy.current_configuration();
        let ready = self.reason_not_to_serve(&current).is_none();
        let enforced = match current {
            Ok(current) => Some(current.compiled),
            Err(_) => self.node.proxy.last_configuration(),
        };
        let view = self.node.proxy.view.load();
        let stamp = enforced.as_ref().map(|applied| applied.stamp);
        let services = enforced
            .iter()
            .flat_map(|applied| applied.configuration.services());
        let unreachable_services = services
            .map(|(service, _)| service)
            .filter(|service| !view.endpoints.contains_key(*service))
            .cloned()
            .collect();
        Status {
            node: self.node.proxy.local_id,
            enforced: stamp.unwrap_or(Stamp::NONE),
            ready,
            unreachable_services,
            follows: *self.node.followed_node.borrow(),
            members: view.members.clone(),
            data_centres: view.data_centres.clone(),
        }
    }

    /// Drains the backend server. The node still serves its callers. Repeated calls only return the number of
    /// requests in flight.
    fn drain(&self) -> Response<Full<Bytes>> {
        if !self.node.drained_by_operator.swap(true, Ordering::AcqRel) {
            log::info!("an operator drains the backend server");
            self.node.proxy.close_gate();
            let draining = self.node.backend_record(BackendState::Draining);
            self.node
                .send_to_membership(MembershipMsg::SetBackend(draining));
        }
        let in_flight = self.node.proxy.admission().in_use();
        json(&serde_json::json!({ "draining": true, "in_flight": in_flight }))
    }

    /// Handles the readiness checks and announcements of the users' platform, which have other paths and bodies.
    pub(crate) async fn handle_platform(
        &self,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        if node_requests::is_readiness_probe(request.method(), request.uri().path()) {
            return self.ready();
        }
        let settings = self.node.proxy.reloadable.load_full();
        let Some(local) = &settings.backend_server else {
            return text(StatusCode::NOT_FOUND, "this VM has no backend server\n");
        };
        let (parts, body) = request.into_parts();
        let Ok(body) = Limited::new(body, ANNOUNCEMENT_MAX_BYTES).collect().await else {
            return text(StatusCode::BAD_REQUEST, "the announcement is too long\n");
        };
        let path = parts.uri.path();
        match node_requests::parse_announcement(&parts.method, path, &body.to_bytes(), local) {
            Ok(announcement) => {
                match self.node.handle_announcement(&announcement) {
                    // The reply is the same whether or not the announcement has an effect: it was received.
                    AnnouncementReply::Accepted | AnnouncementReply::Draining => {
                        text(StatusCode::OK, "noted\n")
                    }
                    AnnouncementReply::Foreign => foreign_announcement(),
                }
            }
            Err(error) => {
                unreadable::record(Entry::Announcement, path, &error);
                text(StatusCode::BAD_REQUEST, format!("{error}\n"))
            }
        }
    }

    async fn accept_announcement(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = Limited::new(request.into_body(), ANNOUNCEMENT_MAX_BYTES);
        let Ok(body) = body.collect().await else {
            return text(StatusCode::BAD_REQUEST, "the announcement is too long\n");
        };
        let announcement: Announcement = match serde_json::from_slice(&body.to_bytes()) {
            Ok(announcement) => announcement,
            Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        if !is_name(announcement.service.as_str()) {
            return text(StatusCode::BAD_REQUEST, "the service is not a name\n");
        }
        match self.node.handle_announcement(&announcement) {
            AnnouncementReply::Accepted => text(StatusCode::OK, "noted\n"),
            AnnouncementReply::Draining => text(StatusCode::CONFLICT, "the node is draining\n"),
            AnnouncementReply::Foreign => foreign_announcement(),
        }
    }
}

fn foreign_announcement() -> Response<Full<Bytes>> {
    let text_of_reply = "the announcement is not of this VM's backend server; see its settings\n";
    text(StatusCode::BAD_REQUEST, text_of_reply)
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the value can be encoded as JSON");
    let mut response = text(StatusCode::OK, body);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}
