//! `slopes`: measures the CPU time and memory of a node's state machines, inside this process.
//!
//! The other benchmarks run whole nodes, at sizes that fit on one machine. This one runs the code
//! that holds a node's configuration and its view of all members, without sockets and up to the
//! design size.

mod membership;

use std::ffi::OsString;
use std::hint::black_box;
use std::time::Instant;

use dragonflywall::core::configuration::{Configuration, Delta};
use dragonflywall::core::version::Version;
use dragonflywall::distribution::{Content, Holder};

use membership::MembershipCost;

use crate::error::{Error, Result};
use crate::observed_mesh::team_records;
use crate::options::{Options, Scale};
use crate::process_stats;
use crate::report::{Report, Table, format_number};

/// Copies that are in memory at the same time. Together they need far more than a page, which is the
/// unit in which the kernel counts memory.
const COPIES: usize = 64;
/// Repetitions over which times are averaged.
const REPEATS: u32 = 200;

/// Cost of the configuration that a node holds, for a given number of services.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HolderCost {
    pub(crate) services: usize,
    pub(crate) canonical_bytes: usize,
    pub(crate) snapshot_bytes: usize,
    pub(crate) delta_bytes: usize,
    /// Time to verify a snapshot, check that every service that it refers to exists, compile it and
    /// replace the current configuration.
    pub(crate) apply_snapshot_us: f64,
    /// The same for a delta that changes one team.
    pub(crate) apply_delta_us: f64,
    /// Anonymous memory of a holder with a snapshot and a delta applied.
    pub(crate) memory_kb: f64,
}

/// Runs the command: measures the state machines and writes the page.
pub(crate) async fn run(arguments: Vec<OsString>) -> Result {
    let options = Options::parse(arguments)?;
    let report = Report::new(&options.docs)?;
    let measured = measure(options.scale)?;
    write(&report, &measured, options.scale)
}

/// Costs of all state machines that this command measures.
#[derive(Debug)]
pub(crate) struct StateMachineCosts {
    pub(crate) holder: Vec<HolderCost>,
    membership: Vec<MembershipCost>,
}

/// Measures the configuration holder with 2 to 14 services, and the membership view with 65 to 520
/// members.
pub(crate) fn measure(scale: Scale) -> Result<StateMachineCosts> {
    let services: &[usize] = match scale {
        Scale::Quick => &[2, 14],
        Scale::Full => &[2, 4, 7, 10, 14],
    };
    let holder: Result<Vec<_>> = services
        .iter()
        .map(|services| measure_holder(*services))
        .collect();
    println!(
        "Measured the configuration holder at {} sizes",
        services.len()
    );
    Ok(StateMachineCosts {
        holder: holder?,
        membership: membership::measure(scale),
    })
}

fn configuration(services: usize, version: u64) -> Result<Configuration> {
    let mut configuration = Configuration {
        version: Version(version),
        ..Configuration::default()
    };
    for record in team_records(services, 2_000)? {
        configuration.teams.insert(record.team.clone(), record);
    }
    Ok(configuration)
}

fn measure_holder(services: usize) -> Result<HolderCost> {
    let first = configuration(services, 1)?;
    let mut second = configuration(services, 2)?;
    let changed = team_records(services, 1_234)?;
    second
        .teams
        .insert(changed[0].team.clone(), changed[0].clone());
    let delta = Delta::between(&first, &second).to_bytes(&first);
    let snapshot = first.to_snapshot();
    let (delta_bytes, snapshot_bytes) = (delta.len(), snapshot.len());
    let snapshot = Content::Snapshot(snapshot);
    let delta = Content::Delta(delta);

    let apply = |holder: &mut Holder, configuration: &Configuration, content: &Content| {
        let applied = holder.apply(configuration.stamp(), content);
        applied.map_err(|error| Error::Unexpected {
            text: error.to_string(),
        })
    };
    let mut snapshot_seconds = 0.0;
    let mut delta_seconds = 0.0;
    let stamps = [first.stamp(), second.stamp()];
    for _ in 0..REPEATS {
        let mut holder = Holder::default();
        let started = Instant::now();
        black_box(holder.apply(stamps[0], &snapshot).is_ok());
        snapshot_seconds += started.elapsed().as_secs_f64();
        let started = Instant::now();
        black_box(holder.apply(stamps[1], &delta).is_ok());
        delta_seconds += started.elapsed().as_secs_f64();
    }
    let before_kb = own_anonymous_kb();
    let mut holders = Vec::with_capacity(COPIES);
    for _ in 0..COPIES {
        let mut holder = Holder::default();
        apply(&mut holder, &first, &snapshot)?;
        apply(&mut holder, &second, &delta)?;
        holders.push(holder);
    }
    let memory_kb = (own_anonymous_kb() - before_kb).max(0.0) / COPIES as f64;
    // Leaks the copies on purpose: if they were freed, the next size would reuse their memory and
    // its growth would not be measured.
    std::mem::forget(holders);
    Ok(HolderCost {
        services,
        canonical_bytes: first.to_canonical().len(),
        snapshot_bytes,
        delta_bytes,
        apply_snapshot_us: 1e6 * snapshot_seconds / f64::from(REPEATS),
        apply_delta_us: 1e6 * delta_seconds / f64::from(REPEATS),
        memory_kb,
    })
}

pub(crate) fn own_anonymous_kb() -> f64 {
    process_stats::memory(std::process::id()).map_or(0.0, |memory| memory.anonymous_kb as f64)
}

const INTRODUCTION: &str = "# State machines by themselves\n\n\
    Measured inside one process, without sockets, at the sizes of the design.\n";

/// Writes `slopes.md` and its CSV files.
pub(crate) fn write(report: &Report, measured: &StateMachineCosts, scale: Scale) -> Result {
    let command = format!(
        "cargo run --release -p experiment -- slopes {}",
        scale.flag()
    );
    let tables = [
        holder_table(&measured.holder, &command),
        membership::table(&measured.membership, &command),
    ];
    report.write_page("slopes", INTRODUCTION, &tables)
}

fn holder_table(holder: &[HolderCost], command: &str) -> Table {
    let row = |cost: &HolderCost| {
        vec![
            cost.services.to_string(),
            cost.canonical_bytes.to_string(),
            cost.snapshot_bytes.to_string(),
            cost.delta_bytes.to_string(),
            format_number(cost.apply_snapshot_us),
            format_number(cost.apply_delta_us),
            format_number(cost.memory_kb),
        ]
    };
    Table {
        title: "Configuration held by a node",
        command: command.to_owned(),
        columns: vec![
            "services",
            "bytes uncompressed",
            "snapshot bytes",
            "delta bytes (one team)",
            "apply snapshot µs",
            "apply delta µs",
            "held KB (two versions' records and routes)",
        ],
        rows: holder.iter().map(row).collect(),
    }
}
