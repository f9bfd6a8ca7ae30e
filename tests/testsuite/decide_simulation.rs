//! What callers get from the decisions under load, beside the plain policy in the same run.

use std::collections::BTreeMap;

use dragonflywall::core::configuration::Class;

use crate::simulation::{MS, Outcomes, Policy, SECOND, Scenario, Server, Stream, run};

/// Slots and queue of the two deployments.
const DEPLOYMENTS: [(&str, u32, u32); 2] = [("chatarras", 20, 40), ("marinhas", 6, 12)];

const SERVICE_TIME_US: u64 = 20 * MS;

fn capacity_per_s(slots: u32, servers: usize) -> u64 {
    u64::from(slots) * servers as u64 * SECOND / SERVICE_TIME_US
}

fn reads(per_s: u64, from_us: u64, until_us: u64) -> Stream {
    Stream {
        class: Class::Interactive,
        requests_per_s: per_s,
        work_us: SERVICE_TIME_US,
        timeout_us: 400 * MS,
        target_us: 400 * MS,
        patience_us: 400 * MS,
        from_us,
        until_us,
    }
}

fn uploads(per_s: u64, work_us: u64) -> Stream {
    Stream {
        class: Class::Bulk,
        requests_per_s: per_s,
        work_us,
        timeout_us: 60 * SECOND,
        target_us: 60 * SECOND,
        patience_us: 60 * SECOND,
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
        checks_free_slots: true,
    }
}

type Outcome = BTreeMap<Class, Outcomes>;

/// Runs both policies and prints what callers saw.
fn compare(name: &str, scenario: &Scenario) -> (Outcome, Outcome) {
    let mut outcomes =
        [Policy::Product, Policy::Baseline].map(|policy| (policy, run(scenario, policy)));
    for (policy, outcome) in &mut outcomes {
        for (class, seen) in outcome {
            let (p50, p99) = (seen.percentile_ms(50), seen.percentile_ms(99));
            println!(
                "{name:<24}{policy:<6?}{class:<12?} calls {:>6} good {:>6} refused {:>6} \
                 timed out {:>6} errors {:>5} attempts/call {:.2} p50 {p50:.1} ms p99 {p99:.1} ms",
                seen.calls,
                seen.succeeded,
                seen.refused,
                seen.timed_out,
                seen.errors,
                seen.attempts as f64 / seen.calls as f64,
            );
        }
    }
    let [(_, ours), (_, plain)] = outcomes;
    (ours, plain)
}

fn interactive(outcome: &mut Outcome) -> &mut Outcomes {
    outcome
        .get_mut(&Class::Interactive)
        .expect("there were some")
}

/// Demand rises to five times what the slots can do. Goodput stays; with the plain policy the
/// queues grow until every request times out while it waits.
#[test]
fn goodput_holds_at_five_times_capacity() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let capacity = capacity_per_s(slots, 4);
        let mut ours_at = BTreeMap::new();
        let mut plain_at = BTreeMap::new();
        for halves in [1, 2, 4, 10] {
            let stream = reads(capacity * halves / 2, 0, 4 * SECOND);
            let scenario = scenario(slots, queue_len, 4, vec![stream]);
            let name = format!("{name} x{}", halves as f64 / 2.0);
            let (mut ours, mut plain) = compare(&name, &scenario);
            ours_at.insert(halves, interactive(&mut ours).succeeded);
            plain_at.insert(halves, interactive(&mut plain).succeeded);
        }
        assert!(ours_at[&10] * 10 >= ours_at[&2] * 9, "{ours_at:?}");
        assert!(ours_at[&10] > plain_at[&10] * 2, "{ours_at:?} {plain_at:?}");
    }
}

/// For four seconds reads come a fifth faster than the slots turn over. They are of use within 100 ms
/// and waited for four times as long. A queue as long as the deadline allows makes nearly every
/// answer late; one of a third of the target answers as many, nearly all of them in time.
#[test]
fn a_lasting_overload_is_refused_instead_of_answered_late() {
    for (name, slots, _) in DEPLOYMENTS {
        let per_s = capacity_per_s(slots, 4) * 6 / 5;
        let mut on_time = Vec::new();
        let mut good = Vec::new();
        for patience_us in [400 * MS, 100 * MS / 3] {
            let stream = Stream {
                target_us: 100 * MS,
                patience_us,
                ..reads(per_s, 0, 4 * SECOND)
            };
            let scenario = scenario(slots, 10_000, 4, vec![stream]);
            let name = format!("{name} {} ms", patience_us / MS);
            let (mut ours, _) = compare(&name, &scenario);
            let seen = interactive(&mut ours);
            println!("{name}: {} of {} in time", seen.on_time, seen.calls);
            on_time.push(seen.on_time);
            good.push(seen.succeeded);
        }
        assert!(on_time[0] * 4 < good[0], "{on_time:?} of {good:?}");
        assert!(on_time[1] * 100 >= good[1] * 95, "{on_time:?} of {good:?}");
        assert!(good[1] * 100 >= good[0] * 90, "{good:?}");
    }
}

/// Half a second of six times the capacity hits a mesh that is half busy. It is over soon after.
#[test]
fn burst_costs_less_than_with_the_plain_policy() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let capacity = capacity_per_s(slots, 4);
        let streams = vec![
            reads(capacity / 2, 0, 4 * SECOND),
            reads(capacity * 6, SECOND, SECOND * 3 / 2),
        ];
        let scenario = scenario(slots, queue_len, 4, streams);
        let (mut ours, mut plain) = compare(&format!("{name} burst"), &scenario);
        let (ours, plain) = (interactive(&mut ours), interactive(&mut plain));
        assert!(ours.succeeded > plain.succeeded);
        assert!(ours.percentile_ms(99) < plain.percentile_ms(99));
    }
}

/// One of four backend servers takes ten times as long.
#[test]
fn one_slow_backend_server_is_avoided() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let stream = reads(capacity_per_s(slots, 4) / 2, 0, 4 * SECOND);
        let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
        scenario.servers[0].work_factor = 10;
        let (mut ours, mut plain) = compare(&format!("{name} one slow"), &scenario);
        let (ours, plain) = (interactive(&mut ours), interactive(&mut plain));
        assert!(
            ours.succeeded * 100 >= ours.calls * 99,
            "{} of {}",
            ours.succeeded,
            ours.calls
        );
        assert!(ours.succeeded > plain.succeeded);
    }
}

/// Uploads of half a second come for more slots than there are, beside short reads. The reads
/// stay short and the uploads finish.
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
        let (mut ours, mut plain) = compare(&format!("{name} mix"), &scenario);
        let finished = ours[&Class::Bulk].succeeded * 100 / ours[&Class::Bulk].calls;
        assert!(finished >= 60, "{finished} % of the uploads finished");
        let (ours, plain) = (interactive(&mut ours), interactive(&mut plain));
        assert!(
            ours.succeeded * 100 >= ours.calls * 99,
            "{} of {}",
            ours.succeeded,
            ours.calls
        );
        assert!(ours.percentile_ms(99) < plain.percentile_ms(99));
    }
}

/// Three of four backend servers have just been replaced and are cold for two seconds.
#[test]
fn cold_backend_servers_are_no_worse_than_with_the_plain_policy() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let stream = reads(capacity_per_s(slots, 4) / 4, 0, 4 * SECOND);
        let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
        for server in &mut scenario.servers[1..] {
            server.cold_until_us = 2 * SECOND;
        }
        let (mut ours, mut plain) = compare(&format!("{name} cold herd"), &scenario);
        let (ours, plain) = (interactive(&mut ours), interactive(&mut plain));
        assert!(ours.succeeded >= plain.succeeded);
        assert!(ours.percentile_ms(99) <= plain.percentile_ms(99));
    }
}

/// One of four backend servers answers 500 at once and says that it is well. It looks idle, so
/// least load alone would send it most requests.
#[test]
fn backend_server_that_fails_fast_attracts_few_requests() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        let stream = reads(capacity_per_s(slots, 4) / 2, 0, 4 * SECOND);
        let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
        scenario.servers[0].always_fails = true;
        let (mut ours, mut plain) = compare(&format!("{name} lying"), &scenario);
        let (ours, plain) = (interactive(&mut ours), interactive(&mut plain));
        assert!(
            ours.errors * 5 < plain.errors,
            "{} {}",
            ours.errors,
            plain.errors
        );
    }
}

/// All callers stand in the data centre that has one of four endpoints. While that one suffices,
/// nothing leaves the data centre; when it does not, the rest goes to the other one.
#[test]
fn skewed_demand_spills_over_only_when_near_is_full() {
    for (name, slots, queue_len) in DEPLOYMENTS {
        for percent in [40, 300] {
            let near = capacity_per_s(slots, 1);
            let stream = reads(near * percent / 100, 0, 4 * SECOND);
            let mut scenario = scenario(slots, queue_len, 4, vec![stream]);
            for server in &mut scenario.servers[1..] {
                server.is_remote = true;
            }
            let (mut ours, mut plain) = compare(&format!("{name} skew {percent} %"), &scenario);
            let (ours, plain) = (interactive(&mut ours), interactive(&mut plain));
            println!(
                "{name} skew {percent} %: far {} plain {}",
                ours.served_remotely, plain.served_remotely
            );
            assert!(
                ours.succeeded * 100 >= ours.calls * 99,
                "{} of {}",
                ours.succeeded,
                ours.calls
            );
            if percent < 100 {
                // Six slots of which 2.4 are busy on average are all busy for 2.4 % of the
                // requests (Erlang's loss formula); twice as many may be seen as late reports.
                assert!(
                    ours.served_remotely * 20 < ours.calls,
                    "{} of {}",
                    ours.served_remotely,
                    ours.calls
                );
            }
            assert!(ours.served_remotely < plain.served_remotely);
        }
    }
}

/// A mesh of eighty entries places requests of 160 ms at 24 endpoints of six slots, nine tenths of which are
/// in use. Each entry hears of an endpoint about once a second, when what it was told has long ended.
/// Placed by that alone, requests wait and are refused beside free slots; looking for a free one first,
/// none is refused.
#[test]
fn probes_find_free_slots_despite_stale_load_reports() {
    const SERVERS: usize = 24;
    const LONG_US: u64 = 160 * MS;
    let per_s = SERVERS as u64 * 6 * SECOND / LONG_US * 9 / 10;
    let mut on_time = Vec::new();
    let mut refused = Vec::new();
    for looks in [false, true] {
        let stream = Stream {
            work_us: LONG_US,
            timeout_us: 1_200 * MS,
            target_us: 300 * MS,
            patience_us: 100 * MS,
            ..reads(per_s, 0, 8 * SECOND)
        };
        let mut scenario = scenario(6, 24, SERVERS, vec![stream]);
        scenario.entries = 80;
        scenario.checks_free_slots = looks;
        let name = format!("many entries, looks {looks}");
        let (mut ours, _) = compare(&name, &scenario);
        let seen = interactive(&mut ours);
        println!("{name}: {} of {} in time", seen.on_time, seen.calls);
        on_time.push(seen.on_time * 1_000 / seen.calls);
        refused.push(seen.refused);
    }
    assert!(on_time[1] >= 995, "{on_time:?} of 1000");
    assert!(refused[1] * 10 <= refused[0], "{refused:?}");
}
