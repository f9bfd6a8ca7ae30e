//! The settings file of the users' platform: parsing, overrides, defaults and reloading.

use dragonflywall::node::{self, Settings};
use testkit::http::wait_until;
use testkit::process::{LogLine, Signal};
use testkit::users::mesh::{CallerRequest, Mesh, Plan};
use tokio::sync::mpsc;

use crate::support::{SERVICES, WAIT_TIMEOUT, run_program, start_serving_users_mesh};

fn single_data_centre_plan() -> Plan {
    let mut plan = Plan::new(&SERVICES);
    plan.data_centres.truncate(1);
    plan
}

/// Guards against a node that starts with an invalid settings file, or that reports only the first problem. It exits
/// with code 2. Unknown keys are ignored. Flags for settings that the file contains are refused.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_file_is_refused_with_all_problems() {
    let mesh = start_serving_users_mesh(single_data_centre_plan()).await;
    let text = mesh.settings_text(0);
    let invalid_text = text
        .replace("zone = ", "zon = ")
        .replace("form = \"table\"", "form = \"table\"\naddress2 = 5")
        .replace("ip = \"", "ip = \"x");
    let directory = tempfile::TempDir::new().expect("a temporary directory can be created");
    let path = directory.path().join("settings.toml");
    std::fs::write(&path, invalid_text).expect("the file is written");
    let output = run_program(&[
        "node",
        "--config",
        path.to_str().expect("the path is UTF-8"),
    ])
    .await;
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(error.contains("`zone` is missing"), "{error}");
    assert!(error.contains("`ip` = `x"), "{error}");
    assert!(
        !error.contains("address2"),
        "unknown keys are ignored: {error}"
    );
    let output = run_program(&[
        "node",
        "--config",
        path.to_str().expect("the path is UTF-8"),
        "--region=norte",
    ])
    .await;
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        error.contains("cannot be given together with --config"),
        "{error}"
    );
}

/// Guards against a settings file that overrides the values of flags and environment variables.
#[tokio::test(flavor = "multi_thread")]
async fn flags_and_variables_override_the_file() {
    let mesh = start_serving_users_mesh(single_data_centre_plan()).await;
    let path = mesh.settings_path(0).to_str().expect("the path is UTF-8");
    let arguments = ["--config", path, "--retry-percent=5", "--memory-mb=64"];
    let arguments = arguments.iter().map(|flag| (*flag).into());
    let variable = |name: &str| (name == "DRAGONFLYWALL_STOP_LEAST_MS").then(|| "900".to_owned());
    let settings = node::settings::parse(arguments, variable).expect("the settings are valid");
    assert_eq!(settings.retry_percent, 5);
    assert_eq!(settings.memory_mb, Some(64));
    assert_eq!(settings.stop_least_ms, 900);
    let arguments = ["--config", path, "--retry-percent=many", "--region=sul"];
    let arguments = arguments.iter().map(|flag| (*flag).into());
    let error = node::settings::parse(arguments, |_| None).expect_err("two flags are invalid");
    assert_eq!(error.problems.len(), 2, "{error}");
}

/// Guards against defaults that differ between settings from flags and settings from the platform's file.
#[tokio::test(flavor = "multi_thread")]
async fn file_and_flags_have_the_same_defaults() {
    let mesh = start_serving_users_mesh(single_data_centre_plan()).await;
    let settings = |flags: &[&str]| {
        let arguments = flags.iter().map(|flag| (*flag).into());
        node::settings::parse(arguments, |_| None).expect("the settings are valid")
    };
    let path = mesh.settings_path(0).to_str().expect("the path is UTF-8");
    let from_file = settings(&["--config", path]);
    let from_flags = settings(&[
        "--region=norte",
        "--data-centre=gijon",
        "--platform=http://x",
    ]);
    let defaults = |settings: &Settings| {
        (
            settings.caller_header_max_bytes,
            settings.caller_header_timeout_ms,
            settings.caller_idle_timeout_ms,
            settings.apply_within_ms,
            settings.log_level,
        )
    };
    assert_eq!(defaults(&from_file), defaults(&from_flags));
}

async fn wait_for_line(lines: &mut mpsc::UnboundedReceiver<LogLine>, text: &str) -> String {
    let found = async {
        while let Some(line) = lines.recv().await {
            if line.text.contains(text) {
                return Some(line.text);
            }
        }
        None
    };
    let found = tokio::time::timeout(WAIT_TIMEOUT, found).await;
    let found = found.ok().flatten();
    found.unwrap_or_else(|| panic!("no log line contains {text}"))
}

async fn serves(mesh: &Mesh) -> bool {
    let reply = mesh
        .send_request(0, &CallerRequest::get("/stock/1", "after"))
        .await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Guards against a changed settings file that is not reloaded, with or without SIGHUP, and against a truncated file
/// that changes settings or stops the node. The node logs its problems and keeps the old settings.
#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_file_is_reloaded() {
    let (sender, mut lines) = mpsc::unbounded_channel();
    let mut plan = single_data_centre_plan();
    plan.log_lines = Some(sender);
    let mesh = start_serving_users_mesh(plan).await;
    let text = mesh.settings_text(0);
    let path = mesh.settings_path(0);
    std::fs::write(path, text.replace("grace=6s", "grace=7s")).expect("the file is written");
    let line = wait_for_line(&mut lines, "reloaded the settings file").await;
    assert!(line.contains("\"changed\":true"), "{line}");
    std::fs::write(path, &text[..text.len() / 2]).expect("the file is written");
    mesh.vms[0].node().signal(Signal::Hangup);
    let line = wait_for_line(&mut lines, "the old settings stay").await;
    assert!(line.contains("problems"), "{line}");
    assert!(serves(&mesh).await);
    std::fs::write(path, &text).expect("the file is written");
    mesh.vms[0].node().signal(Signal::Hangup);
    wait_for_line(&mut lines, "reloaded the settings file").await;
    wait_until("the node still serves requests", WAIT_TIMEOUT, || {
        serves(&mesh)
    })
    .await;
}

/// Guards against a node that ignores its backend server, or names the old service as the caller's, after the settings file
/// has named another service.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_service_takes_effect_without_a_restart() {
    let mut plan = single_data_centre_plan();
    plan.vms_per_service = 2;
    let mut mesh = start_serving_users_mesh(plan).await;
    let [old_service, new_service] = SERVICES;
    let position = mesh.vms_of(old_service)[0];
    mesh.crash_backend(position).await;
    let text = mesh.settings_text(position);
    let changed = text.replace(
        &format!("service = \"{old_service}\""),
        &format!("service = \"{new_service}\""),
    );
    assert_ne!(text, changed);
    std::fs::write(mesh.settings_path(position), changed).expect("the file is written");
    mesh.vms[position].node().signal(Signal::Hangup);
    let restarted = mesh.restart_backend(position, new_service).await;
    restarted.expect("the address can be reused");
    wait_until(
        "the backend server is listed under its service",
        WAIT_TIMEOUT,
        || async {
            let status = mesh.status(0).await;
            let members = status["members"].as_array().cloned().unwrap_or_default();
            let of_service = |member: &&serde_json::Value| {
                member["service"] == new_service && member["backend"] == "serving"
            };
            members.iter().filter(of_service).count() == 3
        },
    )
    .await;
    let request = CallerRequest::get("/stock/1", "changed");
    let reply = mesh.send_request(position, &request).await;
    assert_eq!(reply.expect("the node responds").status, 200);
    let backends = mesh.vms.iter().filter_map(|vm| vm.backend.as_ref());
    let runs = backends.filter_map(|backend| backend.record().runs.remove("changed"));
    let callers: Vec<String> = runs.flatten().map(|run| run.caller).collect();
    assert_eq!(callers, [new_service]);
}
