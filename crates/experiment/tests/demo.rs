//! Runs the `experiment` program: the demo, which is the first command of the README, and errors.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The demo ends without further input and succeeds. Its output shows that a data centre enforces
/// both versions at all of its nodes, and the number of answers that callers received.
#[test]
fn demo_succeeds_for_each_deployment() {
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

/// For an unknown command the error names the command, and the exit code is that of usage errors.
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

/// An experiment that is killed with SIGKILL cannot stop its node processes, and they would keep
/// running. They must detect that their parent process has ended, and exit.
#[test]
fn killed_experiment_leaves_no_nodes() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_experiment"))
        .arg("demo")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let stdout = demo.stdout.take().expect("stdout is piped");
    let started = BufReader::new(stdout).lines().next();
    let started = started
        .expect("the demo prints a line")
        .expect("the line is UTF-8");
    assert!(started.starts_with("Started chatarras"), "{started}");
    let nodes = children(demo.id());
    assert_eq!(nodes.len(), 16, "{nodes:?}");
    demo.kill().expect("the demo is still running");
    demo.wait().expect("the demo has been killed");
    let deadline = Instant::now() + Duration::from_secs(60);
    while nodes.iter().any(|node| is_node(*node)) {
        assert!(
            Instant::now() < deadline,
            "a node still runs after its experiment was killed"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn children(parent: u32) -> Vec<u32> {
    let threads =
        std::fs::read_dir(format!("/proc/{parent}/task")).expect("the parent process is running");
    let lists = threads.filter_map(|thread| {
        let list = thread.ok()?.path().join("children");
        std::fs::read_to_string(list).ok()
    });
    let lists: Vec<String> = lists.collect();
    let numbers = lists.iter().flat_map(|list| list.split_whitespace());
    numbers.filter_map(|number| number.parse().ok()).collect()
}

fn is_node(process: u32) -> bool {
    let arguments = std::fs::read_to_string(format!("/proc/{process}/cmdline"));
    arguments.is_ok_and(|arguments| arguments.split('\0').nth(1) == Some("node"))
}
