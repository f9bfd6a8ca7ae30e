//! The cases: each sets up a deployment, plays its disruption, and applies its rule to what was seen.

use super::deployment::{signal, Deployment, Place};
use super::http::{Answer, ClientRequest};
use super::*;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

pub fn play(name: &str, trouble: bool) -> i32 {
    let record = PathBuf::from(std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned()));
    let case: fn(&Path, bool) -> std::io::Result<i32> = match name {
        "silent-answer" => silent_answer,
        "late-heartbeats" => late_heartbeats,
        "foreign-entry" => foreign_entry,
        "header-limit" => header_limit,
        "quota-after-kill" => quota_after_kill,
        "half-lost-upload" => half_lost_upload,
        "smuggled-requests" => smuggled_requests,
        _ => {
            eprintln!("no such case: {name}");
            return NOT_RUN;
        }
    };
    match case(&record, trouble) {
        Ok(result) => result,
        Err(error) => {
            eprintln!("{error}");
            NOT_RUN
        }
    }
}

/// A configuration with one route for each service: `/SERVICE/` of the host `mesh.example`.
fn configuration(
    version: u64,
    kind: &str,
    services: &[&str],
    timeout_ms: u64,
    header_bytes: u64,
) -> String {
    let routes: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "[\"r-{service}\",\"mesh.example\",\"/{service}/\",\"{kind}\",\"{timeout_ms}ms\",\"400ms\",2,\"{service}\",2,null]"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| format!("[\"{service}\",\"/healthz\",120,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",\"timeout\",\
         \"targetLatency\",\"priority\",\"service\",\"attempts\",\"weightedClusters\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\
         \"limits\":{{\"maxHeaderBytes\":{header_bytes},\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn put_configuration(deployment: &Deployment, configuration: &str) {
    deployment
        .store
        .put("op", "config", configuration.as_bytes());
    deployment.note("the operator's configuration is acknowledged");
}

fn get(
    deployment: &Deployment,
    from: usize,
    path: &str,
    id: &str,
    deadline_ms: u64,
    watch: Duration,
) -> Answer {
    http::send(&ClientRequest {
        to: deployment.outbound(from),
        method: "GET",
        host: "mesh.example",
        path,
        id,
        deadline_ms,
        headers: "",
        body: b"",
        watch,
    })
}

/// Whether each machine serves a request for each service.
fn serves_all(deployment: &Deployment, services: &[&str], tag: &str) -> bool {
    (0..deployment.machines.len()).all(|position| {
        services.iter().all(|service| {
            let (path, id) = (
                format!("/{service}/probe"),
                format!("{tag}{position}{service}{}", unix_ms()),
            );
            get(
                deployment,
                position,
                &path,
                &id,
                1_000,
                Duration::from_secs(1),
            )
            .is_served()
        })
    })
}

fn start_all(deployment: &mut Deployment, slots: u32, bootstrap: bool) {
    for position in 0..deployment.machines.len() {
        deployment.start_node(position, bootstrap);
        if deployment.machines[position].endpoint.is_none() {
            deployment.start_endpoint(position, slots);
        }
    }
}

/// One endpoint goes dark in the midst of its answers: its connections stay open and nothing comes any more.
fn silent_answer(record: &Path, trouble: bool) -> std::io::Result<i32> {
    const TIMEOUT_MS: u64 = 1_500;
    const DEADLINE_MS: u64 = 4_000;
    let services = ["armazem", "expedicao"];
    let places: [Place; 6] = [
        ("armazem", "aveiro-a"),
        ("armazem", "aveiro-a"),
        ("armazem", "aveiro-b"),
        ("armazem", "aveiro-b"),
        ("expedicao", "aveiro-a"),
        ("expedicao", "aveiro-b"),
    ];
    let mut deployment = Deployment::new(&places, record, &[])?;
    put_configuration(
        &deployment,
        &configuration(1, "idempotent", &services, TIMEOUT_MS, 16_384),
    );
    start_all(&mut deployment, 18, true);
    if !deployment.wait("every machine serves both services", |it| {
        serves_all(it, &services, "warm")
    }) {
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    // 56 clients at the two machines of expedicao; each answer takes 0.1 s to its head and 0.7 s more to its end.
    let answers: Mutex<Vec<(usize, Answer)>> = Mutex::default();
    let shared = &deployment;
    thread::scope(|scope| {
        for number in 0..56 {
            let answers = &answers;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(number as u64 * 4));
                let id = format!("stream-{number}");
                let path = "/armazem/work-100/first-700/size-20000";
                let answer = get(
                    shared,
                    4 + number % 2,
                    path,
                    &id,
                    DEADLINE_MS,
                    Duration::from_secs(12),
                );
                answers.lock().unwrap().push((number, answer));
            });
        }
        thread::sleep(Duration::from_millis(500));
        if trouble {
            // One of the four endpoints of the service.
            signal(
                shared.machines[0].endpoint.as_ref().expect("it runs"),
                "STOP",
            );
            shared.note("the endpoint of machine 0 goes dark (SIGSTOP)");
        }
    });
    let mut answers = answers.into_inner().unwrap();
    answers.sort_by_key(|(number, _)| *number);
    let (mut over, mut unanswered) = (0, 0);
    for (number, answer) in &answers {
        let is_over = answer.end_ms.is_none_or(|ms| ms > TIMEOUT_MS);
        let is_unanswered = answer.end_ms.is_none_or(|ms| ms > TIMEOUT_MS + 500);
        over += u32::from(is_over);
        unanswered += u32::from(is_unanswered);
        deployment.note(&format!(
            "request {number}: status {} head {:?} ms, end {:?} ms, {} bytes of the body, whole {}, {}",
            answer.status, answer.head_ms, answer.end_ms, answer.body_bytes, answer.complete, answer.error
        ));
    }
    let never = answers
        .iter()
        .filter(|(_, answer)| answer.end_ms.is_none())
        .count();
    for position in 0..4 {
        deployment.note_events(position, |text| text.contains("stream-"));
    }
    deployment.note(&format!(
        "{over} requests lasted longer than the route's timeout of {TIMEOUT_MS} ms; {unanswered} of them had no final \
         answer half a second later; {never} had none after 12 s, though their clients' deadline was {DEADLINE_MS} ms"
    ));
    Ok(if unanswered >= 8 && unanswered * 4 > over {
        BROKEN
    } else {
        HELD
    })
}

/// An endpoint takes its leave with DELETE, and its node is killed and started again. Heartbeats that the endpoint sent
/// before it left arrive seconds late.
fn late_heartbeats(record: &Path, trouble: bool) -> std::io::Result<i32> {
    const DRAIN_MS: u64 = 2_500;
    const STABLE_MS: u64 = 3_000;
    const LATE_MS: u64 = 3_700;
    const STAY: Duration = Duration::from_secs(12);
    let services = ["expedicao", "armazem"];
    let places: [Place; 4] = [
        ("expedicao", "aveiro-a"),
        ("expedicao", "aveiro-b"),
        ("armazem", "aveiro-a"),
        ("armazem", "aveiro-b"),
    ];
    let mut deployment = Deployment::new(&places, record, &[])?;
    put_configuration(
        &deployment,
        &configuration(1, "non_idempotent", &services, 1_200, 16_384),
    );
    start_all(&mut deployment, 6, true);
    if !deployment.wait("every machine serves both services", |it| {
        serves_all(it, &services, "warm")
    }) {
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(3));
    // Clients at a machine that is in touch all the while.
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    let to = deployment.outbound(2);
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("book-{client}-{number}");
                    let answer = http::send(&ClientRequest {
                        to,
                        method: "POST",
                        host: "mesh.example",
                        path: "/expedicao/work-160",
                        id: &id,
                        deadline_ms: 1_200,
                        headers: "Content-Length: 4\r\n",
                        body: b"salt",
                        watch: Duration::from_millis(1_300),
                    });
                    answers.lock().unwrap().insert(id, answer);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    deployment.tell_endpoint(0, &format!("late {LATE_MS}"));
    thread::sleep(Duration::from_millis(deployment::HEARTBEAT_MS * 3 + 100));
    deployment.tell_endpoint(0, "leave");
    let left = |it: &Deployment| {
        let events = it.events(0);
        events
            .into_iter()
            .find(|(_, text)| text.starts_with("leaving:"))
    };
    deployment.wait("the leaving is acknowledged", |it| {
        left(it).is_some_and(|(_, text)| text.contains("200"))
    });
    let Some((acknowledged_ms, _)) = left(&deployment) else {
        return Ok(NOT_RUN);
    };
    if trouble {
        deployment.kill_node(0);
        thread::sleep(Duration::from_millis(500));
        deployment.start_node(0, false);
    }
    let started_ms = unix_ms();
    thread::sleep(STAY);
    deployment.tell_endpoint(0, "quit");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    // Later than `drain` after the acknowledgement, and in touch again for `stableWindow` after the start.
    let bound_ms = (acknowledged_ms + DRAIN_MS).max(started_ms + STABLE_MS + 500);
    let events = deployment.events(0);
    let late: Vec<&(u64, String)> = events
        .iter()
        .filter(|(ms, text)| text.starts_with("runs book-") && *ms > bound_ms)
        .collect();
    deployment.note_events(0, |text| !text.contains("book-") && !text.contains("warm"));
    deployment.note_log(0, &["announced", "confirm", "health check", "restored"]);
    for (ms, text) in late.iter().take(20) {
        deployment.note(&format!(
            "{} ms after the acknowledgement: endpoint 0 {text}",
            ms - acknowledged_ms
        ));
    }
    let answers = answers.lock().unwrap();
    let served = answers.values().filter(|answer| answer.is_served()).count();
    let mut lost = 0;
    for (_, text) in &late {
        let id = text.split(' ').nth(1).unwrap_or("");
        let answer = answers.get(id).cloned().unwrap_or_default();
        if !answer.is_served() {
            lost += 1;
            deployment.note(&format!(
                "{id} has run and its client got status {} {}",
                answer.status, answer.error
            ));
        }
    }
    deployment.note(&format!(
        "{} requests sent, {served} served; {} reached the endpoint more than {} ms after the acknowledgement; {lost} of \
         those ran and were lost as the endpoint ended",
        answers.len(), late.len(), bound_ms - acknowledged_ms
    ));
    Ok(if late.is_empty() { HELD } else { BROKEN })
}

/// Asks for every service at every machine for `span`, and returns how many requests were sent and served.
fn measure(deployment: &Deployment, services: &[&str], tag: &str, span: Duration) -> (u32, u32) {
    let until = Instant::now() + span;
    let (mut sent, mut served) = (0, 0);
    let mut round = 0;
    let mut statuses: BTreeMap<String, u32> = BTreeMap::new();
    while Instant::now() < until {
        round += 1;
        for position in 0..deployment.machines.len() {
            for service in services {
                let (path, id) = (
                    format!("/{service}/work-5"),
                    format!("{tag}-{round}-{position}-{service}"),
                );
                let answer = get(
                    deployment,
                    position,
                    &path,
                    &id,
                    1_000,
                    Duration::from_millis(1_100),
                );
                sent += 1;
                served += u32::from(answer.is_served());
                *statuses
                    .entry(format!("{} {}", answer.status, answer.error))
                    .or_default() += 1;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    deployment.note(&format!(
        "{tag}: {sent} requests sent, {served} served; status and error: {statuses:?}"
    ));
    (sent, served)
}

/// An entry from another writer stands in the table; then all processes are killed at the end of the day.
fn foreign_entry(record: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["tablon", "cobros", "bascula", "hemeroteca", "quinto"];
    let places: [Place; 5] = [
        ("tablon", "gijon"),
        ("cobros", "bilbao"),
        ("bascula", "gijon"),
        ("hemeroteca", "bilbao"),
        ("quinto", "gijon"),
    ];
    let mut deployment = Deployment::new(&places, record, &[])?;
    put_configuration(
        &deployment,
        &configuration(1, "idempotent", &services, 1_200, 16_384),
    );
    start_all(&mut deployment, 6, true);
    if !deployment.wait("every machine serves all services", |it| {
        serves_all(it, &services, "warm")
    }) {
        return Ok(NOT_RUN);
    }
    let before = measure(&deployment, &services, "before", Duration::from_secs(5));
    deployment.note(&format!(
        "rows of the system: {:?}",
        deployment.store.keys("dragonflywall")
    ));
    if trouble {
        let key = "node/~";
        deployment
            .store
            .put("dragonflywall", &key, b"\xff\xfe\x00 not text");
        deployment.note(&format!(
            "another writer has put the row {key} with bytes that can't be read"
        ));
    }
    put_configuration(
        &deployment,
        &configuration(2, "idempotent", &services, 1_200, 16_384),
    );
    for position in 0..places.len() {
        deployment.kill_node(position);
    }
    thread::sleep(Duration::from_millis(600));
    start_all(&mut deployment, 6, false);
    thread::sleep(Duration::from_secs(15));
    let after = measure(&deployment, &services, "after", Duration::from_secs(10));
    deployment.note_log(0, &["row", "store", "seed"]);
    let served_before = before.1 * 4 >= before.0;
    Ok(match served_before {
        true if after.1 * 4 < after.0 => BROKEN,
        true => HELD,
        false => NOT_RUN,
    })
}

/// A version sets `maxHeaderBytes` to 4096; right after its acknowledgement all processes are killed.
fn header_limit(record: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["tablon", "cobros"];
    let places: [Place; 4] = [
        ("tablon", "gijon"),
        ("tablon", "bilbao"),
        ("cobros", "gijon"),
        ("cobros", "bilbao"),
    ];
    let mut deployment = Deployment::new(&places, record, &[])?;
    put_configuration(
        &deployment,
        &configuration(1, "idempotent", &services, 1_200, 16_384),
    );
    start_all(&mut deployment, 6, true);
    if !deployment.wait("every machine serves both services", |it| {
        serves_all(it, &services, "warm")
    }) {
        return Ok(NOT_RUN);
    }
    let before = measure(&deployment, &services, "before", Duration::from_secs(5));
    let bytes = if trouble { 4_096 } else { 16_384 };
    put_configuration(
        &deployment,
        &configuration(2, "idempotent", &services, 1_200, bytes),
    );
    thread::sleep(Duration::from_secs(4));
    let between = measure(&deployment, &services, "between", Duration::from_secs(5));
    for position in 0..places.len() {
        deployment.kill_node(position);
    }
    thread::sleep(Duration::from_millis(600));
    start_all(&mut deployment, 6, false);
    thread::sleep(Duration::from_secs(15));
    for position in 0..places.len() {
        deployment.note(&format!(
            "machine {position} says that it is ready: {}",
            deployment.is_ready(position)
        ));
    }
    let after = measure(&deployment, &services, "after", Duration::from_secs(10));
    deployment.note_log(0, &["panic", "max_buf"]);
    let _ = between;
    let served_before = before.1 * 4 >= before.0;
    Ok(match served_before {
        true if after.1 * 4 < after.0 => BROKEN,
        true => HELD,
        false => NOT_RUN,
    })
}

/// Uploads arrive in chunks, with a checksum in the trailer section. For three seconds, many come at once.
fn half_lost_upload(record: &Path, trouble: bool) -> std::io::Result<i32> {
    const BODY_BYTES: usize = 6_000;
    const BURST: f64 = 1.7;
    // Uploads a second. 24 slots for uploads of 140 ms bear 171 a second.
    let rate: f64 = std::env::var("RATE")
        .ok()
        .and_then(|rate| rate.parse().ok())
        .unwrap_or(105.0);
    // Without trailer sections (an experiment beside the case): the same uploads end with the last chunk.
    let has_trailer = std::env::var("TRAILER").map_or(true, |value| value != "0");
    let services = ["pesagem", "expedicao"];
    let places: [Place; 6] = [
        ("pesagem", "aveiro-a"),
        ("pesagem", "aveiro-a"),
        ("pesagem", "aveiro-b"),
        ("pesagem", "aveiro-b"),
        ("expedicao", "aveiro-a"),
        ("expedicao", "aveiro-b"),
    ];
    let mut deployment = Deployment::new(&places, record, &[])?;
    put_configuration(
        &deployment,
        &configuration(1, "upload", &services, 1_500, 16_384),
    );
    start_all(&mut deployment, 6, true);
    if !deployment.wait("every machine serves both services", |it| {
        serves_all(it, &services, "warm")
    }) {
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(3));
    let body: Vec<u8> = (0..BODY_BYTES)
        .map(|position| b'a' + (position % 23) as u8)
        .collect();
    let digest = endpoint::digest(&body);
    let mut chunked = Vec::new();
    for chunk in body.chunks(2_000) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    let plain = [&chunked[..], b"0\r\n\r\n"].concat();
    let with_trailer = [
        &chunked[..],
        format!("0\r\nX-Checksum: {digest:x}\r\n\r\n").as_bytes(),
    ]
    .concat();
    deployment.note(&format!("each client sends {BODY_BYTES} bytes with the digest {digest:x}, trailer section: {has_trailer}"));
    let answers: Mutex<BTreeMap<String, Answer>> = Mutex::default();
    let outbound = [deployment.outbound(4), deployment.outbound(5)];
    thread::scope(|scope| {
        let (answers, plain, with_trailer) = (&answers, &plain, &with_trailer);
        let mut number = 0;
        let mut next = Instant::now();
        let mut play = |name: &str, seconds: f64, times: f64, trailer: bool| {
            deployment.note(&format!(
                "{name}: {:.0} uploads a second for {seconds} s",
                rate * times
            ));
            for _ in 0..(rate * times * seconds) as u32 {
                next += Duration::from_secs_f64(1.0 / (rate * times));
                thread::sleep(next.saturating_duration_since(Instant::now()));
                number += 1;
                let id = format!("{}-{number}", if trailer { "sheet" } else { "early" });
                let (headers, bytes) = match trailer {
                    true => (
                        "Transfer-Encoding: chunked\r\nTrailer: X-Checksum\r\n",
                        with_trailer,
                    ),
                    false => ("Transfer-Encoding: chunked\r\n", plain),
                };
                scope.spawn(move || {
                    let answer = http::send(&ClientRequest {
                        to: outbound[number % 2],
                        method: "POST",
                        host: "mesh.example",
                        path: "/pesagem/work-140",
                        id: &id,
                        deadline_ms: 1_500,
                        headers,
                        body: bytes,
                        watch: Duration::from_millis(2_500),
                    });
                    answers.lock().unwrap().insert(id, answer);
                });
            }
        };
        play("before, without trailer sections", 4.0, 1.0, false);
        play("usual", 3.0, 1.0, has_trailer);
        play(
            "many come at once",
            3.0,
            if trouble { BURST } else { 1.0 },
            has_trailer,
        );
        play("usual again", 3.0, 1.0, has_trailer);
    });
    let answers = answers.into_inner().unwrap();
    let (mut runs, mut changed, mut confirmed) = (0, 0, 0);
    for position in 0..4 {
        for (_, text) in deployment.events(position) {
            let words: Vec<&str> = text.split(' ').collect();
            if words[0] != "runs" || words[1].starts_with("warm") {
                continue;
            }
            runs += 1;
            if words[3] == BODY_BYTES.to_string() && words[5] == format!("{digest:x}") {
                continue;
            }
            changed += 1;
            let answer = answers.get(words[1]).cloned().unwrap_or_default();
            confirmed += u32::from(answer.is_served());
            deployment.note(&format!(
                "endpoint {position} {text}; its client got status {}, sealed {}",
                answer.status, answer.sealed
            ));
        }
    }
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for answer in answers.values() {
        *statuses.entry(answer.status).or_default() += 1;
    }
    deployment.note(&format!(
        "statuses of the {} uploads sent: {statuses:?}",
        answers.len()
    ));
    deployment.note(&format!(
        "{runs} uploads ran, {changed} of them with another body than their client sent; {confirmed} of those were \
         answered with success"
    ));
    Ok(if changed > 0 { BROKEN } else { HELD })
}

/// Yards upload batches, whose bodies hold requests in the format of HTTP, and send them piece by piece. Endpoints reject
/// some long requests before they are in: first they close the connection afterwards, then they keep it and read on later,
/// and the node beside one of them is killed.
fn smuggled_requests(record: &Path, trouble: bool) -> std::io::Result<i32> {
    let services = ["pesagem", "expedicao"];
    let places: [Place; 6] = [
        ("pesagem", "aveiro-a"),
        ("pesagem", "aveiro-a"),
        ("pesagem", "aveiro-b"),
        ("pesagem", "aveiro-b"),
        ("expedicao", "aveiro-a"),
        ("expedicao", "aveiro-b"),
    ];
    let mut deployment = Deployment::new(&places, record, &[])?;
    put_configuration(
        &deployment,
        &configuration(1, "upload", &services, 1_500, 16_384),
    );
    start_all(&mut deployment, 6, true);
    if !deployment.wait("every machine serves both services", |it| {
        serves_all(it, &services, "warm")
    }) {
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(3));
    let commands = ["early close", "early keep"].map(|command| trouble.then_some(command));
    let mut foreign = 0;
    for (part, command) in commands.into_iter().enumerate() {
        foreign += play_batches(&mut deployment, part, command);
    }
    let mut unasked = [0; 2];
    let mut runs = 0;
    for position in 0..places.len() {
        deployment.note_events(position, |text| {
            ["rejects", "closes", "has read"]
                .iter()
                .any(|word| text.starts_with(word))
        });
        for (_, text) in deployment.events(position) {
            let id = text
                .strip_prefix("runs ")
                .and_then(|rest| rest.split(' ').next());
            let Some(id) = id.filter(|id| !id.starts_with("warm")) else {
                continue;
            };
            runs += 1;
            // Clients have sent `batch-N` and `after-N` as requests, and nothing else.
            let Some(number) = id
                .strip_prefix("inside-")
                .and_then(|id| id.split('-').next())
            else {
                continue;
            };
            let part = usize::from(number.parse::<usize>().unwrap_or(0) >= BATCHES);
            unasked[part] += 1;
            if unasked[part] <= 10 {
                deployment.note(&format!(
                    "endpoint {position} {text}: no client sent this request"
                ));
            }
        }
    }
    deployment.note(&format!(
        "{runs} requests ran; parts of a body that no client sent as a request are {} of them where endpoints close the \
         connection, and {} where they keep it and a node is killed; clients got {foreign} answers with ids of other \
         requests than their own",
        unasked[0], unasked[1]
    ));
    Ok(if unasked.iter().sum::<u32>() > 0 {
        BROKEN
    } else {
        HELD
    })
}

/// Batches in each part of the case, and the pieces of a batch.
const BATCHES: usize = 40;
const PIECES: usize = 160;
const PIECE_BYTES: usize = 1_500;
const PIECE_PAUSE: Duration = Duration::from_millis(5);
const BATCH_PAUSE_MS: u64 = 120;

/// Sends the batches of one part, while two of the four endpoints obey `command`. Returns how many answers clients got with
/// ids of other requests than their own.
fn play_batches(deployment: &mut Deployment, part: usize, command: Option<&str>) -> usize {
    const EARLY_FOR: Duration = Duration::from_secs(6);
    const KILL_AT: Duration = Duration::from_millis(2_000);
    const KILL_AFTER: Duration = Duration::from_millis(200);
    let batch = |number: usize| {
        let pieces = (0..PIECES).map(|piece| {
            let head = format!(
                "POST /expedicao/work-10 HTTP/1.1\r\nHost: mesh.example\r\nX-Dfw-Attempt-Id: inside-{number}-{piece}\r\n\
                 X-Dfw-Deadline-Ms: 1000\r\nContent-Length: "
            );
            let body = PIECE_BYTES - head.len() - 4 - 4;
            format!("{head}{body:04}\r\n\r\n{}", "s".repeat(body))
        });
        pieces.collect::<Vec<String>>()
    };
    let tell = |deployment: &mut Deployment, command: &str| {
        for position in [0, 1] {
            deployment.tell_endpoint(position, command);
        }
    };
    if let Some(command) = command {
        tell(deployment, command);
    }
    let reports: Mutex<Vec<(usize, Vec<String>)>> = Mutex::default();
    let outbound = [deployment.outbound(4), deployment.outbound(5)];
    thread::scope(|scope| {
        for position in 0..BATCHES {
            let number = part * BATCHES + position;
            let (reports, pieces) = (&reports, batch(number));
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(BATCH_PAUSE_MS * position as u64));
                let seen = send_batch(outbound[number % 2], number, &pieces, PIECE_PAUSE);
                reports.lock().unwrap().push((number, seen));
            });
        }
        let Some(command) = command else { return };
        let started = Instant::now();
        if command == "early keep" {
            thread::sleep(KILL_AT);
            // While the rest of a rejected body is on its way to this node.
            let rejections = |it: &Deployment| {
                let events = it.events(0);
                events
                    .iter()
                    .filter(|(_, text)| text.starts_with("rejects"))
                    .count()
            };
            let before = rejections(deployment);
            while rejections(deployment) == before && started.elapsed() < EARLY_FOR {
                thread::sleep(Duration::from_millis(10));
            }
            thread::sleep(KILL_AFTER);
            deployment.kill_node(0);
        }
        thread::sleep(EARLY_FOR.saturating_sub(started.elapsed()));
        tell(deployment, "early off");
    });
    let mut reports = reports.into_inner().unwrap();
    reports.sort();
    let mut foreign = 0;
    for (number, seen) in &reports {
        let own = [format!("batch-{number}"), format!("after-{number}")];
        let is_own = |answer: &&String| own.iter().any(|id| answer.ends_with(id.as_str()));
        foreign += seen.iter().filter(|answer| !is_own(answer)).count();
        let more = seen.len().saturating_sub(6);
        let first: Vec<&String> = seen.iter().take(6).collect();
        deployment.note(&format!(
            "client {number} has sent batch-{number} and after-{number}, and got {first:?} and {more} more"
        ));
    }
    foreign
}

/// Sends a batch in pieces and one more request on the same connection. Returns status and id of each answer.
fn send_batch(to: SocketAddr, number: usize, pieces: &[String], pause: Duration) -> Vec<String> {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return vec!["no connection".to_owned()];
    };
    let _ = stream.set_nodelay(true);
    let length: usize = pieces.iter().map(String::len).sum();
    let head = format!(
        "POST /pesagem/work-50 HTTP/1.1\r\nHost: mesh.example\r\nX-Dfw-Attempt-Id: batch-{number}\r\n\
         X-Dfw-Deadline-Ms: 1500\r\nContent-Type: multipart/mixed\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut sent = stream.write_all(head.as_bytes());
    for piece in pieces {
        if sent.is_err() {
            break;
        }
        sent = stream.write_all(piece.as_bytes());
        thread::sleep(pause);
    }
    let after = format!(
        "GET /pesagem/work-5 HTTP/1.1\r\nHost: mesh.example\r\nX-Dfw-Attempt-Id: after-{number}\r\nX-Dfw-Deadline-Ms: 1000\r\n\r\n"
    );
    if sent.is_ok() {
        let _ = stream.write_all(after.as_bytes());
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
    let mut answers = Vec::new();
    let mut buffer = Vec::new();
    while let Ok(Some(message)) = http::read_head(&mut stream, &mut buffer) {
        let status = message
            .first_line
            .split(' ')
            .nth(1)
            .unwrap_or("")
            .to_owned();
        let id = message
            .header("x-dfw-attempt-id")
            .unwrap_or("no id")
            .to_owned();
        let is_last = id == format!("after-{number}");
        answers.push(format!("{status} {id}"));
        match http::read_body(&mut stream, &message) {
            Ok((_, rest)) if !is_last => buffer = rest,
            _ => break,
        }
    }
    answers
}

/// Half of the nodes are killed at once, while an organisation sends far more than its quota. Exact windows: requests that
/// were sent and have reached an endpoint within one `quotaWindow`.
fn quota_after_kill(record: &Path, trouble: bool) -> std::io::Result<i32> {
    const WINDOW_MS: u64 = 5_000;
    const RATE_PER_S: f64 = 20.0;
    const BURST: f64 = 20.0;
    const ALLOWED: f64 = (RATE_PER_S * 5.0 + BURST) * 1.1 + 20.0;
    let services = ["expedicao", "armazem"];
    let places: [Place; 6] = [
        ("expedicao", "aveiro-a"),
        ("expedicao", "aveiro-b"),
        ("expedicao", "aveiro-a"),
        ("armazem", "aveiro-a"),
        ("armazem", "aveiro-b"),
        ("armazem", "aveiro-b"),
    ];
    let bounds = ["quotaWindow=5s", "quotaOverage=0.1", "quotaSlack=20"];
    let mut deployment = Deployment::new(&places, record, &bounds)?;
    let plain = configuration(1, "idempotent", &services, 1_500, 16_384);
    let tenants = format!(
        "{},\"tenants\":{{\"columns\":[\"name\",\"priority\",\"ratePerS\",\"burst\",\"apiKeys\"],\
         \"rows\":[[\"hot\",1,{RATE_PER_S},{BURST},[\"khot\"]]]}}}}",
        &plain[..plain.len() - 1]
    );
    put_configuration(&deployment, &tenants);
    start_all(&mut deployment, 18, true);
    thread::sleep(Duration::from_secs(6));
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let clients: Vec<_> = (0..12)
        .map(|client| {
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            let to = deployment.outbound(client % 6);
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("hot-{client}-{number}");
                    sent.lock().unwrap().insert(id.clone(), unix_ms());
                    http::send(&ClientRequest {
                        to,
                        method: "GET",
                        host: "mesh.example",
                        path: "/expedicao/work-5",
                        id: &id,
                        deadline_ms: 1_500,
                        headers: "Authorization: Token khot\r\n",
                        body: b"",
                        watch: Duration::from_millis(1_600),
                    });
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    for _ in 0..3 {
        thread::sleep(Duration::from_secs(12));
        if trouble {
            for position in [0, 2, 4] {
                deployment.kill_node(position);
            }
            thread::sleep(Duration::from_millis(400));
            for position in [0, 2, 4] {
                deployment.start_node(position, false);
            }
        }
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let mut runs: Vec<(u64, u64)> = Vec::new();
    for position in 0..places.len() {
        for (arrived_ms, text) in deployment.events(position) {
            let id = text
                .strip_prefix("runs ")
                .and_then(|rest| rest.split(' ').next());
            runs.extend(
                id.and_then(|id| sent.get(id))
                    .map(|sent_ms| (*sent_ms, arrived_ms)),
            );
        }
    }
    runs.sort();
    let in_window = |from: usize| {
        let end_ms = runs[from].0 + WINDOW_MS;
        runs[from..]
            .iter()
            .filter(|(sent_ms, arrived_ms)| *sent_ms < end_ms && *arrived_ms < end_ms)
            .count()
    };
    let most = (0..runs.len()).map(in_window).max().unwrap_or(0);
    deployment.note(&format!(
        "{} requests sent, {} ran, {most} at most in one window of {WINDOW_MS} ms; allowed {ALLOWED}",
        sent.len(),
        runs.len()
    ));
    Ok(if most as f64 > ALLOWED { BROKEN } else { HELD })
}
