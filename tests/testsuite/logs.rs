//! What the log tells an operator after a failure.

use std::collections::BTreeSet;

use testkit::http::wait_until;
use testkit::platform::Faults;
use testkit::process::Signal;
use tokio::sync::mpsc;

use crate::support::{LIMIT, small, start_chatarras};

/// In the night the platform is down for a while, and a VM dies. In the morning the operator finds
/// both in the log of a node that saw them, the outage with its beginning and its end.
#[tokio::test(flavor = "multi_thread")]
async fn outage_and_death_are_in_the_log() {
    let (sender, mut lines) = mpsc::unbounded_channel();
    let mut deployment = small(&["tablon"], 2);
    deployment.log_lines = Some(sender);
    let mut mesh = start_chatarras(deployment).await;
    mesh.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let victim = mesh.vms[1].node.as_mut().expect("it runs");
    victim.signal(Signal::Kill);
    victim.ended().await.expect("it ends");

    let expected = [
        "the platform does not answer; what is enforced stays",
        "the platform answers again",
        "member is dead",
    ];
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    wait_until("all lines", LIMIT, || {
        while let Ok(line) = lines.try_recv() {
            let of_line = expected.iter().filter(|text| line.text.contains(**text));
            seen.extend(of_line);
        }
        if seen.contains(expected[0]) {
            mesh.platform.set_faults(Faults::default());
        }
        let done = seen.len() == expected.len();
        async move { done }
    })
    .await;
}
