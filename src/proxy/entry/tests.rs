//! Requests that are admitted at one moment and go on at a later one, with events forced in between.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Request;
use http::request::Parts;
use testkit::users::configuration::{DEFAULT_HOST, Route, RouteKind, json_text};

use super::{headers, serve_early};
use crate::core::member::{BackendState, CapacityClass, Liveness, Member, NodeId, Place};
use crate::core::names::{DataCentreName, RegionName, ServiceName};
use crate::core::version::Version;
use crate::decide::freeze::FREEZE_GAP_MS;
use crate::distribution::Holder;
use crate::node::settings::Settings;
use crate::platform;
use crate::proxy::header_profile;
use crate::proxy::state::ProxyState;
use crate::proxy::view::MembershipView;

pub(super) const SERVICE: &str = "armazem";

/// A node that enforces a version with a route of this kind.
pub(super) struct Node {
    pub(super) state: Arc<ProxyState>,
    holder: Holder,
}

impl Node {
    pub(super) fn new() -> Self {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("the address is valid");
        let settings = Settings::builder()
            .caller_listen(any_port)
            .peer_listen(any_port)
            .operator_listen(any_port)
            .place(Place {
                region: RegionName::new("cantabrico"),
                data_centre: DataCentreName::new("gijon"),
            })
            .platform_url("http://127.0.0.1:1")
            .build();
        let profile = &header_profile::DEFAULT;
        Self {
            state: Arc::new(ProxyState::new(settings, profile, NodeId(any_port))),
            holder: Holder::default(),
        }
    }

    fn enforce(&mut self, version: u64, kind: RouteKind) {
        let routes = [Route::new("/stock/", kind, SERVICE)];
        let text = json_text(version, &routes, &[SERVICE]);
        let configuration = platform::configuration::decode(text.as_bytes());
        let configuration = configuration.expect("the configuration is valid");
        let prepared = self.holder.prepare_configuration(configuration);
        prepared.expect("the version is newer");
        let compiled = self.holder.enforce().expect("the version is held");
        self.state.enforce(compiled);
    }
}

fn read() -> Parts {
    let request = Request::get("/stock/1").header("host", DEFAULT_HOST);
    let request = request.body(()).expect("the request is valid");
    request.into_parts().0
}

/// Guards against a request that starts before those ahead of it under a version by which it must not, because the
/// version changed between the decision and the start.
#[tokio::test]
async fn a_request_that_starts_early_is_served_by_the_version_that_allows_it() {
    let mut node = Node::new();
    node.enforce(1, RouteKind::Idempotent);
    let early = serve_early(&node.state, &read()).expect("the request may start early");
    node.enforce(2, RouteKind::NonIdempotent);
    assert!(serve_early(&node.state, &read()).is_none());
    let response = early.await;
    assert_eq!(response.headers()[headers::VERSION], "1");
    assert_eq!(response.headers()[headers::REASON], "no-endpoint");
}

/// Guards against a request that starts early after a freeze under the version from before it.
#[tokio::test]
async fn a_request_that_was_to_start_early_is_refused_after_a_freeze() {
    let mut node = Node::new();
    node.enforce(1, RouteKind::Idempotent);
    let early = serve_early(&node.state, &read()).expect("the request may start early");
    let freezes = &node.state.freezes;
    assert!(
        freezes
            .tick(node.state.uptime_ms() + FREEZE_GAP_MS)
            .is_some()
    );
    freezes.record_refreshed(freezes.epoch());
    let response = early.await;
    assert_eq!(response.headers()[headers::VERDICT], "not-run");
    assert_eq!(response.headers()[headers::REASON], "refreshing");
}

/// An endpoint of the service, at an address where nothing accepts connections.
fn unreachable_endpoint(place: &Place) -> Member {
    let address = std::net::TcpListener::bind("127.0.0.1:0").and_then(|port| port.local_addr());
    let address = address.expect("a port is free");
    Member {
        node: NodeId(address),
        external: address,
        place: place.clone(),
        incarnation_us: 1,
        sequence: 1,
        liveness: Liveness::Alive,
        service: Some(ServiceName::new(SERVICE)),
        backend: BackendState::Serving,
        backend_start: None,
        software_version: None,
        capacity: CapacityClass::default(),
        enforced: Version(1),
    }
}

/// Guards against a refusal for want of endpoints by a node that has just started and has received a part of its view.
#[tokio::test]
async fn a_request_waits_for_the_view_of_a_node_that_has_just_started() {
    let mut node = Node::new();
    node.enforce(1, RouteKind::Idempotent);
    let early = serve_early(&node.state, &read()).expect("the request may start early");
    let response = tokio::spawn(early);
    tokio::task::yield_now().await;
    let place = node.state.settings.place.clone();
    let members = vec![unreachable_endpoint(&place)];
    let view = MembershipView::new(members, node.state.local_id, &place);
    node.state.set_view(view);
    let response = response.await.expect("the request does not panic");
    assert_ne!(response.headers()[headers::REASON], "no-endpoint");
}
