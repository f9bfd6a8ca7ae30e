//! Outcomes of requests in a simulation in which backend servers name rate limits.

use dragonflywall::core::configuration::Class;

use crate::simulation::{
    MS, NamedLimit, Policy, Results, SECOND, Scenario, Server, Stream, run_in_full,
};

const SLOTS: u32 = 18;
const SERVICE_TIME_US: u64 = 60 * MS;
const ENTRIES: usize = 16;
/// When the limits begin.
const FROM_US: u64 = 2 * SECOND;
/// When the requests end.
const END_US: u64 = 14 * SECOND;
/// Period over which the users count the requests to a backend server with a limit.
const LIMIT_PERIOD_US: u64 = 4 * SECOND;

fn reads(rank: u8, requests_per_s: u64) -> Stream {
    Stream {
        class: Class::Interactive,
        rank,
        requests_per_s,
        work_us: SERVICE_TIME_US,
        timeout_us: 800 * MS,
        target_us: 300 * MS,
        max_wait_us: 100 * MS,
        from_us: 0,
        until_us: END_US,
    }
}

fn limited(per_s: f64, until_us: u64) -> Server {
    Server {
        limit: Some(NamedLimit {
            per_s,
            from_us: FROM_US,
            until_us,
        }),
        ..Server::default()
    }
}

fn play(servers: Vec<Server>, streams: Vec<Stream>) -> Results {
    let scenario = Scenario {
        slots: SLOTS,
        queue_len: 72,
        servers,
        streams,
        entries: ENTRIES,
        probes_free_slots: true,
    };
    let results = run_in_full(&scenario, Policy::Product);
    for (class, outcomes) in &results.by_class {
        println!(
            "{class:?}: calls {} good {} on time {} refused {} timed out {} attempts {} rate-limited {} by rank {:?}",
            outcomes.calls,
            outcomes.succeeded,
            outcomes.on_time,
            outcomes.refused,
            outcomes.timed_out,
            outcomes.attempts,
            results.rate_limited_attempts,
            results.calls_by_rank,
        );
    }
    results
}

fn started_between(results: &Results, server: usize, from_us: u64, until_us: u64) -> Vec<u64> {
    let started_us = results.started_us[server].iter().copied();
    started_us
        .filter(|at_us| (from_us..until_us).contains(at_us))
        .collect()
}

fn assert_within(results: &Results, server: usize, per_s: f64) {
    let started_us = started_between(results, server, FROM_US, END_US);
    for (index, first_us) in started_us.iter().enumerate() {
        let later = started_us[index..].iter();
        let count = later
            .take_while(|at_us| **at_us < first_us + LIMIT_PERIOD_US)
            .count();
        let allowed = 1.5 * per_s * 4.0 + 5.0;
        assert!(count as f64 <= allowed, "{count} requests in 4 s");
    }
}

/// Guards against entry nodes that keep choosing a backend server which refuses them because of its limit.
#[test]
fn requests_go_past_a_backend_server_that_is_limited() {
    for per_s in [0.0, 0.5, 14.0, 37.5] {
        let mut servers = vec![Server::default(); 4];
        servers[0] = limited(per_s, END_US);
        let results = play(servers, vec![reads(2, 540)]);
        assert_within(&results, 0, per_s);
        let outcomes = &results.by_class[&Class::Interactive];
        assert!(outcomes.on_time * 100 >= outcomes.calls * 99);
        assert_eq!(outcomes.timed_out, 0);
        let limited_calls = outcomes.calls * (END_US - FROM_US) / END_US;
        assert!(
            results.rate_limited_attempts * 20 <= limited_calls,
            "{} of {limited_calls}",
            results.rate_limited_attempts
        );
    }
}

/// Guards against a limit that is kept by sending next to nothing.
#[test]
fn a_limited_backend_server_gets_what_it_takes_when_the_others_are_busy() {
    let per_s = 37.5;
    let servers = vec![limited(per_s, END_US), Server::default()];
    let capacity_per_s = u64::from(SLOTS) * SECOND / SERVICE_TIME_US;
    let results = play(servers, vec![reads(2, capacity_per_s + 60)]);
    assert_within(&results, 0, per_s);
    let from_us = FROM_US + 2 * SECOND;
    let started = started_between(&results, 0, from_us, END_US).len() as f64;
    let permitted = per_s * ((END_US - from_us) / SECOND) as f64;
    assert!(started >= 0.8 * permitted, "{started} of {permitted}");
}

/// Guards against requests that wait or are served out of their order when all backend servers are limited.
#[test]
fn the_highest_ranks_are_served_when_all_backend_servers_are_limited() {
    let servers = vec![limited(30.0, END_US); 4];
    let results = play(servers, vec![reads(1, 80), reads(2, 300)]);
    for server in 0..4 {
        assert_within(&results, server, 30.0);
    }
    let outcomes = &results.by_class[&Class::Interactive];
    assert_eq!(outcomes.timed_out, 0);
    let limited_s = (END_US - FROM_US) / SECOND;
    let permitted = 4 * 30 * limited_s;
    let succeeded = |rank| results.calls_by_rank[&rank].1;
    // Before the limits all requests are served.
    let free = |per_s: u64| per_s * FROM_US / SECOND;
    let served = outcomes.succeeded - free(380);
    assert!(served * 10 >= permitted * 8, "{served} of {permitted}");
    let share = |rank, per_s: u64| {
        let calls = results.calls_by_rank[&rank].0 - free(per_s);
        (succeeded(rank) - free(per_s)) as f64 / calls as f64
    };
    assert!(
        share(1, 80) > 2.0 * share(2, 300),
        "{} {}",
        share(1, 80),
        share(2, 300)
    );
    // The lowest rank is not starved.
    assert!(share(2, 300) > 0.02, "{}", share(2, 300));
}

/// Guards against entry nodes that go on leaving out a backend server whose limit has ended.
#[test]
fn the_full_rate_is_back_soon_after_a_limit_ends() {
    let until_us = 8 * SECOND;
    let servers = vec![limited(5.0, until_us), Server::default()];
    let results = play(servers, vec![reads(2, 400)]);
    let last_us = until_us + 2 * SECOND;
    let started = started_between(&results, 0, last_us, END_US).len() as u64;
    let fair = 400 / 2 * (END_US - last_us) / SECOND;
    assert!(started * 10 >= fair * 7, "{started} of {fair}");
}
