//! `publish` and its failures, through the command line against the platform stand-in.

use std::path::{Path, PathBuf};
use std::process::Output;

use serde_json::Value;
use tempfile::TempDir;
use testkit::platform::{Faults, Platform};

use crate::support::command;

/// A platform, and a directory for team files.
struct PublishFixture {
    platform: Platform,
    files: TempDir,
}

/// What a command brought.
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
        assert!(all.contains(text), "`{text}` is not in:\n{all}");
    }
}

impl PublishFixture {
    async fn start() -> Self {
        let platform = Platform::start(([127, 0, 0, 1], 0).into()).await;
        Self {
            platform: platform.expect("a port is free"),
            files: TempDir::new().expect("there is room for files"),
        }
    }

    /// Writes the file of a team that offers one service of the same name.
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
        command(&all).await.into()
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

/// The operator publishes, the platform commits, and its answer is lost on the way. The operator
/// sees one publication done, and the audit trail holds it once: the lost answer is looked up
/// under the publication's id instead of being taken for a failure.
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

/// The operator publishes, and the request itself is lost before the platform sees it. The same
/// conditional transaction is sent again, and the operator sees one publication done.
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

/// The platform is down when the operator publishes: refused, nothing changed, exit code 1. The
/// same command works once the platform is back.
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

/// The platform takes reads and objects, and refuses the commit itself. That is a proof that
/// nothing was written: exit code 1 and "nothing was changed", not "unknown".
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

/// Nobody listens at the platform's address: refused, nothing changed.
#[tokio::test]
async fn unreachable_platform_changes_nothing() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    let common = ["publish", "--operator", "ana"];
    let arguments = [&common[..], &["--platform", "http://127.0.0.1:9"]].concat();
    let file = file.to_str().expect("temporary paths are UTF-8");
    let result: CommandResult = command(&[&arguments[..], &[file]].concat()).await.into();
    result.expect(1, "nothing was changed");
}

/// The platform commits and goes down before it answers, for longer than the command waits. The
/// operator is told "unknown" (exit code 3) and how to settle it. Settling finds the version;
/// running the whole command again with the id finds it too, and never commits it twice.
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
    result.expect(0, "publication night made version 1");
    let result = fixture.publish(&file, &again).await;
    result.expect(0, "Found already published: version 1");
    assert_eq!(fixture.versions().len(), 1);
}

/// The request is lost and the platform goes down, so the outcome is unknown. Meanwhile another
/// team publishes. Going on with the publication commits it once, on top of the other.
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

/// The same, but the operator decides to stop it: settled as "did not take effect". The id can't
/// be used any more, so that the lost request fails if it arrives after all.
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

/// An operator uses an id a second time, for other records. Without a look at what the id stands
/// for, the second publication would be called done although nothing of it is in force.
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

/// Ana and Bea look at version 1 and change the same team. Ana publishes first. Bea is refused and
/// shown what Ana changed: otherwise Ana's change would be undone, and nobody would notice.
#[tokio::test]
async fn conflict_on_same_team_shows_the_difference() {
    let fixture = PublishFixture::start().await;
    let first = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&first, &[]).await.expect(0, "version 1");
    let file_of_ana = fixture.write_team_file("armazem", 24, "");
    let result = fixture.publish(&file_of_ana, &["--expect", "1"]).await;
    result.expect(0, "version 2");
    result.expect(0, "~ service.armazem.queue_len: 12 -> 24");
    let file_of_bea = fixture.write_team_file("armazem", 36, "");
    let result = fixture.publish(&file_of_bea, &["--expect", "1"]).await;
    result.expect(1, "~ service.armazem.queue_len: 12 -> 24");
    assert_eq!(fixture.head(), 2);
}

/// Six operators publish changes of the same team at one moment, all on top of version 1, to a
/// platform that is slow enough for all of them to read it before the first commits. One is
/// accepted, five are refused; none of the refused has changed anything.
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

/// Fourteen teams publish at one moment, as after a common release. All are accepted, each as a
/// version of its own on top of the one before: a change of another team is rebased on, not refused
/// and not overwritten, however often another one comes first.
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
        let (url, file) = (url.clone(), file.to_str().expect("UTF-8").to_owned());
        let expected = fixture.head().to_string();
        running.push(tokio::spawn(async move {
            let common = ["publish", "--operator", "ana", "--platform", &url];
            let arguments = [&common[..], &["--expect", &expected, &file]].concat();
            CommandResult::from(command(&arguments).await)
        }));
    }
    let mut results = Vec::new();
    for task in running {
        results.push(task.await.expect("the command ran"));
    }
    results
}

/// A bad change is taken back: the old records come as a new version, and the audit trail shows
/// all three. A rollback to a version that never was is refused.
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

/// Ana wants the whole set of version 1 back. Since she looked, another team has published. The
/// rollback would undo that unseen, so it is refused; rolling back the one team is not.
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

/// A team that others call can't be deleted, a team that does not exist neither; the last caller
/// can, and then the team itself.
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

/// Records that are accepted already are not published again: no version without a change.
#[tokio::test]
async fn unchanged_records_make_no_version() {
    let fixture = PublishFixture::start().await;
    let file = fixture.write_team_file("armazem", 12, "");
    fixture.publish(&file, &[]).await.expect(0, "version 1");
    let result = fixture.publish(&file, &[]).await;
    result.expect(1, "version 1 already holds these records");
    assert_eq!(fixture.head(), 1);
}

/// An operator whose name is not known to the command publishes: a usage error, since the audit
/// trail must say who changed what.
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
    let result: CommandResult = output.expect("the program results").into();
    result.expect(2, "--operator is required");
    assert_eq!(fixture.head(), 0);
}

/// A script deletes a team, is killed before it sees the answer, and results again with the same id.
/// The team is gone by then; the script must be told that its publication is done, and not that
/// there is no such team.
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
    result.expect(0, "Found already published: version 3");
}

/// A team takes a resource out of its file that another team's accepted record calls. `check` by
/// itself can't know; against the accepted version it names the team that would be broken.
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
        .expect(0, "nothing wrong");
    let result = fixture.run_command(&["check", "--accepted", path]).await;
    result.expect(1, "team `balanco` refers to resource `stock`");
}
