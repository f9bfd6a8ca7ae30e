//! `rollout status`: shows the roll-outs of all services, according to one node.

use std::ffi::OsString;

use dragonflywall::core::status::RolloutStatus;
use dragonflywall::ops::query::rollout::{by_version, fetch};

use super::Command;
use crate::cli::{Failure, Result, block_on};
use crate::options::{CommonOptions, JSON_HELP, NODE_HELP, print_json};

pub(crate) const COMMAND: Command = Command {
    name: "rollout",
    summary: "show how far a service has moved to another software version",
    help,
    run,
};

fn help() -> String {
    format!(
        "Asks one node for the roll-outs: order, phase, share, and what each version has answered.\n\n\
         Usage: dragonflywall rollout status --node ADDR [OPTIONS] [SERVICE]\n\nOptions:\n{NODE_HELP}{JSON_HELP}"
    )
}

fn run(arguments: Vec<OsString>) -> Result {
    let mut common = CommonOptions::from_environment();
    let mut words = Vec::new();
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                common.parse_flag(&name, &mut parser)?;
            }
            lexopt::Arg::Value(word) => words.push(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    let service = match words.as_slice() {
        [action] if action == "status" => None,
        [action, service] if action == "status" => Some(service.as_str()),
        _ => {
            let text = "expected `rollout status` and at most one service";
            return Err(Failure::Usage(text.to_owned()));
        }
    };
    let node = common.node()?;
    let mut rollouts = block_on(fetch(&node))
        .map_err(|error| Failure::refused(&error, "query another node, or check this one's log"))?;
    rollouts.retain(|rollout| service.is_none_or(|service| service == rollout.service.as_str()));
    if common.json {
        print_json(&rollouts);
    } else if rollouts.is_empty() {
        println!("no roll-out was ordered");
    } else {
        rollouts.iter().for_each(print);
    }
    Ok(())
}

fn print(rollout: &RolloutStatus) {
    match &rollout.order {
        Some(order) => println!(
            "{}: ordered to {} within {} ms",
            rollout.service, order.to, order.duration_ms
        ),
        None => println!("{}: the order was withdrawn or is invalid", rollout.service),
    }
    if let Some(state) = &rollout.state {
        println!(
            "  {} at {} %, {} ms after the order, decided by {}: {}",
            state.phase.as_str(),
            state.share_percent,
            state
                .decided_store_ms
                .saturating_sub(state.ordered_store_ms),
            state.decided_by,
            state.reason
        );
    }
    for total in by_version(rollout) {
        let version = total
            .version
            .as_ref()
            .map_or("unknown", |version| version.as_str());
        let candidate = if total.candidate { ", candidate" } else { "" };
        println!(
            "  version {version}{candidate}: {} endpoints ({} closed), {} responses, {} failed, {} running",
            total.endpoints, total.closed, total.answers, total.failures, total.in_flight
        );
    }
    if rollout.suspicion > 0.0 {
        println!(
            "  evidence against the candidate: {:.0} %",
            rollout.suspicion * 100.0
        );
    }
}
