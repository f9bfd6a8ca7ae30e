//! Tests of the formats of the mesh's own headers.

use http::header::HeaderMap;

use super::*;
use crate::core::backend_statement::StatedLimit;
use crate::proxy::header_profile;

#[test]
fn statements_are_parsed_as_they_were_formatted() {
    let rate = RequestRate::from_per_s(37.5);
    for (limit, leaving) in [(rate, false), (None, true), (rate, true)] {
        let reported = ReportedStatements {
            start: BackendStart {
                instance: InstanceName::new("i-7f3a 91"),
                started_ms: 1_790_000_000_000,
            },
            limit,
            leaving,
        };
        let mut headers = HeaderMap::new();
        headers.insert(STATEMENTS, format_statements(&reported));
        assert_eq!(parse_statements(&headers), Some(reported));
    }
}

#[test]
fn a_rate_limit_is_stated_under_the_own_header_name_as_well() {
    let mut headers = HeaderMap::new();
    headers.insert(RATE_LIMIT, HeaderValue::from_static("14.5"));
    let statement = header_profile::DEFAULT.statement(&headers);
    let rate = RequestRate::from_per_s(14.5).expect("a valid rate");
    assert_eq!(statement.limit, StatedLimit::Rate(rate));
}

#[test]
fn the_keep_alive_timeout_is_parsed() {
    let timeout = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(KEEP_ALIVE, HeaderValue::from_static(value));
        keep_alive_timeout(&headers)
    };
    assert_eq!(timeout("timeout=10"), Some(Duration::from_secs(10)));
    assert_eq!(timeout("max=5, Timeout = 1"), Some(Duration::from_secs(1)));
    for unreadable in ["", "timeout", "timeout=-1", "timeout=1.5", "max=100"] {
        assert_eq!(timeout(unreadable), None, "{unreadable}");
    }
    assert_eq!(keep_alive_timeout(&HeaderMap::new()), None);
}

#[test]
fn a_load_report_without_a_rate_limit_has_six_numbers() {
    let mut load = LoadReport {
        in_use: 1,
        ahead: 2,
        slots: 3,
        mean_service_time_us: 4,
        resource_service_time_us: 5,
        upload_time_us: 6,
        rate: None,
    };
    assert_eq!(format_load(&load), "1 2 3 4 5 6");
    load.rate = Some(RateReport {
        interval_us: 7,
        wait_us: 8,
    });
    let mut headers = HeaderMap::new();
    headers.insert(LOAD, format_load(&load));
    assert_eq!(parse_load(&headers), Some(load));
}
