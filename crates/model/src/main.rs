//! Command line of the model checker. Run it with
//! `cargo run --release -p model -- distribution|publish|request|rollout [options]`.

use std::process::ExitCode;

use lexopt::prelude::*;
use model::checker::{Report, Specification, check};
use model::distribution::{Bounds, DistributionSpec, FloorRule};
use model::publish::{self, PublishSpec, Scenario};
use model::request::{self, RequestSpec};
use model::rollout::{self, RolloutSpec};

const HELP: &str = "\
Usage: model distribution [OPTIONS]
       model publish [OPTIONS]
       model request [OPTIONS]
       model rollout [OPTIONS]

Checks a specification exhaustively; prints states explored, and the shortest counterexample if a
property fails. Exit code 1 if one does.

Options of distribution:
  --nodes N     nodes, 1 to 3 (2)
  --versions N  versions, 1 to 3 (2)
  --crashes N   processes that die (2)
  --cuts N      nodes cut off from their peers (1)
  --outages N   times the platform is away (1)
  --open-version N
                a version accepted by mistake with a reference that does not close (none)
  --rule RULE   peers-only, head-only, one-witness, one-witness-in-reach,
                one-witness-fewer-answers, two-witnesses, two-witnesses-fewer-answers
                (all of them, one after the other)

Options of publish:
  --outages N   calls that find the platform away (1)
  --losses N    answers lost, before or after the effect (2)
  --runs N      runs of one publication, the resumed ones included (3)

Options of request:
  --requests N  requests at once, 1 or 2 (1)
  --attempts N  attempts of one request (3)
  --faults N    connections lost, timeouts, deaths of processes, callers that hang up (3)

Options of rollout:
  --orders N        changes of the order (1)
  --faults N        answers lost, leads restarted (2)
  --condemnations N leads that find the candidate to be bad (1)
";

type Result<T> = std::result::Result<T, lexopt::Error>;

const FLOOR_RULES: [(&str, FloorRule); 7] = [
    ("peers-only", FloorRule::PEERS_ONLY),
    ("head-only", FloorRule::HEAD_ONLY),
    ("one-witness", FloorRule::ONE_WITNESS),
    ("one-witness-in-reach", FloorRule::ONE_WITNESS_IN_REACH),
    (
        "one-witness-fewer-answers",
        FloorRule::ONE_WITNESS_FEWER_ANSWERS,
    ),
    ("two-witnesses", FloorRule::TWO_WITNESSES),
    (
        "two-witnesses-fewer-answers",
        FloorRule::TWO_WITNESSES_FEWER_ANSWERS,
    ),
];

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("error: {error}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<bool> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Value(name)) if name == "distribution" => check_distribution(&mut parser),
        Some(Value(name)) if name == "publish" => check_publication(&mut parser),
        Some(Value(name)) if name == "request" => check_requests(&mut parser),
        Some(Value(name)) if name == "rollout" => check_rollout(&mut parser),
        _ => {
            print!("{HELP}");
            Ok(true)
        }
    }
}

fn check_distribution(parser: &mut lexopt::Parser) -> Result<bool> {
    let mut bounds = Bounds {
        nodes: 2,
        versions: 2,
        crashes: 2,
        cuts: 1,
        outages: 1,
        dangling_version: None,
    };
    let mut selected_rule = None;
    while let Some(option) = parser.next()? {
        match option {
            Long("nodes") => bounds.nodes = parser.value()?.parse()?,
            Long("versions") => bounds.versions = parser.value()?.parse()?,
            Long("crashes") => bounds.crashes = parser.value()?.parse()?,
            Long("cuts") => bounds.cuts = parser.value()?.parse()?,
            Long("outages") => bounds.outages = parser.value()?.parse()?,
            Long("open-version") => bounds.dangling_version = Some(parser.value()?.parse()?),
            Long("rule") => selected_rule = Some(parser.value()?.string()?),
            _ => return Err(option.unexpected()),
        }
    }
    let is_selected = |name: &str| selected_rule.as_ref().is_none_or(|rule| rule == name);
    let mut all_hold = true;
    for (name, rule) in FLOOR_RULES.iter().filter(|(name, _)| is_selected(name)) {
        println!("Checking configuration distribution, floor rule {name}, {bounds:?}");
        all_hold &= check_and_print(&DistributionSpec::new(bounds, *rule, None));
    }
    Ok(all_hold)
}

fn check_publication(parser: &mut lexopt::Parser) -> Result<bool> {
    let (mut outages, mut losses, mut runs) = (1, 2, 3);
    while let Some(option) = parser.next()? {
        match option {
            Long("outages") => outages = parser.value()?.parse()?,
            Long("losses") => losses = parser.value()?.parse()?,
            Long("runs") => runs = parser.value()?.parse()?,
            _ => return Err(option.unexpected()),
        }
    }
    let mut all_hold = true;
    for scenario in [
        Scenario::SameTeam,
        Scenario::DifferentTeams,
        Scenario::CrossReference,
    ] {
        let bounds = publish::Bounds {
            scenario,
            outages,
            losses,
            runs,
        };
        println!("Checking publication by two operators, {bounds:?}");
        all_hold &= check_and_print(&PublishSpec::new(bounds, None));
    }
    Ok(all_hold)
}

fn check_requests(parser: &mut lexopt::Parser) -> Result<bool> {
    let (mut requests, mut attempts, mut faults) = (1, 3, 3);
    while let Some(option) = parser.next()? {
        match option {
            Long("requests") => requests = parser.value()?.parse()?,
            Long("attempts") => attempts = parser.value()?.parse()?,
            Long("faults") => faults = parser.value()?.parse()?,
            _ => return Err(option.unexpected()),
        }
    }
    let mut all_hold = true;
    for idempotent in [false, true] {
        let bounds = request::Bounds {
            requests,
            idempotent,
            attempts,
            faults,
        };
        println!("Checking request forwarding, {bounds:?}");
        all_hold &= check_and_print(&RequestSpec::new(bounds, None));
    }
    Ok(all_hold)
}

fn check_rollout(parser: &mut lexopt::Parser) -> Result<bool> {
    let mut bounds = rollout::Bounds {
        orders: 1,
        faults: 2,
        condemnations: 1,
    };
    while let Some(option) = parser.next()? {
        match option {
            Long("orders") => bounds.orders = parser.value()?.parse()?,
            Long("faults") => bounds.faults = parser.value()?.parse()?,
            Long("condemnations") => bounds.condemnations = parser.value()?.parse()?,
            _ => return Err(option.unexpected()),
        }
    }
    println!("Checking roll-outs, {bounds:?}");
    Ok(check_and_print(&RolloutSpec::new(bounds, None)))
}

/// Checks `specification` and prints the result. Returns whether all properties hold.
fn check_and_print<T: Specification>(specification: &T) -> bool {
    let report: Report<T::State> = check(specification);
    println!(
        "Checked {} states, and {} without faults, in {:.2} s",
        report.states,
        report.states_without_faults,
        report.elapsed.as_secs_f64()
    );
    let Some(counterexample) = &report.counterexample else {
        println!("All properties hold.\n");
        return true;
    };
    println!("Violated: {}", counterexample.property);
    for (number, step) in counterexample.steps.iter().enumerate() {
        println!("{:4}. {step}", number + 1);
    }
    println!("      {:?}\n", counterexample.final_state);
    false
}
