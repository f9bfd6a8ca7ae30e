//! `demo`: publishes configurations to a small mesh on this machine and calls its services.
//!
//! Starts a mesh of four data centres and publishes the example team files. Calls every service
//! from every data centre. Then raises one timeout in a team file, publishes the change and calls
//! again. Prints the version that each data centre enforces and the answers that callers receive.
//! Any unexpected result ends the run with an error.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::time::{Duration, Instant};

use dragonflywall::store::http::HttpStore;
use http::Method;
use testkit::backend::expected_answer_digest;
use testkit::http::{Reply, request};
use testkit::mesh::Mesh;

use crate::error::{Error, Result};
use crate::examples::{self, Call, Example};
use crate::publication::{self, Publication};

/// Limits the whole run, so that a fault ends it with an error instead of blocking it.
const RUN_TIMEOUT: Duration = Duration::from_secs(100);
const ANSWER_BYTES: u64 = 2_000;
/// Time that the backend server works on the slow call. It lies between the old and the new timeout of
/// both examples, so that the call fails before the edit and succeeds after it.
const SLOW_WORK_MS: u64 = 2_000;

/// Runs the demo of the deployment that the arguments name, by default `chatarras`.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let name = match arguments.as_slice() {
        [] => "chatarras".to_owned(),
        [name] => name.to_string_lossy().into_owned(),
        _ => String::new(),
    };
    let example = examples::by_name(&name).ok_or_else(|| Error::Usage {
        text: "`demo` takes `chatarras` or `marinhas`".to_owned(),
    })?;
    let finished = tokio::time::timeout(RUN_TIMEOUT, run_steps(&example)).await;
    finished.map_err(|_| Error::Unexpected {
        text: format!("the demo did not finish within {} s", RUN_TIMEOUT.as_secs()),
    })?
}

async fn run_steps(example: &Example) -> Result {
    let started = Instant::now();
    let mesh = start(example).await?;
    let store = HttpStore::new(&mesh.platform.url(), None);

    publish(&mesh, &store, &example.files, 1).await?;
    mesh.wait_joined().await;
    println!("Calling each service from each data centre");
    let mut ids = call_everything(&mesh, example, "first").await?;
    let slow = example.edit.slow_call;
    let before_edit = slow_call(&mesh, slow, "slow-before").await?;
    println!(
        "Gave up {} after {} ms of its {SLOW_WORK_MS} ms: status {}, verdict {}",
        slow.description,
        before_edit.took.as_millis(),
        before_edit.reply.status.as_u16(),
        before_edit.reply.header("x-dragonflywall-verdict"),
    );
    ensure(
        before_edit.reply.status != 200,
        "the slow call times out before the edit",
    )?;

    println!(
        "Changed `{}` to `{}` in the file of {}",
        example.edit.old_text, example.edit.new_text, slow.service
    );
    publish(&mesh, &store, &example.edited_files()[..1], 2).await?;
    let after_edit = slow_call(&mesh, slow, "slow-after").await?;
    println!(
        "Answered {} after {} ms: status {}, under version {}",
        slow.description,
        after_edit.took.as_millis(),
        after_edit.reply.status.as_u16(),
        after_edit.reply.header("x-dragonflywall-version"),
    );
    ensure(
        after_edit.reply.status == 200,
        "the slow call is answered after the edit",
    )?;
    ids.push("slow-after".to_owned());
    ids.extend(call_everything(&mesh, example, "second").await?);
    check_ran_once(&mesh, &ids)?;
    println!(
        "Finished: {} answers, each its caller's own, every request run exactly once, {:.1} s",
        ids.len(),
        started.elapsed().as_secs_f64()
    );
    Ok(())
}

async fn start(example: &Example) -> Result<Mesh> {
    let program = std::env::current_exe().map_err(|error| Error::Start {
        text: error.to_string(),
    })?;
    let deployment = example.deployment.clone();
    let mesh = Mesh::start(&program, &["node"], deployment).await;
    let mesh = mesh.map_err(|text| Error::Start { text })?;
    println!(
        "Started {}: {} nodes, a process each, in {} data centres; the platform's stand-in at {}",
        example.name,
        mesh.vms.len(),
        mesh.deployment.data_centres.len(),
        mesh.platform.url()
    );
    Ok(mesh)
}

async fn publish(
    mesh: &Mesh,
    store: &HttpStore,
    files: &[String],
    version: u64,
) -> Result<Publication> {
    let records = publication::parse_team_files(files)?;
    let teams: Vec<String> = records
        .iter()
        .map(|record| record.team.to_string())
        .collect();
    let publication = publication::publish_and_hint(store, "demo", None, records, version).await?;
    println!(
        "Published: version {} with {}; hinted {} nodes",
        publication.published.stamp,
        teams.join(", "),
        publication.hinted_nodes
    );
    mesh.wait_enforced(version).await;
    println!(
        "Enforced by every node {} ms after acceptance, as seen by asking each:",
        publication.committed_at.elapsed().as_millis()
    );
    print_enforced(mesh).await;
    Ok(publication)
}

/// Requests the enforced version from every node, and prints a summary for each data centre.
async fn print_enforced(mesh: &Mesh) {
    let mut versions: BTreeMap<usize, BTreeMap<u64, usize>> = BTreeMap::new();
    for (position, vm) in mesh.vms.iter().enumerate() {
        let version = mesh.version_at(position).await;
        let row = versions.entry(usize::from(vm.site)).or_default();
        *row.entry(version).or_default() += 1;
    }
    for (site, versions) in versions {
        let data_centre = &mesh.deployment.data_centres[site];
        let parts: Vec<String> = versions
            .iter()
            .map(|(version, nodes)| format!("version {version} at {nodes} nodes"))
            .collect();
        println!(
            "  {:<10} {:<10} {}",
            data_centre.region,
            data_centre.name,
            parts.join(", ")
        );
    }
}

/// Calls every service through one node of every data centre. Returns the request ids.
async fn call_everything(mesh: &Mesh, example: &Example, round: &str) -> Result<Vec<String>> {
    let mut ids = Vec::new();
    for (site, data_centre) in mesh.deployment.data_centres.iter().enumerate() {
        // Each call enters at a node of another service, so that it passes two nodes.
        let entries = mesh.vms.iter().filter(|vm| usize::from(vm.site) == site);
        let entries: Vec<_> = entries.map(|vm| vm.node().addresses.caller).collect();
        for (number, call) in example.calls.iter().enumerate() {
            let entry = entries[(number + 1) % entries.len()];
            let id = format!("{round}-{}-{}", data_centre.name, call.service);
            let path = format!("{}?answer_bytes={ANSWER_BYTES}", call.path);
            let reply = send_call(entry, *call, &path, &id).await?;
            check_answer(&reply, &id)?;
            println!(
                "  {:<10} {:<26} {:<4} {:<10} {} from {}, {} bytes, version {}",
                data_centre.name,
                call.description,
                call.method,
                call.service,
                reply.status.as_u16(),
                reply.header("x-ran-by"),
                reply.body.len(),
                reply.header("x-dragonflywall-version"),
            );
            ids.push(id);
        }
    }
    Ok(ids)
}

fn check_answer(reply: &Reply, id: &str) -> Result {
    let digest = blake3::hash(&reply.body).to_hex().to_string();
    let answers_own_call = digest == expected_answer_digest(id, ANSWER_BYTES);
    ensure(
        reply.status == 200,
        &format!("request {id} is answered with status 200: {reply:?}"),
    )?;
    ensure(
        answers_own_call,
        &format!("request {id} receives the whole answer to its own call"),
    )
}

struct TimedReply {
    reply: Reply,
    took: Duration,
}

async fn slow_call(mesh: &Mesh, call: Call, id: &str) -> Result<TimedReply> {
    let entry = mesh.vms.iter().find(|vm| vm.service != call.service);
    let entry = entry.expect("an example has at least two services");
    let path = format!("{}?work_ms={SLOW_WORK_MS}", call.path);
    let started = Instant::now();
    let reply = send_call(entry.node().addresses.caller, call, &path, id).await?;
    Ok(TimedReply {
        reply,
        took: started.elapsed(),
    })
}

async fn send_call(entry: std::net::SocketAddr, call: Call, path: &str, id: &str) -> Result<Reply> {
    let method = Method::from_bytes(call.method.as_bytes()).expect("examples use valid methods");
    let headers = [("x-request-id", id)];
    let reply = request(entry, method, call.service, path, &headers, "").await;
    reply.map_err(|error| Error::Unexpected {
        text: format!("request {id} got no answer: {error}"),
    })
}

fn check_ran_once(mesh: &Mesh, ids: &[String]) -> Result {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for vm in &mesh.vms {
        for (id, count) in vm.backend.record().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    for id in ids {
        let count = runs.get(id).copied().unwrap_or(0);
        ensure(
            count == 1,
            &format!("request {id} runs exactly once, but it ran {count} times"),
        )?;
    }
    Ok(())
}

fn ensure(condition: bool, expectation: &str) -> Result {
    if condition {
        return Ok(());
    }
    Err(Error::Unexpected {
        text: format!("expected that {expectation}"),
    })
}
