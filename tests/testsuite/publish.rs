//! `publish` and its failures, run as a command against the platform stand-in.

use std::path::{Path, PathBuf};
use std::process::Output;

use serde_json::Value;
use tempfile::TempDir;
use testkit::platform::{Faults, Platform};

use crate::support::run_program;

/// A platform stand-in, and a temporary directory for team files.
struct PublishFixture {
    platform: Platform,
    files: TempDir,
}

/// Exit code and output of a command.
struct CommandResult {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

impl From<Output> for CommandResult {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

impl CommandResult {
    #[track_caller]
    fn expect(&self, code: i32, text: &str) {
        let all = format!("{}{}", self.stdout, self.stderr);
        assert_eq!(self.code, Some(code), "{all}");
        assert!(all.contains(text), "the output lacks `{text}`:\n{all}");
    }
}

impl PublishFixture {
    async fn start() -> Self {
        let platform = Platform::start(([127, 0, 0, 1], 0).into()).await;
        Self {
            platform: platform.expect("a port is free"),
            files: TempDir::new().expect("the temporary directory is created"),
        }
    }

    /// Writes the file of a team that offers one service with the name of the team.
    fn write_team_file(&self, team: &str, queue_len: u32, calls: &str) -> PathBuf {
        let path = self.files.path().join(format!("{team}-{queue_len}.toml"));
        let text = format!(
            "team = \"{team}\"\n[service.{team}]\nslots_per_endpoint = 6\n\
             connections_per_endpoint = 120\nqueue_len = {queue_len}\n\
             [service.{team}.resource.stock]\nidempotent = true\n\
             [[service.{team}.route]]\npath = \"/stock\"\nresource = \"stock\"\n{calls}"
        );
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    async fn run_command(&self, arguments: &[&str]) -> CommandResult {
        let url = self.platform.url();
        let mut all = vec![arguments[0], "--platform", &url];
        if arguments[0] == "publish" {
            all.extend(["--operator", "ana"]);
        }
        all.extend(&arguments[1..]);
        run_program(&all).await.into()
    }

    async fn publish(&self, file: &Path, more: &[&str]) -> CommandResult {
        let mut arguments = vec!["publish"];
        arguments.extend(more);
        arguments.push(file.to_str().expect("temporary paths are UTF-8"));
        self.run_command(&arguments).await
    }

    fn set_faults(&self, faults: Faults) {
        self.platform.set_faults(faults);
    }

    fn versions(&self) -> Vec<Value> {
        let rows = self.platform.rows();
        let versions = rows.iter().filter(|(key, _)| key.starts_with("version/"));
        let parsed = versions.map(|(_, value)| serde_json::from_str(value).expect("rows are JSON"));
        parsed.collect()
    }

    fn head(&self) -> u64 {
        let rows = self.platform.rows();
        let Some(head) = rows.get("head") else {
            return 0;
        };
        let head: Value = serde_json::from_str(head).expect("rows are JSON");
        head["stamp"]["version"].as_u64().expect("a version")
    }
}

/// The platform commits a publication, but its answer is lost. The command looks up the id of the
/// publication and reports success, and the audit trail contains the publication once.
#[tokio::test]
async fn lost_answer_is_looked_up_by_id() {
    let fixture = PublishFixture::start().await;
    fixture.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let file = fixture.write_team_file("armazem", 12, "");
    let result = fixture.publish(&file, &["--id", "first"]).await;
    result.expect(0, "Published: version 1");
    assert_eq!(fixture.versions().len(), 1);
}

/// The commit is lost before it reaches the platform. The command sends the same conditional
/// transaction again, and the publication is committed once.
#[tokio::test]
async fn lost_request_is_sent_again() {
    let fixture = PublishFixture::start().await;
    fixture.set_faults(Faults {
        lose_requests: 2,
        ..Faults::default()
    });
    let file = fixture.write_team_file("armazem", 12, "");
    let result = fixture.publish(&file, &[]).await;
    result.expect(0, "Published: version 1");
    assert_eq!(fixture.versions().len(), 1);
}

/// The platform is down: the command changes nothing and exits with 1. The same command succeeds
/// when the platform is available again.
#[tokio::test]
async fn outage_before_the_commit_changes_nothing() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let result = fixture.publish(&file, &[]).await;
    result.expect(1, "nothing was changed");
    assert!(fixture.platform.rows().is_empty());
    fixture.set_faults(Faults::default());
    fixture.publish(&file, &[]).await.expect(0, "version 1");
}

/// The platform accepts reads and objects, but refuses the commit. The refusal proves that nothing
/// was written, so the command exits with 1 and not with "unknown".
#[tokio::test]
async fn outage_at_the_commit_changes_nothing() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.set_faults(Faults {
        refuse_transactions: true,
        ..Faults::default()
    });
    let result = fixture.publish(&file, &[]).await;
    result.expect(1, "the platform refused the commit of version 1");
    result.expect(1, "nothing was changed");
    assert!(fixture.platform.rows().is_empty());
}

/// The platform's address refuses connections: the command changes nothing and exits with 1.
#[tokio::test]
async fn unreachable_platform_changes_nothing() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    let common = ["publish", "--operator", "ana"];
    let arguments = [&common[..], &["--platform", "http://127.0.0.1:9"]].concat();
    let file = file.to_str().expect("temporary paths are UTF-8");
    let result: CommandResult = run_program(&[&arguments[..], &[file]].concat())
        .await
        .into();
    result.expect(1, "nothing was changed");
}

/// The platform commits and then fails before it answers, for longer than the command waits. The
/// command exits with 3 ("unknown") and says how to settle the publication. When the platform is
/// available again, `--resume` finds the version, alone and with the file, and commits nothing again.
#[tokio::test]
async fn outage_after_the_commit_is_settled_by_id() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.set_faults(Faults {
        lose_answers: 1,
        down_after_loss: true,
        ..Faults::default()
    });
    let result = fixture.publish(&file, &["--id", "night"]).await;
    result.expect(3, "--resume night --expect 0");
    let result = fixture.run_command(&["publish", "--resume", "night"]).await;
    result.expect(3, "--resume night");
    let again = ["--resume", "night", "--expect", "0"];
    let result = fixture.publish(&file, &again).await;
    result.expect(3, "--resume night --expect 0");
    fixture.set_faults(Faults::default());
    let result = fixture.run_command(&["publish", "--resume", "night"]).await;
    result.expect(0, "publication night created version 1");
    let result = fixture.publish(&file, &again).await;
    result.expect(0, "Already published: version 1");
    assert_eq!(fixture.versions().len(), 1);
}

/// The commit is lost and the platform fails, so the outcome is unknown. Meanwhile another team
/// publishes. Resuming the publication commits it once, rebased on the other one.
#[tokio::test]
async fn unknown_outcome_can_be_resumed() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.set_faults(Faults {
        lose_requests: 1,
        down_after_loss: true,
        ..Faults::default()
    });
    let result = fixture.publish(&file, &["--id", "night"]).await;
    result.expect(3, "--resume night --expect 0");
    fixture.set_faults(Faults::default());
    let other = fixture.write_team_file("balanco", 60, "");
    fixture.publish(&other, &[]).await.expect(0, "version 1");
    let again = ["--resume", "night", "--expect", "0"];
    let result = fixture.publish(&file, &again).await;
    result.expect(0, "Published: version 2");
    assert_eq!(fixture.versions().len(), 2);
}

/// The commit is lost and the operator abandons the publication. It is settled as "did not take
/// effect", and its id cannot be used again, so the commit fails if it arrives later.
#[tokio::test]
async fn unknown_outcome_can_be_abandoned() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.set_faults(Faults {
        lose_requests: 1,
        down_after_loss: true,
        ..Faults::default()
    });
    let result = fixture.publish(&file, &["--id", "night"]).await;
    result.expect(3, "unknown");
    fixture.set_faults(Faults::default());
    let result = fixture.run_command(&["publish", "--resume", "night"]).await;
    result.expect(1, "did not take effect, and can't any more");
    let result = fixture.publish(&file, &["--id", "night"]).await;
    result.expect(1, "was abandoned");
    assert_eq!(fixture.head(), 0);
}

/// An id is used again for other records. If the command did not compare the records, it would
/// report the second publication as done although it was not published.
#[tokio::test]
async fn id_of_another_publication_is_refused() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    let result = fixture.publish(&file, &["--id", "night"]).await;
    result.expect(0, "version 1");
    let changed = fixture.write_team_file("armazem", 24, "");
    let result = fixture.publish(&changed, &["--id", "night"]).await;
    result.expect(1, "already made version 1, from other records");
    assert_eq!(fixture.head(), 1);
}

/// Two operators change the same team, both based on version 1. The second publication is refused
/// and shows the first change, which it would otherwise silently overwrite.
#[tokio::test]
async fn conflict_on_same_team_shows_the_difference() {
    let fixture = PublishFixture::start().await;
    let first = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&first, &[]).await.expect(0, "version 1");
    let first_change = fixture.write_team_file("armazem", 24, "");
    let result = fixture.publish(&first_change, &["--expect", "1"]).await;
    result.expect(0, "version 2");
    result.expect(0, "~ service.armazem.queue_len: 12 -> 24");
    let second_change = fixture.write_team_file("armazem", 36, "");
    let result = fixture.publish(&second_change, &["--expect", "1"]).await;
    result.expect(1, "~ service.armazem.queue_len: 12 -> 24");
    assert_eq!(fixture.head(), 2);
}

/// Six operators change the same team concurrently, all based on version 1. The platform is slow, so
/// all of them read version 1 before the first one commits. One publication is accepted; the other
/// five are refused and change nothing.
#[tokio::test]
async fn one_of_many_concurrent_publications_of_a_team_is_accepted() {
    let fixture = PublishFixture::start().await;
    let first = fixture.write_team_file("armazem", 1, "");
    fixture.publish(&first, &[]).await.expect(0, "version 1");
    fixture.set_faults(Faults {
        delay_ms: 50,
        ..Faults::default()
    });
    let files: Vec<_> = (2..8)
        .map(|len| fixture.write_team_file("armazem", len, ""))
        .collect();
    let results = publish_concurrently(&fixture, &files).await;
    let accepted = results
        .iter()
        .filter(|result| result.code == Some(0))
        .count();
    assert_eq!(accepted, 1);
    for result in results.iter().filter(|result| result.code != Some(0)) {
        result.expect(1, "published by others since version 1");
    }
    assert_eq!(fixture.head(), 2);
}

/// Fourteen teams publish concurrently, as after a common release. All publications are accepted,
/// each as a version of its own: they are rebased on those of other teams as often as necessary, and
/// none is refused or overwritten.
#[tokio::test]
async fn concurrent_publications_of_different_teams_are_all_accepted() {
    let fixture = PublishFixture::start().await;
    fixture.set_faults(Faults {
        delay_ms: 30,
        ..Faults::default()
    });
    let teams: Vec<_> = (1..=14).map(|number| format!("salina-{number}")).collect();
    let files: Vec<_> = teams
        .iter()
        .map(|team| fixture.write_team_file(team, 6, ""))
        .collect();
    let results = publish_concurrently(&fixture, &files).await;
    for result in &results {
        result.expect(0, "Published");
    }
    let versions = fixture.versions();
    assert_eq!(versions.len(), teams.len());
    for pair in versions.windows(2) {
        assert_eq!(pair[1]["parent"], pair[0]["stamp"]);
    }
    let result = fixture
        .run_command(&["diff", "--from", "0", "--json"])
        .await;
    let diff: Value = serde_json::from_str(&result.stdout).expect("diff prints JSON");
    assert_eq!(diff["teams"].as_array().map(Vec::len), Some(teams.len()));
}

async fn publish_concurrently(fixture: &PublishFixture, files: &[PathBuf]) -> Vec<CommandResult> {
    let url = fixture.platform.url();
    let mut running = Vec::new();
    for file in files {
        let (url, file) = (
            url.clone(),
            file.to_str().expect("the path is UTF-8").to_owned(),
        );
        let expected = fixture.head().to_string();
        running.push(tokio::spawn(async move {
            let common = ["publish", "--operator", "ana", "--platform", &url];
            let arguments = [&common[..], &["--expect", &expected, &file]].concat();
            CommandResult::from(run_program(&arguments).await)
        }));
    }
    let mut results = Vec::new();
    for task in running {
        results.push(task.await.expect("the command ran"));
    }
    results
}

/// A rollback publishes the records of an earlier version as a new version, and the audit trail
/// shows all three versions. A rollback to a version that does not exist is refused.
#[tokio::test]
async fn rollback_is_a_new_version_with_old_records() {
    let fixture = PublishFixture::start().await;
    let good = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&good, &[]).await.expect(0, "version 1");
    let bad = fixture.write_team_file("armazem", 0, "");
    fixture.publish(&bad, &[]).await.expect(0, "version 2");
    let result = fixture
        .run_command(&["publish", "--rollback-to", "9"])
        .await;
    result.expect(1, "there is no version 9 yet");
    let result = fixture
        .run_command(&["publish", "--rollback-to", "1"])
        .await;
    result.expect(0, "Published: version 3");
    let result = fixture
        .run_command(&["diff", "--from", "1", "--to", "3"])
        .await;
    result.expect(0, "no difference");
    let result = fixture.run_command(&["audit"]).await;
    result.expect(0, "rollback to 1");
    result.expect(0, "~ service.armazem.queue_len: 0 -> 12");
    let result = fixture.run_command(&["history", "--json"]).await;
    let history: Value = serde_json::from_str(&result.stdout).expect("history prints JSON");
    assert_eq!(history.as_array().map(Vec::len), Some(3));
    assert_eq!(history[0]["kind"]["to"], 1);
}

/// A rollback of all teams is based on version 2, but another team has published version 3 since.
/// The rollback would silently undo that, so it is refused. A rollback of one team is accepted.
#[tokio::test]
async fn rollback_of_whole_set_conflicts_with_any_team() {
    let fixture = PublishFixture::start().await;
    let good = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&good, &[]).await.expect(0, "version 1");
    let bad = fixture.write_team_file("armazem", 0, "");
    fixture.publish(&bad, &[]).await.expect(0, "version 2");
    let other = fixture.write_team_file("balanco", 60, "");
    fixture.publish(&other, &[]).await.expect(0, "version 3");
    let whole = ["publish", "--rollback-to", "1", "--expect", "2"];
    let result = fixture.run_command(&whole).await;
    result.expect(1, "team balanco: record inserted");
    let team = [&whole[..], &["--team", "armazem"]].concat();
    fixture.run_command(&team).await.expect(0, "version 4");
    let result = fixture.run_command(&["diff", "--from", "3"]).await;
    result.expect(0, "~ service.armazem.queue_len: 0 -> 12");
    assert!(!result.stdout.contains("balanco"), "{}", result.stdout);
}

/// A team that other teams call cannot be deleted, nor can a team that does not exist. After its
/// last caller is deleted, the team can be deleted.
#[tokio::test]
async fn deletion_of_a_referenced_team_is_refused() {
    let fixture = PublishFixture::start().await;
    let called = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&called, &[]).await.expect(0, "version 1");
    let caller = fixture.write_team_file("balanco", 60, "[calls]\narmazem = [\"stock\"]\n");
    fixture.publish(&caller, &[]).await.expect(0, "version 2");
    let result = fixture
        .run_command(&["publish", "--remove", "armazem"])
        .await;
    result.expect(1, "team `balanco` refers to service `armazem`");
    let result = fixture
        .run_command(&["publish", "--remove", "armazen"])
        .await;
    result.expect(1, "team `armazen` has no record in version 2");
    let result = fixture
        .run_command(&["publish", "--remove", "balanco"])
        .await;
    result.expect(0, "version 3");
    let result = fixture
        .run_command(&["publish", "--remove", "armazem"])
        .await;
    result.expect(0, "version 4");
}

/// Publishing the accepted records again is refused, so there is no version without a change.
#[tokio::test]
async fn unchanged_records_make_no_version() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&file, &[]).await.expect(0, "version 1");
    let result = fixture.publish(&file, &[]).await;
    result.expect(1, "version 1 already holds these records");
    assert_eq!(fixture.head(), 1);
}

/// Publishing without an operator name is a usage error, because the audit trail must record who
/// made each change.
#[tokio::test]
async fn publication_without_operator_name_is_refused() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    let output = tokio::process::Command::new(crate::support::PROGRAM)
        .args(["publish", "--platform", &fixture.platform.url()])
        .arg(&file)
        .env_clear()
        .output()
        .await;
    let result: CommandResult = output.expect("the program can be run").into();
    result.expect(2, "--operator is required");
    assert_eq!(fixture.head(), 0);
}

/// A script deletes a team, is killed before it gets the result, and runs again with the same id. It
/// must get the result that the publication is done, and not the error that the team does not exist.
#[tokio::test]
async fn repeated_deletion_is_found_already_published() {
    let fixture = PublishFixture::start().await;
    for team in ["armazem", "balanco"] {
        let file = fixture.write_team_file(team, 12, "");
        fixture.publish(&file, &[]).await.expect(0, "Published");
    }
    let delete = ["publish", "--id", "gone", "--remove", "balanco"];
    fixture
        .run_command(&delete)
        .await
        .expect(0, "Published: version 3");
    let result = fixture.run_command(&delete).await;
    result.expect(0, "Already published: version 3");
}

/// A team removes a resource that the accepted record of another team calls. `check` alone cannot
/// detect that; with `--accepted` it reports the team whose call would be invalid.
#[tokio::test]
async fn check_against_the_accepted_version_finds_broken_callers() {
    let fixture = PublishFixture::start().await;
    let called = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&called, &[]).await.expect(0, "version 1");
    let caller = fixture.write_team_file("balanco", 60, "[calls]\narmazem = [\"stock\"]\n");
    fixture.publish(&caller, &[]).await.expect(0, "version 2");
    let text = std::fs::read_to_string(&called).expect("the file was written");
    std::fs::write(&called, text.replace("stock", "ledger")).expect("the file is written");
    let path = called.to_str().expect("temporary paths are UTF-8");
    fixture
        .run_command(&["check", path])
        .await
        .expect(0, "no problems found");
    let result = fixture.run_command(&["check", "--accepted", path]).await;
    result.expect(1, "team `balanco` refers to resource `stock`");
}
