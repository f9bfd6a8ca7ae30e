//! The configuration as the users' operators write it.

use serde_json::{Value, json};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Any number of times.
    Idempotent,
    /// Never.
    NonIdempotent,
    /// Never; its bodies are large.
    Upload,
}

impl RouteKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Upload => "upload",
        }
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Host that callers name.
    pub host: String,
    /// Beginning of their path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u32,
    /// Time within which an answer is worth most.
    pub target_latency_ms: u32,
    /// Endpoints that one request may be sent to.
    pub attempts: u32,
    /// Services by weight; one alone gets all.
    pub destinations: Vec<(String, u32)>,
}

impl Route {
    /// A route to one service.
    pub fn new(prefix: &str, kind: RouteKind, service: &str) -> Self {
        Self {
            host: DEFAULT_HOST.to_owned(),
            prefix: prefix.to_owned(),
            kind,
            timeout_ms: 5_000,
            target_latency_ms: 1_000,
            attempts: 2,
            destinations: vec![(service.to_owned(), 100)],
        }
    }
}

/// Host of routes that name no other.
pub const DEFAULT_HOST: &str = "mesh.example";

/// Longest time that a caller's connection may be idle, where a test asks for no other.
pub const DEFAULT_IDLE_TIMEOUT_MS: u32 = 15_000;

/// The text of a configuration.
pub fn json_text(version: u64, routes: &[Route], services: &[&str]) -> String {
    json_text_with_idle_timeout(version, routes, services, DEFAULT_IDLE_TIMEOUT_MS)
}

/// The text of a configuration under which callers' connections may be idle for so long.
pub fn json_text_with_idle_timeout(
    version: u64,
    routes: &[Route],
    services: &[&str],
    idle_timeout_ms: u32,
) -> String {
    let route_columns = [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout",
        "targetLatency",
        "priority",
        "service",
        "attempts",
        "weightedClusters",
    ];
    let routes: Vec<Value> = routes.iter().enumerate().map(route_row).collect();
    let service_columns = ["name", "healthPath", "maxConnections", "protocol", "tls"];
    let service = |name: &&str| json!([name, "/healthz", 110, "h1", false]);
    let services: Vec<Value> = services.iter().map(service).collect();
    json!({
        "version": version,
        "routes": {"columns": route_columns, "rows": routes},
        "services": {"columns": service_columns, "rows": services},
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 67_108_864,
            "headerTimeout": "3000ms",
            "idleTimeout": format!("{idle_timeout_ms}ms"),
        },
    })
    .to_string()
}

fn route_row((index, route): (usize, &Route)) -> Value {
    let weighted_service =
        |(service, weight): &(String, u32)| json!({"service": service, "weight": weight});
    let weighted_services: Vec<Value> = route.destinations.iter().map(weighted_service).collect();
    let (single, split) = match &route.destinations[..] {
        [(service, _)] => (json!(service), Value::Null),
        _ => (Value::Null, json!(weighted_services)),
    };
    json!([
        format!("r-{index}"),
        route.host,
        route.prefix,
        route.kind.as_str(),
        format!("{}ms", route.timeout_ms),
        format!("{}ms", route.target_latency_ms),
        1,
        single,
        route.attempts,
        split,
    ])
}
