//! What the log tells an operator after a failure.

use testkit::platform::Faults;
use testkit::process::{LogLine, Signal};
use tokio::sync::mpsc;

use crate::support::{LIMIT, small, start_chatarras};

/// In the night the platform is down for a while, a VM dies, and its replacement starts meanwhile. In
/// the morning the operator finds the death in its neighbours' logs, and the outage with its
/// beginning and its end in that of the node that looked for the platform most.
#[tokio::test(flavor = "multi_thread")]
async fn outage_and_death_are_in_the_log() {
    const VICTIM: usize = 1;
    let (sender, mut lines) = mpsc::unbounded_channel();
    let mut deployment = small(&["tablon"], 2);
    deployment.log_lines = Some(sender);
    let mut mesh = start_chatarras(deployment).await;
    mesh.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let mut victim = mesh.vms[VICTIM].node.take().expect("it runs");
    victim.signal(Signal::Kill);
    victim.ended().await.expect("it ends");
    wait_for(&mut lines, |line| line.text.contains("member is dead")).await;
    mesh.start_node(VICTIM).await.expect("it starts");
    // Others look too, but some of them seldom; a node that starts looks about every second.
    let of_victim = |text: &'static str| {
        move |line: &LogLine| line.position == VICTIM && line.text.contains(text)
    };
    let begin = of_victim("the platform does not answer; what is enforced stays");
    wait_for(&mut lines, begin).await;
    mesh.platform.set_faults(Faults::default());
    wait_for(&mut lines, of_victim("the platform answers again")).await;
}

async fn wait_for(
    lines: &mut mpsc::UnboundedReceiver<LogLine>,
    is_wanted: impl Fn(&LogLine) -> bool,
) {
    let found = async {
        while let Some(line) = lines.recv().await {
            if is_wanted(&line) {
                return true;
            }
        }
        false
    };
    let found = tokio::time::timeout(LIMIT, found).await;
    assert_eq!(found, Ok(true), "the line never came");
}
