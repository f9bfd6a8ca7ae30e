//! `rollout`: plays roll-outs of good and bad versions in virtual time, with failures around them.

mod judge;
mod scenario;
#[cfg(test)]
mod tests;
mod world;

use std::collections::BTreeMap;
use std::ffi::OsString;

use dragonflywall::core::rollout::RolloutPhase;
use indicatif::ProgressBar;

use self::judge::JudgeKind;
use self::scenario::{Candidate, Scenario, Trouble};
use self::world::{Outcome, play};
use crate::error::Result;
use crate::options::{Options, Scale};
use crate::report::{Axes, Report, Series, Table};

/// Plays without and with `--full`.
const QUICK_SEEDS: u64 = 200;
const FULL_SEEDS: u64 = 5_000;

/// Totals over the plays of one kind.
#[derive(Clone, Debug, Default)]
struct Totals {
    plays: u64,
    completed: u64,
    rolled_back: u64,
    undecided: u64,
    overexposed: u64,
    late_arrivals: u64,
    cut_off: u64,
    /// Sum of the times to the verdict, in milliseconds.
    decided_ms: u64,
    decided_max_ms: u64,
    /// Sum of the times to the verdict, as shares of the duration.
    decided_share: f64,
    /// Sum of the candidate's shares of the requests.
    exposure: f64,
    refused: u64,
    failed: u64,
}

impl Totals {
    fn add(&mut self, scenario: &Scenario, outcome: &Outcome) {
        self.plays += 1;
        match outcome.phase {
            Some(RolloutPhase::Completed) => self.completed += 1,
            Some(_) => self.rolled_back += 1,
            None => self.undecided += 1,
        }
        let bad = !scenario.candidate.is_good();
        self.overexposed += u64::from(bad && outcome.is_overexposed());
        self.late_arrivals += u64::from(bad && outcome.late_arrivals > 0);
        self.cut_off += u64::from(outcome.cut_off > 0);
        self.decided_ms += outcome.decided_ms;
        self.decided_max_ms = self.decided_max_ms.max(outcome.decided_ms);
        self.decided_share += outcome.decided_ms as f64 / scenario.duration_ms as f64;
        self.exposure += outcome.candidate_arrivals as f64 / outcome.arrivals.max(1) as f64;
        self.refused += outcome.refused;
        self.failed += outcome.failed;
    }

    fn row(&self, name: &str) -> Vec<String> {
        let plays = self.plays.max(1) as f64;
        vec![
            name.to_owned(),
            self.plays.to_string(),
            self.completed.to_string(),
            self.rolled_back.to_string(),
            self.undecided.to_string(),
            self.overexposed.to_string(),
            self.late_arrivals.to_string(),
            self.cut_off.to_string(),
            format!("{:.1}", self.decided_ms as f64 / plays / 1_000.0),
            format!("{:.1}", self.decided_max_ms as f64 / 1_000.0),
            format!("{:.2}", self.decided_share / plays),
            format!("{:.1}", self.exposure / plays * 100.0),
        ]
    }
}

const COLUMNS: [&str; 12] = [
    "candidate",
    "plays",
    "completed",
    "rolled back",
    "undecided",
    "exposed too much",
    "reached too late",
    "cut off",
    "verdict, mean s",
    "longest s",
    "share of the duration",
    "mean exposure, %",
];

const INTRODUCTION: &str = "\
# Roll-outs in virtual time

Plays of one service with 6 to 19 established endpoints and as many of the candidate, a quarter to half of whose slots
are in use, four entry nodes for each endpoint, four data centres, and orders of 12 to 25 seconds. Which request goes to which
version, what gates admit, the comparison and the phases are the product's code; queues, delays and failures are simulated
([design](../design/rollouts.md)). The seeds go through all candidates and troubles in turn. *Exposed too much*: plays of a
bad version in which more than a tenth of the requests and 50 more reached it before the deadline. *Reached too late*: plays
in which a request reached it later than 5 s after its 50th bad response. *Cut off*: plays in which requests were left at
established endpoints when `completed` was written.
";

/// Runs the command: plays all seeds with each way to compare, and writes the page.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let report = Report::new(&options.docs)?;
    let seeds = match options.scale {
        Scale::Quick => QUICK_SEEDS,
        Scale::Full => FULL_SEEDS,
    };
    let mut tables = Vec::new();
    for kind in JudgeKind::ALL {
        let (by_candidate, by_trouble) = play_all(kind, seeds);
        let table = |title, rows: Vec<Vec<String>>| Table {
            title,
            command: format!("rollout {}", options.scale.flag()),
            columns: COLUMNS.to_vec(),
            rows,
        };
        let candidates = by_candidate
            .iter()
            .map(|(key, totals)| totals.row(key.name()));
        tables.push(table(kind.title(), candidates.collect()));
        if kind == JudgeKind::CumulativeSum {
            let troubles = by_trouble
                .iter()
                .map(|(key, totals)| totals.row(key.name()));
            tables.push(table("Cumulative sums, by trouble", troubles.collect()));
        }
    }
    for table in &tables {
        println!("\n{}\n\n{}", table.title, table.markdown());
    }
    report.write_page("rollouts", INTRODUCTION, &tables)?;
    for (file, axes, series) in course_series() {
        report.write_plot(file, axes, &series)?;
    }
    Ok(())
}

type Grouped<K> = BTreeMap<K, Totals>;

/// Plays the scenarios of all seeds; returns the totals by candidate and by trouble.
fn play_all(kind: JudgeKind, seeds: u64) -> (Grouped<Candidate>, Grouped<Trouble>) {
    let mut by_candidate = Grouped::new();
    let mut by_trouble = Grouped::new();
    let progress = ProgressBar::new(seeds);
    for seed in 0..seeds {
        let scenario = Scenario::of_seed(seed);
        let outcome = play(scenario, kind);
        let totals: &mut Totals = by_candidate.entry(scenario.candidate).or_default();
        totals.add(&scenario, &outcome);
        let totals: &mut Totals = by_trouble.entry(scenario.trouble).or_default();
        totals.add(&scenario, &outcome);
        progress.inc(1);
    }
    progress.finish_and_clear();
    (by_candidate, by_trouble)
}

/// The course of one roll-out of a good version and of one that fails.
fn course_series() -> Vec<(&'static str, Axes, Vec<Series>)> {
    let plots = [
        (
            Candidate::Good,
            "rollouts-good.svg",
            "Roll-out of a good version",
        ),
        (
            Candidate::Failing,
            "rollouts-bad.svg",
            "Roll-out of a version that fails",
        ),
    ];
    let plots = plots.map(|(candidate, file, title)| {
        let scenario = Scenario {
            candidate,
            trouble: Trouble::Calm,
            ..Scenario::of_seed(0)
        };
        let course = play(scenario, JudgeKind::CumulativeSum).course;
        let series = |name: &str, value: fn(&world::CoursePoint) -> f64| Series {
            name: name.to_owned(),
            points: course.iter().map(|p| (p.after_order_s, value(p))).collect(),
        };
        let axes = Axes {
            title,
            x: "seconds after the order",
            y: "share",
        };
        let lines = vec![
            series("requests to the candidate", |p| p.candidate_share),
            series("its bad responses", |p| p.bad_share),
            series("evidence against it", |p| p.suspicion),
        ];
        (file, axes, lines)
    });
    plots.into()
}
