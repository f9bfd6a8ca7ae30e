//! The README's first command.

use std::process::Command;

/// A newcomer runs the README's first command: it ends by itself, succeeds, and shows both
/// versions at all four data centres and the callers' answers.
#[test]
fn demo_of_each_deployment_ends_well() {
    for (name, data_centre) in [("chatarras", "leon"), ("marinhas", "olhao-b")] {
        let output = Command::new(env!("CARGO_BIN_EXE_experiment"))
            .args(["demo", name])
            .output()
            .expect("the program runs");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{output:?}");
        for version in 1..=2 {
            let enforced = format!("{data_centre:<10} version {version} at 4 nodes");
            assert!(text.contains(&enforced), "{enforced} is missing in {text}");
        }
        assert!(text.contains("Finished: 33 answers"), "{text}");
    }
}

/// A mistyped command names the mistake and exits with the code for usage.
#[test]
fn unknown_command_is_a_usage_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_experiment"))
        .arg("dmeo")
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("`dmeo` is not a command"), "{text}");
}
