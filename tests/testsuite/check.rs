//! `check` reports each problem of an invalid team file with file, line, description and remedy.

use std::process::Output;

use insta::assert_snapshot;
use tempfile::TempDir;

use crate::support::{repository_file, run_program};

/// A valid team file. Each test below replaces a part of it to make it invalid.
const VALID_FILE: &str = r#"team = "armazem"

[treatment.quick]
class = "interactive"
timeout_ms = 1500

[service.armazem]
slots_per_endpoint = 6
connections_per_endpoint = 120
queue_len = 12

[service.armazem.resource.stock]
extends = "quick"
idempotent = true

[[service.armazem.route]]
methods = ["GET"]
path = "/stock"
resource = "stock"
"#;

/// Writes the files to a temporary directory and runs `check` on them. The directory is removed from
/// the paths in the output.
async fn check(files: &[(&str, &str)], options: &[&str]) -> String {
    let directory = TempDir::new().expect("the temporary directory is created");
    let mut arguments = vec!["check".to_owned()];
    arguments.extend(options.iter().map(|option| (*option).to_owned()));
    for (name, text) in files {
        let path = directory.path().join(name);
        std::fs::write(&path, text).expect("the file is written");
        arguments.push(path.display().to_string());
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let output = run_program(&arguments).await;
    format_output(&output).replace(&format!("{}/", directory.path().display()), "")
}

fn format_output(output: &Output) -> String {
    let code = output.status.code().expect("the command was not killed");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("{stdout}{stderr}exit code {code}")
}

/// Returns the valid file with the first occurrence of `old` replaced.
fn with_replacement(old: &str, new: &str) -> String {
    assert!(VALID_FILE.contains(old), "`{old}` is not in the valid file");
    VALID_FILE.replacen(old, new, 1)
}

macro_rules! invalid_file_tests {
    ($($(#[$doc:meta])* $name:ident: $old:expr => $new:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let text = with_replacement($old, $new);
                assert_snapshot!(check(&[("armazem.toml", &text)], &[]).await);
            }
        )*
    };
}

invalid_file_tests! {
    not_toml: "[service.armazem]\n" => "[service.armazem\n";
    unknown_key: "queue_len" => "queue_length";
    missing_key: "slots_per_endpoint = 6\n" => "";
    wrong_type: "timeout_ms = 1500" => "timeout_ms = \"1500\"";
    unknown_class: "\"interactive\"" => "\"urgent\"";
    bad_team_name: "\"armazem\"" => "\"Armazem 1\"";
    bad_service_name: "[service.armazem]\n" => "[service.Armazem]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\n[service.armazem]\n";
    out_of_range: "timeout_ms = 1500" => "timeout_ms = 3600001";
    several_out_of_range: "queue_len = 12" => "queue_len = 10001\n[service.armazem.resource.movement]\nidempotent = false\nattempts = 6";
    route_to_unknown_resource: "resource = \"stock\"\n" => "resource = \"stok\"\n";
    extends_cycle: "[treatment.quick]" => "[treatment.slow]\nextends = \"quick\"\n[treatment.quick]\nextends = \"slow\"";
    extends_unknown_treatment: "extends = \"quick\"" => "extends = \"quik\"";
    missing_idempotent: "idempotent = true\n" => "";
    connections_below_slots: "connections_per_endpoint = 120" => "connections_per_endpoint = 5";
    duplicate_routes: "[[service.armazem.route]]" => "[[service.armazem.route]]\npath = \"/stock\"\nresource = \"stock\"\n\n[[service.armazem.route]]";
    path_without_root: "\"/stock\"" => "\"stock\"";
    path_with_query: "\"/stock\"" => "\"/stock?pan=7\"";
    bad_method: "\"GET\"" => "\"get\"";
    interactive_timeout_too_long: "1500" => "600000";
    bulk_timeout_too_short: "\"interactive\"\ntimeout_ms = 1500" => "\"bulk\"\ntimeout_ms = 300";
    bulk_without_queue: "\"interactive\"\ntimeout_ms = 1500" => "\"bulk\"\ntimeout_ms = 2000\n[service.armazem2]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\nqueue_len = 0\n[service.armazem2.resource.all]\nclass = \"bulk\"\nidempotent = true\n[treatment.rest]";
    mesh_spill_timeout_too_short: "1500" => "20\nspill = \"mesh\"";
}

#[tokio::test]
async fn empty_file() {
    assert_snapshot!(check(&[("armazem.toml", "")], &[]).await);
}

#[tokio::test]
async fn team_without_services_and_calls() {
    assert_snapshot!(check(&[("armazem.toml", "team = \"armazem\"\n")], &[]).await);
}

#[tokio::test]
async fn missing_file() {
    let output = run_program(&["check", "no/such/file.toml"]).await;
    assert_snapshot!(format_output(&output));
}

#[tokio::test]
async fn two_files_of_one_team() {
    let files = [("a.toml", VALID_FILE), ("b.toml", VALID_FILE)];
    assert_snapshot!(check(&files, &[]).await);
}

#[tokio::test]
async fn two_teams_offer_one_service() {
    let other = with_replacement("team = \"armazem\"", "team = \"balanco\"");
    let files = [("armazem.toml", VALID_FILE), ("balanco.toml", &other)];
    assert_snapshot!(check(&files, &["--whole"]).await);
}

#[tokio::test]
async fn calls_to_unknown_service_and_resource() {
    let caller = "team = \"balanco\"\n\n[calls]\narmazem = [\"stock\", \"movement\"]\n\
                  expedicao = [\"booking\"]\n";
    let files = [("armazem.toml", VALID_FILE), ("balanco.toml", caller)];
    assert_snapshot!(check(&files, &["--whole"]).await);
}

#[tokio::test]
async fn route_to_unknown_service() {
    let route = "path = \"/stock\"\nservice = \"hemeroteca\"";
    let text = with_replacement("path = \"/stock\"", route);
    assert_snapshot!(check(&[("armazem.toml", &text)], &["--whole"]).await);
}

#[tokio::test]
async fn findings_as_json() {
    let text = with_replacement("\"/stock\"", "\"stock\"");
    assert_snapshot!(check(&[("armazem.toml", &text)], &["--json"]).await);
}

/// One file does not show what other teams offer, so references to them are checked only with
/// `--whole` or `--accepted`. A valid file passes with `--whole` as well.
#[tokio::test]
async fn valid_files_are_accepted() {
    let answer = check(&[("armazem.toml", VALID_FILE)], &["--whole"]).await;
    assert_eq!(
        answer,
        "Checked 1 team files: no problems found\nexit code 0"
    );
}

/// The team files of each example deployment are valid together.
#[tokio::test]
async fn examples_are_valid() {
    for deployment in ["chatarras", "marinhas"] {
        let directory = repository_file("examples").join(deployment);
        let entries = std::fs::read_dir(directory).expect("the examples exist");
        let paths = entries.map(|entry| entry.expect("the entry can be read").path());
        let paths: Vec<String> = paths.map(|path| path.display().to_string()).collect();
        let mut arguments = vec!["check", "--whole"];
        arguments.extend(paths.iter().map(String::as_str));
        let output = run_program(&arguments).await;
        assert_eq!(output.status.code(), Some(0), "{}", format_output(&output));
    }
}

/// A node is started with three invalid settings: one from a flag, one from the environment and one
/// missing. It reports all three at once, each with its flag and its variable, and exits with 2.
#[tokio::test]
async fn node_lists_all_invalid_settings() {
    let output = tokio::process::Command::new(crate::support::PROGRAM)
        .args(["node", "--caller-listen", "nowhere", "--region", "norte"])
        .args(["--data-centre", "aveiro-a"])
        .env_clear()
        .env("DRAGONFLYWALL_DRAIN_TIMEOUT_MS", "soon")
        .output()
        .await
        .expect("the program can be run");
    assert_snapshot!(format_output(&output));
}

/// Guards against keys in a team file, and against a finding that repeats one.
#[tokio::test]
async fn invalid_organisation() {
    let text = format!(
        "{VALID_FILE}\n[organisation.north]\nkey_digests = [\"the-key-itself\"]\npriority = 10\nrate_per_s = -1.0\nburst = 9007199254740992\n"
    );
    let output = check(&[("armazem.toml", &text)], &[]).await;
    assert!(!output.contains("the-key-itself"), "{output}");
    assert_snapshot!(output);
}

/// Guards against a key that two organisations share.
#[tokio::test]
async fn key_of_two_organisations() {
    let digest = blake3::hash(b"key").to_hex();
    let text = format!(
        "{VALID_FILE}\n[organisation.north]\nkey_digests = [\"{digest}\"]\n[organisation.south]\nkey_digests = [\"{digest}\"]\nrate_per_s = 2.5\n"
    );
    let output = check(&[("armazem.toml", &text)], &["--whole"]).await;
    assert!(output.contains("share the key"), "{output}");
    assert!(!output.contains(digest.as_str()), "{output}");
}
