//! Decoder for the configuration format of the users' platform.
//!
//! Routes and services are tables: `columns` names the fields, and each entry of `rows` lists the
//! values in that order, with null for an absent field. Each service becomes a separate team record, so
//! that the difference between two versions names the services that changed. A route becomes a
//! resource and a route by host in the record of its service; if its requests are split among several
//! services, the route is in the record of the first one.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::duration::parse_ms;
use crate::core::configuration::{
    CallerLimits, Class, Configuration, PRIORITY_DEFAULT, RouteRecord, ServiceRecord, Spill,
    Target, TeamRecord, Treatment, WeightedTarget,
};
use crate::core::names::{HostName, OrganisationName, ResourceName, ServiceName, TeamName};
use crate::core::organisation::{KeyDigest, OrganisationRecord, Quota};
use crate::core::version::Version;

/// Result of decoding a configuration.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a configuration is rejected. No part of a rejected configuration is used.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("the configuration cannot be decoded from JSON"))]
    InvalidJson { source: serde_json::Error },
    #[snafu(display("{item}: the field `{field}` is missing or invalid"))]
    InvalidField { item: String, field: &'static str },
    #[snafu(display("{item}: the service `{service}` does not exist"))]
    UnknownService { item: String, service: String },
}

/// Queue length of an endpoint, per connection that the endpoint accepts. The platform's format has no
/// queue length. A request that waits too long is rejected because of its deadline long before this
/// limit matters.
const QUEUE_LEN_PER_CONNECTION: u32 = 4;

/// The configuration as operators write it.
#[derive(Debug, Deserialize)]
struct WireConfiguration {
    version: u64,
    routes: WireTable,
    services: WireTable,
    limits: Option<WireLimits>,
    /// Organisations whose keys requests need. Requests need no key if the field is absent.
    tenants: Option<WireTable>,
}

/// A table of the configuration.
#[derive(Debug, Deserialize)]
struct WireTable {
    columns: Vec<String>,
    rows: Vec<Vec<Value>>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Deserialize)]
struct WireLimits {
    #[serde(rename = "maxHeaderBytes")]
    max_header_bytes: u32,
    #[serde(rename = "maxBodyBytes")]
    max_body_bytes: u64,
    /// Time within which a caller must send the head of a request.
    #[serde(rename = "headerTimeout")]
    header_timeout: String,
    /// Time after which a caller's connection is closed if it sends no further request.
    #[serde(rename = "idleTimeout")]
    idle_timeout: String,
}

/// One of several services that share the requests of a route.
#[derive(Debug, Deserialize)]
struct WeightedService {
    service: String,
    weight: u32,
}

/// The fields of one table row, by column name.
struct RowFields<'a> {
    /// Kind and name of the row in error messages, such as ``route `reports` ``.
    item: String,
    /// Values other than null.
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

/// Decodes a configuration from JSON.
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
            organisations: None,
        };
        teams.insert(team.team.clone(), team);
    }
    let mut seen_matches = HashSet::new();
    for row in &wire.routes.rows {
        let fields = RowFields::new("route", &wire.routes.columns, row);
        let route = decode_route(&fields)?;
        // Two routes that match the same requests make a configuration invalid as a whole, so only the
        // first one is kept.
        if !seen_matches.insert((route.record.host.clone(), route.record.path.clone())) {
            log::warn!(route = fields.item; "ignoring a route that matches the same requests as an earlier one");
            continue;
        }
        insert_route(&mut teams, &fields.item, route)?;
    }
    if let Some(tenants) = &wire.tenants {
        insert_organisations(&mut teams, decode_organisations(tenants)?);
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
    // The limit of one endpoint, for all of its callers together.
    let connections = fields.required(as_u32, "maxConnections")?;
    let record = ServiceRecord {
        // The format has no number of slots, so this limit applies until a backend server announces its
        // own number.
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

/// A route and the treatment of its requests, which is the same for all of its targets.
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
        public: fields.optional(Value::as_bool, "public")?.unwrap_or(false),
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
        // Requests of all other kinds, including kinds added in the future, are run at most once.
        idempotent: kind == "idempotent",
        // The longest time that a caller waits for the response.
        timeout_ms: fields.required(as_duration_ms, "timeout")?,
        // Number of endpoints that one request may be sent to.
        attempts: fields.optional(as_u32, "attempts")?.unwrap_or(1),
        spill: Spill::Mesh,
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        // A response within this time has its full value to the caller.
        target_latency_ms: fields.optional(as_duration_ms, "targetLatency")?,
    })
}

/// Adds a route to the record of its service, and its treatment as a resource to the record of each
/// service that runs its requests. `item` names the route in errors.
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

/// Name of the record of organisations, which belong to no service.
const ORGANISATIONS_TEAM: &str = "organisations";

fn insert_organisations(
    teams: &mut BTreeMap<TeamName, TeamRecord>,
    organisations: BTreeMap<OrganisationName, OrganisationRecord>,
) {
    let name = TeamName::new(ORGANISATIONS_TEAM);
    // A service may have the same name as this record.
    let team = teams.entry(name.clone()).or_insert_with(|| TeamRecord {
        team: name,
        services: BTreeMap::new(),
        calls: BTreeMap::new(),
        caller_limits: None,
        organisations: None,
    });
    team.organisations = Some(organisations);
}

fn decode_organisations(
    table: &WireTable,
) -> Result<BTreeMap<OrganisationName, OrganisationRecord>> {
    let rows = table.rows.iter();
    rows.map(|row| decode_organisation(&RowFields::new("organisation", &table.columns, row)))
        .collect()
}

fn decode_organisation(fields: &RowFields<'_>) -> Result<(OrganisationName, OrganisationRecord)> {
    let name = OrganisationName::new(fields.required(Value::as_str, "name")?);
    let keys = fields.optional(as_key_digests, "apiKeys")?;
    let priority = fields.optional(as_u32, "priority")?;
    // Requests per second of all nodes together; 0 for no limit.
    let rate_per_s = fields.optional(as_rate, "ratePerS")?.unwrap_or(0.0);
    // Requests beyond the rate.
    let burst = fields.optional(as_rate, "burst")?.unwrap_or(0.0);
    let record = OrganisationRecord {
        keys: keys.unwrap_or_default(),
        priority: priority.map_or(PRIORITY_DEFAULT, |priority| {
            u8::try_from(priority).unwrap_or(u8::MAX)
        }),
        quota: Quota::from_rate(rate_per_s, burst as u64),
    };
    Ok((name, record))
}

fn as_key_digests(value: &Value) -> Option<BTreeSet<KeyDigest>> {
    let keys = value.as_array()?.iter();
    keys.map(|key| Some(KeyDigest::of(key.as_str()?.as_bytes())))
        .collect()
}

fn as_rate(value: &Value) -> Option<f64> {
    value.as_f64().filter(|rate| *rate >= 0.0)
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
