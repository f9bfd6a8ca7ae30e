use super::{US_PER_DAY, elapsed_us, parse_enforced_line, team_records, time_of_day_us};

#[test]
fn log_line_gives_version_and_time() {
    let line = r#"{"timestamp":"2026-01-31T22:44:57.172051+02:00","level":"INFO","line":1,
        "message":"enforced a configuration","kvs":{"version":7,"digest":"9eeeb60d"}}"#;
    let utc_us = ((20 * 3600 + 44 * 60 + 57) * 1_000_000) + 172_051;
    assert_eq!(parse_enforced_line(line), Some((7, utc_us)));
    assert_eq!(parse_enforced_line(r#"{"message":"listening"}"#), None);
    assert_eq!(parse_enforced_line("not JSON"), None);
}

#[test]
fn time_of_day_without_offset_is_utc() {
    assert_eq!(time_of_day_us("2026-01-31T00:00:01.5Z"), Some(1_500_000));
}

/// Only the time of day of a log line is compared. A run that passes midnight, and a node that
/// enforces a version shortly before the commit's answer arrives, must not count as almost a day.
#[test]
fn elapsed_time_handles_midnight_and_earlier_times() {
    assert_eq!(elapsed_us(3 * US_PER_DAY - 10, 20), 30);
    assert_eq!(elapsed_us(3 * US_PER_DAY + 100, 40), 0);
}

#[test]
fn generated_team_files_form_a_valid_configuration() {
    use dragonflywall::core::configuration::Configuration;
    use dragonflywall::core::routing::RouteTable;
    for services in [2, 7, 14] {
        let mut configuration = Configuration::default();
        for record in team_records(services, 2_000).expect("every team file is valid") {
            configuration.teams.insert(record.team.clone(), record);
        }
        assert_eq!(configuration.services().count(), services);
        RouteTable::compile(&configuration).expect("every called service is configured");
    }
}
