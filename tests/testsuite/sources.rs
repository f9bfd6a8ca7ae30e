//! Rules for the source code that neither the formatter nor the linter checks.

use std::fs;
use std::path::{Path, PathBuf};

use crate::support::repository_file;

/// All Rust files below a directory.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the directory exists");
    let mut found = Vec::new();
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            found.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
    found
}

/// Lines in `folder` that contain one of `words`, with file and line number.
fn lines_containing(folder: &str, words: &[&str]) -> Vec<String> {
    let mut found = Vec::new();
    for path in rust_files(&repository_file(folder)) {
        let text = fs::read_to_string(&path).expect("source files are UTF-8 text");
        for (number, line) in text.lines().enumerate() {
            if words.iter().any(|word| line.contains(word)) {
                found.push(format!("{}:{}: {line}", path.display(), number + 1));
            }
        }
    }
    found
}

#[test]
fn comments_have_no_boilerplate_phrases() {
    let phrases = [
        "Load made for",
        "Harm prevented",
        "Failure guarded against",
        "Reason for the",
        "The guard holds",
    ];
    assert_eq!(lines_containing("src", &phrases), Vec::<String>::new());
}

/// The request path reads state that actors write. It must not depend on the actors themselves.
#[test]
fn request_path_does_not_depend_on_actors() {
    let uses_of_node = lines_containing("src/proxy", &["crate::node::"]);
    let uses_beyond_settings: Vec<&String> = uses_of_node
        .iter()
        .filter(|line| !line.contains("crate::node::settings::"))
        .collect();
    assert_eq!(uses_beyond_settings, Vec::<&String>::new());
    let actor_types = ["ConfigurationMsg", "MembershipMsg", "NodeState"];
    assert_eq!(
        lines_containing("src/proxy", &actor_types),
        Vec::<String>::new()
    );
}

#[test]
fn platform_names_stay_in_platform_module() {
    let names = [
        "x-dfw-",
        "rows-tx",
        "rows-get",
        "rows-feed",
        "heartbeatAddr",
        "coldRemaining",
    ];
    for folder in [
        "src/core",
        "src/decide",
        "src/distribution",
        "src/membership",
        "src/node",
    ] {
        assert_eq!(lines_containing(folder, &names), Vec::<String>::new());
    }
    assert_eq!(lines_containing("src/proxy", &names), Vec::<String>::new());
}
