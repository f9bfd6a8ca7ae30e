//! Checks the list of tests that CI ignores.

use std::fs;

use crate::support::repository_file;

/// Number of fields of an entry: test, command and seed, observed failure, issue.
const FIELDS: usize = 4;

#[test]
fn every_entry_is_complete_and_names_an_existing_test() {
    let path = repository_file("KNOWN-RED.txt");
    let Ok(list) = fs::read_to_string(path) else {
        return;
    };
    let is_entry = |line: &&str| !line.trim().is_empty() && !line.starts_with('#');
    for entry in list.lines().filter(is_entry) {
        let fields: Vec<&str> = entry.split('|').map(str::trim).collect();
        assert_eq!(fields.len(), FIELDS, "{entry}");
        assert!(fields.iter().all(|field| !field.is_empty()), "{entry}");
        let (module, test) = fields[0]
            .split_once("::")
            .expect("the entry names module and test");
        let text = fs::read_to_string(repository_file(&format!("tests/testsuite/{module}.rs")));
        let text = text.unwrap_or_else(|error| panic!("{module}: {error}"));
        assert!(
            text.contains(&format!("fn {test}(")),
            "test {} does not exist",
            fields[0]
        );
    }
}
