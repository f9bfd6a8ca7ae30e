//! The page of proofs refers only to tests and mutations that exist.

use std::fs;

use crate::support::repository_file;

fn read(path: &str) -> String {
    let text = fs::read_to_string(repository_file(path));
    text.unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// All texts between backquotes.
fn backquoted_names(page: &str) -> Vec<&str> {
    page.split('`').skip(1).step_by(2).collect()
}

fn is_snake_case(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// The page refers to a test that was renamed, removed or never written, so readers rely on a proof
/// that is never run.
#[test]
fn every_test_named_exists() {
    let page = read("docs/PROOFS.md");
    let mut checked = 0;
    for name in backquoted_names(&page) {
        let Some((module, test)) = name.split_once("::") else {
            continue;
        };
        if !is_snake_case(module) || !is_snake_case(test) {
            continue;
        }
        let text = read(&format!("tests/testsuite/{module}.rs"));
        assert!(
            text.contains(&format!("fn {test}(")),
            "test {name} does not exist"
        );
        checked += 1;
    }
    assert!(checked >= 30, "the page names only {checked} tests");
}

#[test]
fn every_mutation_named_exists() {
    let page = read("docs/PROOFS.md");
    let model_sources = ["distribution/state.rs", "publish/state.rs", "request.rs"].map(|file| {
        let path = format!("crates/model/src/{file}");
        read(&path)
    });
    let starts_upper = |name: &&str| name.starts_with(|c: char| c.is_ascii_uppercase());
    let is_word = |name: &&str| name.chars().all(|c| c.is_ascii_alphabetic());
    let mutations: Vec<&str> = backquoted_names(&page)
        .into_iter()
        .filter(starts_upper)
        .filter(is_word)
        .filter(|name| *name != "RULE")
        .collect();
    assert!(mutations.len() >= 15, "the page names only {mutations:?}");
    for mutation in mutations {
        let variant = format!("    {mutation},\n");
        let exists = model_sources.iter().any(|text| text.contains(&variant));
        assert!(exists, "mutation {mutation} does not exist");
    }
}
