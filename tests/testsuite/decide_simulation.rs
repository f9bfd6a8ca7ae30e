//! Outcomes of requests under load in a simulation: the product's decisions against a baseline policy.

use std::collections::BTreeMap;

use dragonflywall::core::configuration::{Class, PRIORITY_DEFAULT};

use crate::simulation::{MS, Outcomes, Policy, SECOND, Scenario, Server, Stream, run};

/// Name, slots per backend server and queue length of the users' two deployments.
const DEPLOYMENTS: [(&str, u32, u32); 2] = [("chatarras", 20, 40), ("marinhas", 6, 12)];

const SERVICE_TIME_US: u64 = 20 * MS;

fn capacity_per_s(slots: u32, servers: usize) -> u64 {
    u64::from(slots) * servers as u64 * SECOND / SERVICE_TIME_US
}

fn reads(per_s: u64, from_us: u64, until_us: u64) -> Stream {
    Stream {
        class: Class::Interactive,
        rank: PRIORITY_DEFAULT,
        requests_per_s: per_s,
        work_us: SERVICE_TIME_US,
        timeout_us: 400 * MS,
        target_us: 400 * MS,
        max_wait_us: 400 * MS,
        from_us,
        until_us,
    }
}

fn uploads(per_s: u64, work_us: u64) -> Stream {
    Stream {
        class: Class::Bulk,
        rank: PRIORITY_DEFAULT,
        requests_per_s: per_s,
        work_us,
        timeout_us: 60 * SECOND,
        target_us: 60 * SECOND,
        max_wait_us: 60 * SECOND,
        from_us: 0,
        until_us: 4 * SECOND,
    }
}

fn scenario(slots: u32, queue_len: u32, servers: usize, streams: Vec<Stream>) -> Scenario {
    Scenario {
        slots,
        queue_len,
        servers: vec![Server::default(); servers],
        streams,
        entries: 8,
        probes_free_slots: true,
    }
}

type OutcomesByClass = BTreeMap<Class, Outcomes>;

/// Runs a scenario under both policies, prints the outcomes of each class, and returns them.
fn compare(name: &str, scenario: &Scenario) -> (OutcomesByClass, OutcomesByClass) {
    let mut outcomes =
        [Policy::Product, Policy::Baseline].map(|policy| (policy, run(scenario, policy)));
    for (policy, by_class) in &mut outcomes {
        for (class, class_outcomes) in by_class {
            let (p50, p99) = (
                class_outcomes.percentile_ms(50),
                class_outcomes.percentile_ms(99),
            );
            println!(
                "{name:<24}{policy:<9?}{class:<12?} calls {:>6} good {:>6} refused {:>6} \
                 timed out {:>6} errors {:>5} attempts/call {:.2} p50 {p50:.1} ms p99 {p99:.1} ms",
                class_outcomes.calls,
                class_outcomes.succeeded,
                class_outcomes.refused,
                class_outcomes.timed_out,
                class_outcomes.errors,
                class_outcomes.attempts as f64 / class_outcomes.calls as f64,
            );
        }
    }
    let [(_, product), (_, baseline)] = outcomes;
    (product, baseline)
}

fn interactive_outcomes(by_class: &mut OutcomesByClass) -> &mut Outcomes {
    by_class
        .get_mut(&Class::Interactive)
        .expect("the scenario has interactive requests")
}

/// Guards against a collapse of goodput when demand rises to five times the capacity. With the baseline
/// policy the queues grow until every request times out while it waits.
#[test]
fn goodput_holds_at_five_times_capacity() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let capacity = capacity_per_s(slots, 4);
        let mut product_at = BTreeMap::new();
        let mut baseline_at = BTreeMap::new();
        for half_capacities in [1, 2, 4, 10] {
            let stream = reads(capacity * half_capacities / 2, 0, 4 * SECOND);
            let scenario = scenario(slots, queue_len, 4, vec![stream]);
            let name = format!("{name} x{}", half_capacities as f64 / 2.0);
            let (mut product, mut baseline) = compare(&name, &scenario);
            product_at.insert(
                half_capacities,
                interactive_outcomes(&mut product).succeeded,
            );
            baseline_at.insert(
                half_capacities,
                interactive_outcomes(&mut baseline).succeeded,
            );
        }
        assert!(product_at[&10] * 10 >= product_at[&2] * 9, "{product_at:?}");
        assert!(
            product_at[&10] > baseline_at[&10] * 2,
            "{product_at:?} {baseline_at:?}"
        );
    }
}

/// Guards against late responses in an overload of 20 % that lasts four seconds. The target latency is
/// 100 ms and the timeout 400 ms. If the queue is as long as the deadline allows, nearly every response
/// is late. With a maximum wait of a third of the target, nearly as many requests succeed, and nearly
/// all of them in time.
#[test]
fn a_lasting_overload_is_refused_instead_of_answered_late() {
    for (name, slots, _) in DEPLOYMENTS {
        let per_s = capacity_per_s(slots, 4) * 6 / 5;
        let mut on_time = Vec::new();
        let mut succeeded = Vec::new();
        for max_wait_us in [400 * MS, 100 * MS / 3] {
            let stream = Stream {
                target_us: 100 * MS,
                max_wait_us,
                ..reads(per_s, 0, 4 * SECOND)
            };
            let scenario = scenario(slots, 10_000, 4, vec![stream]);
            let name = format!("{name} {} ms", max_wait_us / MS);
            let (mut product, _) = compare(&name, &scenario);
            let class_outcomes = interactive_outcomes(&mut product);
            println!(
                "{name}: {} of {} in time",
                class_outcomes.on_time, class_outcomes.calls
            );
            on_time.push(class_outcomes.on_time);
            succeeded.push(class_outcomes.succeeded);
        }
        assert!(
            on_time[0] * 4 < succeeded[0],
            "{on_time:?} of {succeeded:?}"
        );
        assert!(
            on_time[1] * 100 >= succeeded[1] * 95,
            "{on_time:?} of {succeeded:?}"
        );
        assert!(succeeded[1] * 100 >= succeeded[0] * 90, "{succeeded:?}");
    }
}

/// Guards against queues that outlast a burst: a mesh at half load gets six times its capacity for half a
/// second.
#[test]
fn burst_costs_less_than_with_the_baseline_policy() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let capacity = capacity_per_s(slots, 4);
        let streams = vec![
            reads(capacity / 2, 0, 4 * SECOND),
            reads(capacity * 6, SECOND, SECOND * 3 / 2),
        ];
        let scenario = scenario(slots, queue_len, 4, streams);
        let (mut product, mut baseline) = compare(&format!("{name} burst"), &scenario);
        let (product, baseline) = (
            interactive_outcomes(&mut product),
            interactive_outcomes(&mut baseline),
        );
        assert!(product.succeeded > baseline.succeeded);
        assert!(product.percentile_ms(99) < baseline.percentile_ms(99));
    }
}

/// Guards against requests that time out at the one of four backend servers that is ten times as slow.
#[test]
fn one_slow_backend_server_is_avoided() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let stream = reads(capacity_per_s(slots, 4) / 2, 0, 4 * SECOND);
        let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
        scenario.servers[0].work_factor = 10;
        let (mut product, mut baseline) = compare(&format!("{name} one slow"), &scenario);
        let (product, baseline) = (
            interactive_outcomes(&mut product),
            interactive_outcomes(&mut baseline),
        );
        assert!(
            product.succeeded * 100 >= product.calls * 99,
            "{} of {}",
            product.succeeded,
            product.calls
        );
        assert!(product.succeeded > baseline.succeeded);
    }
}

/// Guards against short requests that wait behind uploads of half a second, which arrive at the full
/// capacity of the slots. At least 60 % of the uploads have to finish.
#[test]
fn interactive_requests_stay_fast_beside_uploads() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let capacity = capacity_per_s(slots, 4);
        let uploads_per_s = u64::from(slots) * 4 * 2;
        let streams = vec![
            reads(capacity / 10, 0, 4 * SECOND),
            uploads(uploads_per_s, 500 * MS),
        ];
        let scenario = scenario(slots, queue_len, 4, streams);
        let (mut product, mut baseline) = compare(&format!("{name} mix"), &scenario);
        let finished = product[&Class::Bulk].succeeded * 100 / product[&Class::Bulk].calls;
        assert!(finished >= 60, "{finished} % of the uploads finished");
        let (product, baseline) = (
            interactive_outcomes(&mut product),
            interactive_outcomes(&mut baseline),
        );
        assert!(
            product.succeeded * 100 >= product.calls * 99,
            "{} of {}",
            product.succeeded,
            product.calls
        );
        assert!(product.percentile_ms(99) < baseline.percentile_ms(99));
    }
}

/// Three of four backend servers have just been replaced and are slow (cold) for two seconds. Goodput and
/// latency must be no worse than with the baseline policy.
#[test]
fn cold_backend_servers_are_no_worse_than_with_the_baseline_policy() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let stream = reads(capacity_per_s(slots, 4) / 4, 0, 4 * SECOND);
        let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
        for server in &mut scenario.servers[1..] {
            server.cold_until_us = 2 * SECOND;
        }
        let (mut product, mut baseline) = compare(&format!("{name} cold"), &scenario);
        let (product, baseline) = (
            interactive_outcomes(&mut product),
            interactive_outcomes(&mut baseline),
        );
        assert!(product.succeeded >= baseline.succeeded);
        assert!(product.percentile_ms(99) <= baseline.percentile_ms(99));
    }
}

/// Guards against a failing backend server that attracts requests: it responds with 500 at once and passes
/// its health checks. Its load is the lowest, so load alone would send it most requests.
#[test]
fn backend_server_that_fails_fast_attracts_few_requests() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let stream = reads(capacity_per_s(slots, 4) / 2, 0, 4 * SECOND);
        let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
        scenario.servers[0].always_fails = true;
        let (mut product, mut baseline) = compare(&format!("{name} failing fast"), &scenario);
        let (product, baseline) = (
            interactive_outcomes(&mut product),
            interactive_outcomes(&mut baseline),
        );
        assert!(
            product.errors * 5 < baseline.errors,
            "{} {}",
            product.errors,
            baseline.errors
        );
    }
}

/// All callers are in the data centre of one of the four endpoints. Nearly all requests stay in it while
/// that endpoint has the capacity; the excess goes to the other data centre.
#[test]
fn skewed_demand_uses_remote_endpoints_only_when_near_ones_are_full() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        for percent in [40, 300] {
            let near_capacity_per_s = capacity_per_s(slots, 1);
            let stream = reads(near_capacity_per_s * percent / 100, 0, 4 * SECOND);
            let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
            for server in &mut scenario.servers[1..] {
                server.is_remote = true;
            }
            let (mut product, mut baseline) =
                compare(&format!("{name} skew {percent} %"), &scenario);
            let (product, baseline) = (
                interactive_outcomes(&mut product),
                interactive_outcomes(&mut baseline),
            );
            println!(
                "{name} skew {percent} %: remote {} baseline {}",
                product.served_remotely, baseline.served_remotely
            );
            assert!(
                product.succeeded * 100 >= product.calls * 99,
                "{} of {}",
                product.succeeded,
                product.calls
            );
            if percent < 100 {
                // At an average of 2.4 of six slots in use, 2.4 % of the requests find all of them
                // in use (Erlang's loss formula). Twice as many are allowed, because load reports
                // arrive late.
                assert!(
                    product.served_remotely * 20 < product.calls,
                    "{} of {}",
                    product.served_remotely,
                    product.calls
                );
            }
            assert!(product.served_remotely < baseline.served_remotely);
        }
    }
}

/// Guards against requests that are refused while other endpoints have free slots. Eighty entry nodes send
/// requests of 160 ms to 24 endpoints of six slots at a load of 90 %. Each entry node gets a load report
/// of an endpoint about once a second, by when the previous one is outdated. Probing for a free slot
/// first avoids nearly all refusals.
#[test]
fn probes_find_free_slots_despite_stale_load_reports() {
    const SERVERS: usize = 24;
    const LONG_US: u64 = 160 * MS;
    let per_s = SERVERS as u64 * 6 * SECOND / LONG_US * 9 / 10;
    let mut on_time = Vec::new();
    let mut refused = Vec::new();
    for probes in [false, true] {
        let stream = Stream {
            work_us: LONG_US,
            timeout_us: 1_200 * MS,
            target_us: 300 * MS,
            max_wait_us: 100 * MS,
            ..reads(per_s, 0, 8 * SECOND)
        };
        let mut scenario = scenario(6, 24, SERVERS, vec![stream]);
        scenario.entries = 80;
        scenario.probes_free_slots = probes;
        let name = format!("many entry nodes, probes {probes}");
        let (mut product, _) = compare(&name, &scenario);
        let class_outcomes = interactive_outcomes(&mut product);
        println!(
            "{name}: {} of {} in time",
            class_outcomes.on_time, class_outcomes.calls
        );
        on_time.push(class_outcomes.on_time * 1_000 / class_outcomes.calls);
        refused.push(class_outcomes.refused);
    }
    assert!(on_time[1] >= 995, "{on_time:?} of 1000");
    assert!(refused[1] * 10 <= refused[0], "{refused:?}");
}
