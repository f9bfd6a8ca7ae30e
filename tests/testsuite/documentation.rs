//! The reference pages agree with the program.

use dragonflywall::node::settings::SPECS;

use crate::support::{repository_file, run_program};

pub(crate) fn page(path: &str) -> String {
    let text = std::fs::read_to_string(repository_file(path));
    text.expect("the page exists")
}

/// The reference page of the commands would become outdated when a help text changes. It must
/// contain the help of each command word for word.
#[tokio::test]
async fn commands_page_contains_every_help_text() {
    let page = page("docs/reference/commands.md");
    let overview = run_program(&["help"]).await;
    let overview = String::from_utf8(overview.stdout).expect("help is UTF-8");
    let listed = overview.lines().skip_while(|line| *line != "Commands:");
    let names = listed.skip(1).take_while(|line| !line.is_empty());
    let names: Vec<&str> = names
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert!(names.contains(&"publish"), "{names:?}");
    for name in names {
        if name == "node" {
            continue; // The reference page of the settings describes its flags.
        }
        let help = run_program(&[name, "--help"]).await;
        let help = String::from_utf8(help.stdout).expect("help is UTF-8");
        assert!(page.contains(help.trim()), "the page lacks:\n{help}");
    }
}

/// The reference page of the settings must have a row with flag, variable and default of each
/// setting of a node.
#[test]
fn settings_page_contains_every_setting() {
    let page = page("docs/reference/settings.md");
    for spec in SPECS {
        let start = format!("| `--{}` |", spec.flag);
        let row = page.lines().find(|line| line.starts_with(&start));
        let row = row.unwrap_or_else(|| panic!("no row starts with {start}"));
        assert!(row.contains(&format!("`{}`", spec.variable())), "{row}");
        let default = match spec.default {
            "" => "none".to_owned(),
            default => format!("`{default}`"),
        };
        assert!(row.contains(&default), "{row} lacks the default {default}");
    }
}

/// Teams copy the example of the reference page, so it must be a valid team file.
#[tokio::test]
async fn team_file_example_is_valid() {
    let page = page("docs/reference/team-file.md");
    let example = page
        .split("```toml\n")
        .nth(1)
        .expect("the page has an example");
    let example = example.split("```").next().expect("the example ends");
    let directory = tempfile::TempDir::new().expect("the temporary directory is created");
    let path = directory.path().join("armazem.toml");
    std::fs::write(&path, example).expect("the file is written");
    let output = run_program(&["check", path.to_str().expect("the path is UTF-8")]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}
