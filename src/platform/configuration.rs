//! The configuration as the platform's operators write it, and the product's in its place.
//!
//! Routes and services come as tables: `columns` names the fields, `rows` holds lists of values in
//! that order, null for one that is left out. Each service becomes a team's record of its own, so
//! that the difference between two versions names the services that changed. A route goes to the
//! record of its service, or of the first of those that it is split among, as a resource and a
//! route that callers reach by host.

use std::collections::{BTreeMap, HashSet};

use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::duration::parse_ms;
use crate::core::configuration::{
    CallerLimits, Class, Configuration, RouteRecord, ServiceRecord, Spill, Target, TeamRecord,
    Treatment, WeightedTarget,
};
use crate::core::names::{HostName, ResourceName, ServiceName, TeamName};
use crate::core::version::Version;

/// Result of this module.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a configuration cannot be used; nothing of it is.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("the configuration cannot be read"))]
    InvalidJson { source: serde_json::Error },
    #[snafu(display("{item} has no usable `{field}`"))]
    InvalidField { item: String, field: &'static str },
    #[snafu(display("{item} names service `{service}`, which is not there"))]
    UnknownService { item: String, service: String },
}

/// Requests that may wait at one endpoint, as a multiple of the connections that it takes. The
/// platform names none; who waits too long is refused by its deadline long before.
const QUEUE_LEN_PER_CONNECTION: u32 = 4;

#[derive(Debug, Deserialize)]
struct WireConfiguration {
    version: u64,
    routes: WireTable,
    services: WireTable,
    limits: Option<WireLimits>,
}

#[derive(Debug, Deserialize)]
struct WireTable {
    columns: Vec<String>,
    rows: Vec<Vec<Value>>,
}

/// What callers may send.
#[derive(Debug, Deserialize)]
struct WireLimits {
    #[serde(rename = "maxHeaderBytes")]
    max_header_bytes: u32,
    #[serde(rename = "maxBodyBytes")]
    max_body_bytes: u64,
    /// For the head of one request.
    #[serde(rename = "headerTimeout")]
    header_timeout: String,
    /// Between two requests of a connection.
    #[serde(rename = "idleTimeout")]
    idle_timeout: String,
}

#[derive(Debug, Deserialize)]
struct WeightedService {
    service: String,
    weight: u32,
}

/// One row of a table, by the names of its columns.
struct RowFields<'a> {
    item: String,
    values: BTreeMap<&'a str, &'a Value>,
}

impl<'a> RowFields<'a> {
    fn new(kind: &str, columns: &'a [String], row: &'a [Value]) -> Self {
        let named_values = columns.iter().map(String::as_str).zip(row);
        let values: BTreeMap<&str, &Value> =
            named_values.filter(|(_, value)| !value.is_null()).collect();
        let name = values.get("name").and_then(|name| name.as_str());
        Self {
            item: format!("{kind} `{}`", name.unwrap_or("?")),
            values,
        }
    }

    fn optional<T>(
        &self,
        parse: impl Fn(&'a Value) -> Option<T>,
        field: &'static str,
    ) -> Result<Option<T>> {
        let Some(value) = self.values.get(field) else {
            return Ok(None);
        };
        let parsed = parse(value);
        let item = &self.item;
        parsed.context(InvalidFieldSnafu { item, field }).map(Some)
    }

    fn required<T>(
        &self,
        parse: impl Fn(&'a Value) -> Option<T>,
        field: &'static str,
    ) -> Result<T> {
        let item = &self.item;
        self.optional(parse, field)?
            .context(InvalidFieldSnafu { item, field })
    }
}

fn as_u32(value: &Value) -> Option<u32> {
    u32::try_from(value.as_u64()?).ok()
}

fn as_duration_ms(value: &Value) -> Option<u32> {
    u32::try_from(parse_ms(value.as_str()?)?).ok()
}

/// Reads the bytes of a configuration.
pub(crate) fn decode(bytes: &[u8]) -> Result<Configuration> {
    let wire: WireConfiguration = serde_json::from_slice(bytes).context(InvalidJsonSnafu)?;
    let mut teams = BTreeMap::new();
    for row in &wire.services.rows {
        let fields = RowFields::new("service", &wire.services.columns, row);
        let (name, record) = decode_service(&fields)?;
        let team = TeamRecord {
            team: TeamName::new(name.as_str()),
            services: BTreeMap::from([(name, record)]),
            calls: BTreeMap::new(),
            caller_limits: None,
        };
        teams.insert(team.team.clone(), team);
    }
    let mut seen_matches = HashSet::new();
    for row in &wire.routes.rows {
        let fields = RowFields::new("route", &wire.routes.columns, row);
        let route = decode_route(&fields)?;
        // Two that match the same requests would be refused as a whole; the first one holds.
        if !seen_matches.insert((route.record.host.clone(), route.record.path.clone())) {
            log::warn!(route = fields.item; "a route matches the same requests as another one");
            continue;
        }
        insert_route(&mut teams, &fields.item, route)?;
    }
    let limits = wire.limits.as_ref().map(decode_caller_limits).transpose()?;
    if let Some(team) = teams.values_mut().next() {
        team.caller_limits = limits;
    }
    Ok(Configuration {
        version: Version(wire.version),
        teams,
    })
}

fn decode_service(fields: &RowFields<'_>) -> Result<(ServiceName, ServiceRecord)> {
    let name = fields.required(Value::as_str, "name")?;
    // Connections that an endpoint takes from all its callers together.
    let connections = fields.required(as_u32, "maxConnections")?;
    let record = ServiceRecord {
        // Backend servers announce their own number; there is nothing else to go by.
        slots_per_endpoint: connections,
        connections_per_endpoint: connections,
        queue_len: connections.saturating_mul(QUEUE_LEN_PER_CONNECTION),
        health_path: fields
            .optional(Value::as_str, "healthPath")?
            .map(str::to_owned),
        resources: BTreeMap::new(),
        routes: Vec::new(),
    };
    Ok((ServiceName::new(name), record))
}

/// A route and what applies to its requests, wherever they go.
struct DecodedRoute {
    treatment: Treatment,
    record: RouteRecord,
}

fn decode_route(fields: &RowFields<'_>) -> Result<DecodedRoute> {
    let item = &fields.item;
    let name = ResourceName::new(fields.required(Value::as_str, "name")?);
    let as_weighted = |value: &Value| serde_json::from_value(value.clone()).ok();
    let weighted: Option<Vec<WeightedService>> =
        fields.optional(as_weighted, "weightedClusters")?;
    let target = |service: &str| Target {
        service: ServiceName::new(service),
        resource: name.clone(),
    };
    let split: Vec<WeightedTarget> = weighted
        .into_iter()
        .flatten()
        .map(|share| WeightedTarget {
            target: target(&share.service),
            weight: share.weight,
        })
        .collect();
    let single = fields.optional(Value::as_str, "service")?.map(target);
    let first = split.first().map(|share| share.target.clone());
    let record = RouteRecord {
        host: Some(HostName::new(fields.required(Value::as_str, "host")?)),
        methods: Default::default(),
        path: fields.required(Value::as_str, "prefix")?.to_owned(),
        target: single.or(first).context(InvalidFieldSnafu {
            item,
            field: "service",
        })?,
        split,
    };
    Ok(DecodedRoute {
        treatment: decode_treatment(fields)?,
        record,
    })
}

fn decode_treatment(fields: &RowFields<'_>) -> Result<Treatment> {
    let kind = fields.required(Value::as_str, "kind")?;
    let priority = fields.optional(as_u32, "priority")?.unwrap_or(0);
    Ok(Treatment {
        class: Class::Interactive,
        // Uploads and every kind that may come to be known are run once at most.
        idempotent: kind == "idempotent",
        // The longest that a caller is to be kept waiting.
        timeout_ms: fields.required(as_duration_ms, "timeout")?,
        // Endpoints that one request may be sent to.
        attempts: fields.optional(as_u32, "attempts")?.unwrap_or(1),
        spill: Spill::Mesh,
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        // An answer within this time earns its full worth.
        target_latency_ms: fields.optional(as_duration_ms, "targetLatency")?,
    })
}

/// Puts a route into the record of its service, and what applies to its requests into that of each
/// service that runs them.
fn insert_route(
    teams: &mut BTreeMap<TeamName, TeamRecord>,
    item: &str,
    route: DecodedRoute,
) -> Result<()> {
    let DecodedRoute { treatment, record } = route;
    let shares = record.split.iter().map(|share| &share.target);
    let targets: Vec<Target> = shares.chain([&record.target]).cloned().collect();
    for target in &targets {
        let service = service_mut(teams, item, &target.service)?;
        service
            .resources
            .insert(target.resource.clone(), treatment.clone());
    }
    let owner = record.target.service.clone();
    service_mut(teams, item, &owner)?.routes.push(record);
    Ok(())
}

fn service_mut<'a>(
    teams: &'a mut BTreeMap<TeamName, TeamRecord>,
    item: &str,
    name: &ServiceName,
) -> Result<&'a mut ServiceRecord> {
    let team = teams.get_mut(name.as_str());
    let service = team.and_then(|team| team.services.get_mut(name));
    service.context(UnknownServiceSnafu {
        item,
        service: name.as_str(),
    })
}

fn decode_caller_limits(limits: &WireLimits) -> Result<CallerLimits> {
    let duration_ms = |text: &str, field| {
        let ms = parse_ms(text).and_then(|ms| u32::try_from(ms).ok());
        let item = "limits";
        ms.context(InvalidFieldSnafu { item, field })
    };
    let header_timeout_ms = duration_ms(&limits.header_timeout, "headerTimeout")?;
    let idle_timeout_ms = duration_ms(&limits.idle_timeout, "idleTimeout")?;
    ensure!(
        limits.max_header_bytes > 0,
        InvalidFieldSnafu {
            item: "limits",
            field: "maxHeaderBytes"
        }
    );
    Ok(CallerLimits {
        header_max_bytes: limits.max_header_bytes,
        body_max_bytes: limits.max_body_bytes,
        header_timeout_ms,
        idle_timeout_ms,
    })
}
