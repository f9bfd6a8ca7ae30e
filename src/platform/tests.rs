//! Tests of the decoders for the formats of the users' platform.

use std::collections::BTreeMap;

use http::Method;

use super::{configuration, duration, headers, node_requests, settings};
use crate::core::backend_statement::{BackendStatement, RequestRate, StatedLimit};
use crate::core::configuration::{Configuration, Spill};
use crate::core::dialect::Dialect;
use crate::core::member::BackendState;
use crate::core::names::{InstanceName, ServiceName};
use crate::core::organisation::{KeyDigest, Quota};
use crate::core::routing::RouteTable;
use crate::core::version::Version;
use crate::node::settings::BackendServer;

const SETTINGS: &str = r#"
nodeId = "sidecar-gijon-1"
role = "node"
ip = "10.1.0.8"
zone = "gijon"
region = "cantabrico"
internalPortRange = [7620,7635]
seeds = ["10.1.0.9:8306"]
heartbeat = "1500ms"
bounds = ["grace=6s","retryBudgetRatio=0.2","budgetExtra=56"]
appAddr = "10.1.0.8:8301"
service = "huvo11a"
[listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
form = "table"
"#;

#[test]
fn durations_are_parsed_with_their_unit() {
    assert_eq!(duration::parse_ms("1500ms"), Some(1_500));
    assert_eq!(duration::parse_ms("2.5s"), Some(2_500));
    assert_eq!(duration::parse_ms("0ms"), Some(0));
    for invalid in ["", "5", "s", "ms", "-1s", "NaNs", "1 s", "infs"] {
        assert_eq!(duration::parse_ms(invalid), None, "`{invalid}`");
    }
}

#[test]
fn platform_settings_map_to_node_settings() {
    let settings = settings::decode(SETTINGS).expect("the file is valid");
    assert_eq!(settings.dialect, Dialect::Platform);
    assert_eq!(settings.caller_listen.to_string(), "10.1.0.8:8304");
    assert_eq!(settings.peer_listen.to_string(), "10.1.0.8:8300");
    assert_eq!(
        settings.ready_listen.expect("the file sets it").port(),
        8302
    );
    assert_eq!(
        settings.announce_listen.expect("the file sets it").port(),
        8306
    );
    assert_eq!(settings.platform_url, "http://10.200.1.7:8309");
    // A seed has the port of the announcement listener, which is replaced by the peer port.
    assert_eq!(settings.peer_seeds[0].to_string(), "10.1.0.9:8300");
    assert_eq!(settings.drain_timeout_ms, 5_500);
    assert_eq!(settings.retry_percent, 20);
    assert_eq!(settings.retry_reserve, Some(56));
}

/// Guards against an error that names only the first problem of a file, so that an operator has to fix
/// them one by one. The file may be written in part, or by a newer version of the platform.
#[test]
fn all_problems_of_a_settings_file_are_reported() {
    let invalid_file = SETTINGS
        .replace("ip = \"10.1.0.8\"", "ip = \"10.1.0\"")
        .replace("service = \"huvo11a\"\n", "")
        .replace("zone = \"gijon\"", "zone = 5");
    let problems = settings::decode(&invalid_file).expect_err("three values are invalid");
    assert_eq!(
        problems,
        [
            "`ip` = `10.1.0`: invalid IP address syntax",
            "`zone` is not a string",
            "`service` is missing",
        ]
    );
    let truncated = &SETTINGS[..SETTINGS.len() / 2];
    assert!(settings::decode(truncated).is_err());
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","attempts","weightedClusters"],
"rows":[["r-1","jepu9.example","/puka111/","non_idempotent","800ms","300ms",1,"wuno96b",2,null],
["r-2","hulo84.example","/leny950/","idempotent","1.2s","300ms",2,null,3,[{"service":"huvo11a","weight":90},{"service":"lovo22d","weight":10}]]]},
"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
"rows":[["huvo11a","/healthz",110,"h1",false],["lovo22d","/healthz",110,"h1",false],["wuno96b","/healthz",110,"h1",false]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}"#;

fn decoded(text: &str) -> Configuration {
    configuration::decode(text.as_bytes()).expect("the configuration is valid")
}

#[test]
fn configuration_is_decoded_into_routes_by_host() {
    let configuration = decoded(CONFIGURATION);
    assert_eq!(configuration.version, Version(7));
    let limits = configuration
        .caller_limits()
        .expect("the configuration sets them");
    assert_eq!(limits.idle_timeout_ms, 15_000);
    let table = RouteTable::compile(&configuration).expect("all references are valid");
    let payment_targets = table.find("jepu9.example", "POST", "/puka111/2f");
    let payment_targets = &payment_targets.expect("a route matches").targets;
    assert_eq!(payment_targets.len(), 1);
    assert_eq!(payment_targets[0].service.as_str(), "wuno96b");
    assert!(!payment_targets[0].treatment.idempotent);
    assert_eq!(payment_targets[0].treatment.spill, Spill::Mesh);
    let read = table.find("hulo84.example", "GET", "/leny950/2f");
    let read = &read.expect("a route matches").targets;
    let weights: BTreeMap<_, _> = read
        .iter()
        .map(|target| (target.service.as_str(), target.weight))
        .collect();
    assert_eq!(weights, BTreeMap::from([("huvo11a", 90), ("lovo22d", 10)]));
    assert_eq!(read[0].treatment.timeout_ms, 1_200);
    assert_eq!(read[0].treatment.target_latency_ms, Some(300));
    assert_eq!(read[0].treatment.attempts, 3);
    // A route matches only requests for its own host, and the name of a service is not a host.
    assert!(table.find("hulo84.example", "GET", "/puka111/2f").is_none());
    assert!(table.find("wuno96b", "POST", "/puka111/2f").is_none());
}

/// Guards against using the valid part of a configuration that is truncated or has an invalid field.
#[test]
fn invalid_configuration_is_rejected_as_a_whole() {
    let invalid = [
        CONFIGURATION[..200].to_owned(),
        CONFIGURATION.replace("\"wuno96b\",2,null", "\"nobody\",2,null"),
        CONFIGURATION.replace("\"800ms\"", "\"-800ms\""),
        CONFIGURATION.replace("\"maxConnections\"", "\"connections\""),
    ];
    for text in invalid {
        assert!(configuration::decode(text.as_bytes()).is_err(), "{text}");
    }
}

fn local_backend_server() -> BackendServer {
    BackendServer {
        service: ServiceName::new("huvo11a"),
        address: ([10, 0, 0, 9], 80).into(),
    }
}

#[test]
fn announcements_are_parsed_and_invalid_ones_rejected() {
    let body = r#"{"service":"huvo11a","address":"10.0.0.9:80","zone":"gijon","version":"v1",
        "slots":18,"state":"draining","coldRemaining":"1.5s","seq":4,"born":1792213106200}"#;
    let read = |body: &str| {
        node_requests::parse_announcement(
            &Method::PUT,
            "/-/instances/i-7f",
            body.as_bytes(),
            &local_backend_server(),
        )
    };
    let announcement = read(body).expect("the announcement is valid");
    assert_eq!(announcement.instance, Some(InstanceName::new("i-7f")));
    assert_eq!(announcement.state, BackendState::Draining);
    assert_eq!(announcement.slots, Some(18));
    assert_eq!(announcement.cold_ms, 1_500);
    assert_eq!(announcement.started_ms, Some(1_792_213_106_200));
    let invalid_bodies = [
        body.replace("draining", "asleep"),
        body.replace("\"seq\":4", "\"seq\":\"4\""),
        body.replace("\"slots\":18,", ""),
        body.replace("10.0.0.9:80", "nowhere"),
        "\u{1}\u{2}".to_owned(),
    ];
    for body in invalid_bodies {
        assert!(read(&body).is_err(), "{body}");
    }
    let removal = node_requests::parse_announcement(
        &Method::DELETE,
        "/-/instances/i-7f",
        b"",
        &local_backend_server(),
    );
    assert_eq!(
        removal.expect("the request is valid").state,
        BackendState::Gone
    );
    assert!(
        node_requests::parse_announcement(
            &Method::GET,
            "/-/instances/i-7f",
            b"",
            &local_backend_server()
        )
        .is_err()
    );
    assert!(
        node_requests::parse_announcement(
            &Method::PUT,
            "/-/instances/",
            b"{}",
            &local_backend_server()
        )
        .is_err()
    );
}

#[test]
fn statements_of_backend_servers_are_decoded() {
    let statement = |headers: &[(&str, &str)]| {
        let mut map = http::HeaderMap::new();
        for (name, value) in headers {
            let name: http::HeaderName = name.parse().expect("a header name");
            map.append(name, value.parse().expect("a header value"));
        }
        headers::PROFILE.statement(&map)
    };
    let rate = |per_s| StatedLimit::Rate(RequestRate::from_per_s(per_s).expect("a valid rate"));
    assert_eq!(statement(&[]), BackendStatement::default());
    for (text, limit) in [
        ("14", rate(14.0)),
        ("37.5", rate(37.5)),
        ("0", rate(0.0)),
        ("0.5", rate(0.5)),
        ("1e9", rate(1e9)),
        ("-1", StatedLimit::Unreadable),
        ("NaN", StatedLimit::Unreadable),
        ("inf", StatedLimit::Unreadable),
        ("many", StatedLimit::Unreadable),
        ("", StatedLimit::Unreadable),
    ] {
        assert_eq!(statement(&[("Server-Limit", text)]).limit, limit, "{text}");
    }
    let twice = statement(&[("Server-Limit", "20"), ("Server-Limit", "14")]);
    assert_eq!(twice.limit, rate(14.0));
    let one_unreadable = statement(&[("Server-Limit", "many"), ("Server-Limit", "14")]);
    assert_eq!(one_unreadable.limit, rate(14.0));
    assert!(statement(&[("Server-Leaving", "1")]).leaving);
    for text in ["0", "", "true"] {
        assert!(!statement(&[("Server-Leaving", text)]).leaving, "{text}");
    }
}

/// [`CONFIGURATION`] with organisations, whose rows are `rows`.
fn with_organisations(rows: &str) -> String {
    let tenants = format!(
        r#","tenants":{{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[{rows}]}}}}"#
    );
    let end = CONFIGURATION.strip_suffix('}').expect("it is an object");
    format!("{end}{tenants}")
}

/// Guards against keys that are kept, and against quotas and priorities that are lost.
#[test]
fn organisations_are_decoded_with_digests_of_their_keys() {
    let text = with_organisations(
        r#"["north",["key-of-north","other"],0,12.5,30],["south",["key-of-south"],2,0,5],["empty",[],null,null,null]"#,
    );
    let configuration = decoded(&text);
    let canonical = String::from_utf8(configuration.to_canonical()).expect("JSON is text");
    assert!(!canonical.contains("key-of-north"));
    let table = RouteTable::compile(&configuration).expect("no key is shared");
    let organisations = table.organisations().expect("the configuration has some");
    let north = organisations.find(KeyDigest::of(b"other"));
    let north = north.expect("the key is known");
    assert_eq!((north.name.as_str(), north.priority), ("north", 0));
    assert_eq!(north.quota, Quota::from_rate(12.5, 30));
    let south = organisations.find(KeyDigest::of(b"key-of-south"));
    assert_eq!(south.expect("the key is known").quota, None);
    assert_eq!(organisations.iter().count(), 3);
    let without = RouteTable::compile(&decoded(CONFIGURATION)).expect("all references are valid");
    assert!(without.organisations().is_none());
    let none = RouteTable::compile(&decoded(&with_organisations(""))).expect("no key is shared");
    assert!(none.organisations().is_some());
}

/// Guards against a configuration with invalid organisations of which a part is applied.
#[test]
fn invalid_organisations_are_rejected_whole() {
    for row in [
        r#"["north",["k"],1,-1,0]"#,
        r#"["north","k",1,1,0]"#,
        r#"["north",[7],1,1,0]"#,
        r#"[null,["k"],1,1,0]"#,
    ] {
        let text = with_organisations(row);
        let error = configuration::decode(text.as_bytes()).expect_err(row);
        assert!(!error.to_string().contains("\"k\""), "{error}");
    }
    let shared = with_organisations(r#"["north",["k"],1,0,0],["south",["k"],1,0,0]"#);
    assert!(RouteTable::compile(&decoded(&shared)).is_err());
}

/// Guards against a bound for keys that is used although the deployment does not ask for it.
#[test]
fn keys_are_limited_only_where_the_bounds_say_so() {
    let bounds_of = |bounds: &str| {
        let text = SETTINGS.replace("\"grace=6s\"", &format!("\"grace=6s\",{bounds}"));
        let settings = settings::decode(&text).expect("the file is valid");
        (
            settings.key_freshness_ms,
            settings.quota_window_ms,
            settings.quota_slack,
        )
    };
    assert_eq!(bounds_of(r#""revoke=4s""#).0, None);
    assert_eq!(bounds_of(r#""revoke=4s","strictRevoke=false""#).0, None);
    let strict = bounds_of(r#""revoke=4s","strictRevoke=true","quotaWindow=7s","quotaSlack=9""#);
    assert_eq!(strict, (Some(4_000), 7_000, 9));
}
