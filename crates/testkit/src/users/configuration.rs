//! Builds configurations in the JSON format that the users' operators write.

use serde_json::{Value, json};

/// Whether requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may be retried any number of times.
    Idempotent,
    /// They must not be retried.
    NonIdempotent,
    /// They must not be retried, and their bodies are large.
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

/// A route, which maps requests to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Value of the `Host` header of its requests.
    pub host: String,
    /// Prefix of the path of its requests, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Limit on the time until the caller has a response.
    pub timeout_ms: u32,
    /// Latency to aim for; a response within it is worth more than a later one.
    pub target_latency_ms: u32,
    /// Limit on the number of endpoints to which a request is sent, one after another.
    pub attempts: u32,
    /// Services and their weights. A single service gets all requests, regardless of its weight.
    pub destinations: Vec<(String, u32)>,
    /// Whether requests need no key.
    pub public: bool,
}

/// An organisation whose callers send requests.
#[derive(Clone, Copy, Debug)]
pub struct Organisation<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its keys.
    pub keys: &'a [&'a str],
    /// Requests per second that it may send; 0 for no limit.
    pub rate_per_s: u32,
    /// Requests that it may send in addition.
    pub burst: u32,
}

impl Route {
    /// Returns a route from [`DEFAULT_HOST`] to a single service.
    pub fn new(prefix: &str, kind: RouteKind, service: &str) -> Self {
        Self {
            host: DEFAULT_HOST.to_owned(),
            prefix: prefix.to_owned(),
            kind,
            timeout_ms: 5_000,
            target_latency_ms: 1_000,
            attempts: 2,
            destinations: vec![(service.to_owned(), 100)],
            public: false,
        }
    }
}

/// Host of the routes that [`Route::new`] returns.
pub const DEFAULT_HOST: &str = "mesh.example";

/// Limit on the idle time of callers' connections in the configurations that [`json_text`] returns.
pub const DEFAULT_IDLE_TIMEOUT_MS: u32 = 15_000;

/// Returns a configuration as JSON text.
pub fn json_text(version: u64, routes: &[Route], services: &[&str]) -> String {
    json_text_with_idle_timeout(version, routes, services, DEFAULT_IDLE_TIMEOUT_MS)
}

/// Like [`json_text`], with organisations whose keys requests need.
pub fn json_text_with_organisations(
    version: u64,
    routes: &[Route],
    services: &[&str],
    organisations: &[Organisation<'_>],
) -> String {
    let mut configuration = json_value(version, routes, services, DEFAULT_IDLE_TIMEOUT_MS);
    let row = |organisation: &Organisation<'_>| {
        let Organisation {
            name,
            keys,
            rate_per_s,
            burst,
        } = organisation;
        json!([name, keys, 1, rate_per_s, burst])
    };
    configuration["tenants"] = json!({
        "columns": ["name", "apiKeys", "priority", "ratePerS", "burst"],
        "rows": organisations.iter().map(row).collect::<Vec<Value>>(),
    });
    configuration.to_string()
}

/// Like [`json_text`], with the given limit on the heads of callers' requests.
pub fn json_text_with_head_limit(
    version: u64,
    routes: &[Route],
    services: &[&str],
    head_max_bytes: u32,
) -> String {
    let mut configuration = json_value(version, routes, services, DEFAULT_IDLE_TIMEOUT_MS);
    configuration["limits"]["maxHeaderBytes"] = json!(head_max_bytes);
    configuration.to_string()
}

/// Like [`json_text`], with the given limit on the idle time of callers' connections.
pub fn json_text_with_idle_timeout(
    version: u64,
    routes: &[Route],
    services: &[&str],
    idle_timeout_ms: u32,
) -> String {
    json_value(version, routes, services, idle_timeout_ms).to_string()
}

fn json_value(version: u64, routes: &[Route], services: &[&str], idle_timeout_ms: u32) -> Value {
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
        "public",
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
        route.public,
    ])
}
