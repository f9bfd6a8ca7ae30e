//! The cases. Each returns how the rule was broken, or `None` if it held.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use crate::client::{self, Framing, attempt_id};
use crate::deployment::{self, Deployment, Machine, Result, Route};
use crate::endpoint::{Beat, Endpoint, unix_ms};
use crate::record::Record;

/// How a case ended.
type Outcome = Result<Option<String>>;

/// `stableWindow` of the deployment, and a little more.
const STABLE: Duration = Duration::from_millis(3_200);
/// `drain` of the deployment.
const DRAIN_MS: u64 = 2_500;
/// `configApply` of the deployment, and a little more.
const APPLIED: Duration = Duration::from_millis(2_700);

pub fn run(case: &str, trouble: bool, record: &Record) -> Outcome {
    match case {
        "chunked-body" => chunked_body(trouble, record),
        "late-heartbeat" => late_heartbeat(trouble, record),
        "late-departure" => late_departure(trouble, record),
        "other-writer" => other_writer(trouble, record),
        "killed-machines" => killed_machines(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}

const ROUTES: [Route; 2] = [
    Route {
        prefix: "/stock/",
        kind: "idempotent",
        service: "armazem",
    },
    Route {
        prefix: "/book/",
        kind: "idempotent",
        service: "expedicao",
    },
];
/// Machines of the case with killed machines, and how many of them are killed: those of one service.
const MACHINES: usize = 15;
const KILLED_MACHINES: usize = 3;
/// How long killed machines are down.
const RESTART_PAUSE: Duration = Duration::from_secs(2);
/// How long clients read the page before the steady state is measured.
const READING_MS: u64 = 6_000;
/// Clients on each machine that read the page, and the pause between two requests of one.
const CLIENTS_PER_MACHINE: usize = 2;
const CLIENT_PAUSE: Duration = Duration::from_millis(150);
/// The page that they read, with the time that its work takes.
const TODAY: &str = "/book/today?work_ms=120";

const SERVICES: [&str; 2] = ["armazem", "expedicao"];

/// Starts an endpoint on a machine, and its heartbeats.
fn start_endpoint(machine: &Machine, id: &str, record: &Record) -> Result<Endpoint> {
    let endpoint = Endpoint::start(id, &machine.service, machine.endpoint(), record);
    let endpoint = endpoint.map_err(|error| error.to_string())?;
    endpoint.send_beats(machine.control());
    Ok(endpoint)
}

/// Waits until requests for `path` are served at `entry`.
fn wait_served(entry: &Machine, path: &str, record: &Record) -> Result<()> {
    for _ in 0..100 {
        if client::get(entry.outbound(), path, record).1 == 200 {
            return Ok(());
        }
        sleep(Duration::from_millis(100));
    }
    Err(format!("{path} is not served"))
}

/// UNASKED: the body of a request, sent in chunks, arrives at the endpoint as the client sent it.
fn chunked_body(trouble: bool, record: &Record) -> Outcome {
    let configuration = deployment::configuration(7, &ROUTES, &SERVICES);
    let deployment = Deployment::start(&SERVICES, &configuration, record)?;
    let mut endpoints = Vec::new();
    for (index, machine) in deployment.machines.iter().enumerate() {
        endpoints.push(start_endpoint(machine, &format!("i-{index}"), record)?);
    }
    for entry in &deployment.machines {
        wait_served(entry, "/stock/1", record)?;
    }
    sleep(STABLE);
    let framing = if trouble {
        Framing::Chunks
    } else {
        Framing::Length
    };
    let mut changed = Vec::new();
    for number in 0..20 {
        let entry = &deployment.machines[number % deployment.machines.len()];
        let (id, body) = (
            attempt_id(),
            format!("{{\"item\":{number},\"pan\":\"north\"}}"),
        );
        let sent = (body.as_bytes(), framing);
        let status = client::send(
            entry.outbound(),
            ("GET", "/stock/search"),
            &id,
            sent,
            record,
        );
        let runs = endpoints[0].runs();
        let run = runs.iter().find(|run| run.id == id);
        if let Some(run) = run.filter(|run| run.body != body.as_bytes()) {
            let (method, target, len) = (&run.method, &run.target, run.body.len());
            record.line(&format!(
                "{id}: {method} {target} ran with {len} of {} bytes, answered {status}",
                body.len()
            ));
            changed.push(id);
        }
    }
    deployment.keep_logs();
    Ok((!changed.is_empty())
        .then(|| format!("{} of 20 requests ran with another body", changed.len())))
}

/// DRAIN: an endpoint crashes, starts again under its id and leaves, and then a heartbeat of the first incarnation arrives.
fn late_heartbeat(trouble: bool, record: &Record) -> Outcome {
    let services = ["armazem", "expedicao", "expedicao"];
    let configuration = deployment::configuration(7, &ROUTES, &SERVICES);
    let deployment = Deployment::start(&services, &configuration, record)?;
    let [entry, machine, other] = &deployment.machines[..] else {
        return Err("there are three machines".to_owned());
    };
    start_endpoint(entry, "i-a1", record)?;
    start_endpoint(other, "i-e2", record)?;
    let first = start_endpoint(machine, "i-e1", record)?;
    while first.runs().is_empty() {
        wait_served(entry, "/book/1", record)?;
    }
    sleep(STABLE);

    // The heartbeat that is under way when the endpoint crashes.
    let late = first.next_beat("ready");
    if !trouble {
        late.send(machine.control());
    }
    first.crash();
    sleep(Duration::from_millis(300));
    let second = start_endpoint(machine, "i-e1", record)?;
    while second.runs().is_empty() {
        wait_served(entry, "/book/2", record)?;
    }
    sleep(Duration::from_millis(500));

    // It leaves without draining first, and goes on to serve for some seconds.
    second.set_leaving();
    if second.departure().send(machine.control()) != 200 {
        return Err("the departure was not acknowledged".to_owned());
    }
    let acknowledged_ms = record.now_ms();
    sleep(Duration::from_millis(300));
    if trouble {
        record.line("the late heartbeat of the first incarnation arrives");
        late.send(machine.control());
    }
    let from_ms = acknowledged_ms + DRAIN_MS;
    while record.now_ms() < acknowledged_ms + DRAIN_MS + 3_000 {
        client::get(entry.outbound(), "/book/3", record);
        sleep(Duration::from_millis(25));
    }
    deployment.keep_logs();
    let late_runs = second
        .runs()
        .iter()
        .filter(|run| run.at_ms > from_ms)
        .count();
    Ok((late_runs > 0).then(|| {
        format!("{late_runs} requests reached i-e1 more than {DRAIN_MS} ms after the acknowledgement that it is gone")
    }))
}

/// CONFIG: routes that were added later are served like the first ones.
fn check_added_route(entry: &Machine, record: &Record) -> Option<String> {
    let count = 100;
    let (mut first, mut added) = (0, 0);
    for _ in 0..count {
        first += usize::from(client::get(entry.outbound(), "/stock/9", record).1 == 200);
        added += usize::from(client::get(entry.outbound(), "/book/9", record).1 == 200);
        sleep(Duration::from_millis(50));
    }
    broken_config(first, added, count, record)
}

/// Whether an added route is served less than a quarter as often as the first one.
fn broken_config(first: usize, added: usize, count: usize, record: &Record) -> Option<String> {
    record.line(&format!(
        "served: {first} of {count} on the first route, {added} of {count} on the added one"
    ));
    (added * 4 < first).then(|| {
        format!("{added} of {count} requests on the added route were served, {first} of {count} on the first one")
    })
}

/// Starts a deployment whose first version has the first route only, and adds the second one. Returns the endpoints
/// of the machines too.
fn start_with_added_route(
    services: &[&str],
    record: &Record,
) -> Result<(Deployment, Vec<Endpoint>)> {
    let configuration = deployment::configuration(7, &ROUTES[..1], &SERVICES);
    let deployment = Deployment::start(services, &configuration, record)?;
    let mut endpoints = Vec::new();
    for (index, machine) in deployment.machines.iter().enumerate() {
        endpoints.push(start_endpoint(machine, &format!("i-e{index}"), record)?);
    }
    let entry = &deployment.machines[0];
    wait_served(entry, "/stock/1", record)?;
    let configuration = deployment::configuration(9, &ROUTES, &SERVICES);
    record.line(&format!("the operator writes {configuration}"));
    deployment
        .store
        .write_operator_row("config", &configuration);
    sleep(APPLIED);
    for entry in &deployment.machines {
        wait_served(entry, "/book/1", record)?;
    }
    Ok((deployment, endpoints))
}

/// CONFIG: an endpoint leaves and starts again under its id, and the notice that the first incarnation is gone arrives late.
fn late_departure(trouble: bool, record: &Record) -> Outcome {
    let (mut deployment, endpoints) = start_with_added_route(&SERVICES, record)?;
    let ([entry, machine], [_, first]) = (&deployment.machines[..], &endpoints[..]) else {
        return Err("there are two machines".to_owned());
    };
    first.set_leaving();
    if first.next_beat("draining").send(machine.control()) != 200 {
        return Err("draining was not acknowledged".to_owned());
    }
    sleep(Duration::from_millis(DRAIN_MS + 200));
    let departure = first.departure();
    if !trouble {
        departure.send(machine.control());
    }
    first.crash();
    sleep(Duration::from_millis(300));
    let second = start_endpoint(machine, "i-e1", record)?;
    wait_served(entry, "/book/2", record)?;
    sleep(Duration::from_millis(1_000));
    if trouble {
        record.line("the late notice of the first incarnation arrives");
        departure.send(machine.control());
    }
    sleep(STABLE + APPLIED);
    let broken = check_added_route(entry, record);
    record.line(&format!(
        "the second incarnation has run {} requests",
        second.runs().len()
    ));
    deployment.keep_logs();
    if deployment.has_ended_node() {
        return Err("a node has ended".to_owned());
    }
    Ok(broken)
}

/// CONFIG: a heartbeat of another writer names a service that the configuration does not have.
fn other_writer(trouble: bool, record: &Record) -> Outcome {
    let (mut deployment, endpoints) = start_with_added_route(&SERVICES, record)?;
    let ([entry, machine], [_, endpoint]) = (&deployment.machines[..], &endpoints[..]) else {
        return Err("there are two machines".to_owned());
    };
    if trouble {
        let (address, born_ms) = (machine.endpoint(), unix_ms());
        let body = format!(
            "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"aveiro-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":4,\"born\":{born_ms}}}"
        );
        Beat::foreign("i-7f3a91c2", body, record).send(machine.control());
    }
    sleep(STABLE + APPLIED);
    let broken = check_added_route(entry, record);
    record.line(&format!(
        "the endpoint has run {} requests",
        endpoint.runs().len()
    ));
    deployment.keep_logs();
    if deployment.has_ended_node() {
        return Err("a node has ended".to_owned());
    }
    Ok(broken)
}

/// CONFIG: the machines of a service are killed at the same moment, while clients everywhere read the same page of it.
fn killed_machines(trouble: bool, record: &Record) -> Outcome {
    let mut services = ["armazem"; MACHINES];
    services[MACHINES - KILLED_MACHINES..].fill("expedicao");
    let (mut deployment, endpoints) = start_with_added_route(&services, record)?;
    sleep(STABLE);
    let entries: Vec<SocketAddr> = deployment.machines.iter().map(Machine::outbound).collect();
    let until_ms = record.now_ms() + READING_MS;
    let restarted = std::thread::scope(|scope| {
        for entry in &entries {
            for _ in 0..CLIENTS_PER_MACHINE {
                scope.spawn(move || read_until(*entry, until_ms, record));
            }
        }
        sleep(Duration::from_millis(READING_MS / 4));
        let killed: Vec<usize> = (MACHINES - KILLED_MACHINES..MACHINES).collect();
        match trouble {
            true => deployment.kill_and_restart(&killed, RESTART_PAUSE, record),
            false => Ok(()),
        }
    });
    restarted?;
    deployment.wait_ready()?;
    sleep(STABLE + APPLIED);
    let (mut first, mut added, count) = (0, 0, 10 * MACHINES);
    for number in 0..count {
        let entry = entries[number % MACHINES];
        first += usize::from(client::get(entry, "/stock/9", record).1 == 200);
        added += usize::from(client::get(entry, TODAY, record).1 == 200);
    }
    let other = client::get(entries[0], "/book/tomorrow", record).1;
    record.line(&format!("another page of the added route: {other}"));
    let runs: usize = endpoints.iter().map(|endpoint| endpoint.runs().len()).sum();
    record.line(&format!("all endpoints have run {runs} requests"));
    deployment.keep_logs();
    if deployment.has_ended_node() {
        return Err("a node has ended".to_owned());
    }
    Ok(broken_config(first, added, count, record))
}

/// Reads the page again and again, as a client does: it repeats a request that failed once.
fn read_until(entry: SocketAddr, until_ms: u64, record: &Record) {
    while record.now_ms() < until_ms {
        let status = client::get(entry, TODAY, record).1;
        if status != 200 && status != 503 {
            client::get(entry, TODAY, record);
        }
        sleep(CLIENT_PAUSE);
    }
}
