//! The numbers of `docs/CAPACITY.md`, worked out from measured slopes.
//!
//! The page's prose is written by hand; the tables between its markers are replaced by each run
//! of `experiment all`.

mod events;
mod roles;

use std::path::Path;

use snafu::ResultExt;

use crate::convergence;
use crate::design;
use crate::error::{Error, ReadSnafu, Result};
use crate::fit::{Fit, Reading};
use crate::options::Scale;
use crate::report::{Table, figure, write_file};
use crate::requests;
use crate::slopes::HolderCost;

const PAGE: &str = "CAPACITY.md";
/// Below this a data centre of the measured mesh has fewer members than a node may have
/// neighbours, so costs grow for a reason that ends there.
const FIT_FROM_NODES: usize = 32;

/// Everything that one run of `all` measured.
#[derive(Debug)]
pub(crate) struct Results {
    pub(crate) convergence: Vec<convergence::Measured>,
    pub(crate) requests: Vec<requests::Measured>,
    pub(crate) holder: Vec<HolderCost>,
}

/// One cost against the number of nodes.
struct Slope {
    what: &'static str,
    fit: Fit,
    limit: Option<f64>,
}

impl Slope {
    fn at_design(&self) -> Reading {
        self.fit.at(design::NODES)
    }
}

/// The slopes over the number of nodes.
pub(crate) struct Slopes {
    idle_bytes_per_s: Slope,
    idle_core_percent: Slope,
    anonymous_mb: Slope,
    resident_mb: Slope,
    spread_p99_ms: Slope,
    idle_link_bytes_per_s: Slope,
    link_bytes_per_change: Slope,
    node_bytes_per_change: Slope,
    processor_ms_per_change: Slope,
    node_bytes_per_announcement: Slope,
    idle_reads_per_s: Slope,
    idle_writes_per_s: Slope,
    reads_per_change: Slope,
    writes_per_change: Slope,
    herd_p99_ms: Slope,
    herd_node_bytes: Slope,
    herd_link_bytes: Slope,
    herd_reads: Slope,
    herd_writes: Slope,
    herd_peak_reads: Slope,
    herd_peak_writes: Slope,
}

impl Slopes {
    fn of(measured: &[convergence::Measured]) -> Result<Self> {
        let fitted = fitted_sizes(measured);
        let slope = |what, limit, cost: &dyn Fn(&convergence::Measured) -> f64| {
            let points: Vec<(f64, f64)> =
                fitted.iter().map(|m| (m.nodes as f64, cost(m))).collect();
            let fit = Fit::of(&points).ok_or_else(|| Error::Unexpected {
                text: format!("too few sizes for the slope of: {what}"),
            })?;
            Ok::<_, Error>(Slope { what, fit, limit })
        };
        Ok(Self {
            idle_bytes_per_s: slope(
                "control bytes/s of a node, idle",
                Some(design::CONTROL_BYTES_PER_S_MAX),
                &|m| m.idle.node_bytes_per_s(m.nodes),
            )?,
            idle_core_percent: slope(
                "processor of a node, idle, % of a core",
                Some(design::CORE_PERCENT_MAX),
                &|m| m.idle.node_core_percent(m.nodes),
            )?,
            anonymous_mb: slope(
                "memory of the largest node, its own, MB",
                Some(design::MEMORY_MAX_MB),
                &|m| m.anonymous_mb,
            )?,
            resident_mb: slope(
                "memory of the largest node, with the program file, MB",
                Some(design::MEMORY_MAX_MB),
                &|m| m.resident_mb,
            )?,
            spread_p99_ms: slope(
                "acceptance to enforcing, p99 ms",
                Some(design::IN_FORCE_MAX_MS),
                &|m| m.spread_ms.value_at_quantile(0.99) as f64,
            )?,
            idle_link_bytes_per_s: slope(
                "regional link, idle, bytes/s both ways",
                Some(2.0 * design::LINK_BYTES_PER_S),
                &|m| m.idle.link_bytes / m.idle.seconds,
            )?,
            link_bytes_per_change: slope("regional link, bytes per change", None, &|m| {
                m.link_bytes_per_change()
            })?,
            node_bytes_per_change: slope("bytes per node and change", None, &|m| {
                m.bytes_per_change() / m.nodes as f64
            })?,
            processor_ms_per_change: slope("processor ms per node and change", None, &|m| {
                m.processor_ms_per_change() / m.nodes as f64
            })?,
            node_bytes_per_announcement: slope("bytes per node and announcement", None, &|m| {
                m.bytes_per_event() / m.nodes as f64
            })?,
            idle_reads_per_s: slope(
                "platform reads/s, idle",
                Some(design::PLATFORM_READS_PER_S),
                &|m| m.idle.platform_reads / m.idle.seconds,
            )?,
            idle_writes_per_s: slope(
                "platform writes/s, idle",
                Some(design::PLATFORM_WRITES_PER_S),
                &|m| m.idle.platform_writes / m.idle.seconds,
            )?,
            reads_per_change: slope("platform reads per change", None, &|m| m.reads_per_change())?,
            writes_per_change: slope("platform writes per change", None, &|m| {
                m.writes_per_change()
            })?,
            herd_p99_ms: slope("herd restart: kill to enforcing, p99 ms", None, &|m| {
                m.herd_ms.value_at_quantile(0.99) as f64
            })?,
            herd_node_bytes: slope("herd restart: bytes per node", None, &|m| {
                m.herd.between_nodes_bytes / m.nodes as f64
            })?,
            herd_link_bytes: slope("herd restart: regional link, bytes", None, &|m| {
                m.herd.link_bytes
            })?,
            herd_reads: slope("herd restart: platform reads", None, &|m| {
                m.herd.platform_reads
            })?,
            herd_writes: slope("herd restart: platform writes", None, &|m| {
                m.herd.platform_writes
            })?,
            herd_peak_reads: slope(
                "herd restart: most platform reads in 1 s",
                Some(design::PLATFORM_READS_PER_S),
                &|m| m.herd_peaks.reads_per_s as f64,
            )?,
            herd_peak_writes: slope(
                "herd restart: most platform writes in 1 s",
                Some(design::PLATFORM_WRITES_PER_S),
                &|m| m.herd_peaks.writes_per_s as f64,
            )?,
        })
    }

    fn all(&self) -> [&Slope; 21] {
        [
            &self.idle_bytes_per_s,
            &self.idle_core_percent,
            &self.anonymous_mb,
            &self.resident_mb,
            &self.spread_p99_ms,
            &self.idle_link_bytes_per_s,
            &self.link_bytes_per_change,
            &self.node_bytes_per_change,
            &self.processor_ms_per_change,
            &self.node_bytes_per_announcement,
            &self.idle_reads_per_s,
            &self.idle_writes_per_s,
            &self.reads_per_change,
            &self.writes_per_change,
            &self.herd_p99_ms,
            &self.herd_node_bytes,
            &self.herd_link_bytes,
            &self.herd_reads,
            &self.herd_writes,
            &self.herd_peak_reads,
            &self.herd_peak_writes,
        ]
    }
}

/// The sizes that lines are laid through; all of them where too few are large.
fn fitted_sizes(measured: &[convergence::Measured]) -> &[convergence::Measured] {
    let first_large = measured.partition_point(|m| m.nodes < FIT_FROM_NODES);
    let large = &measured[first_large..];
    if large.len() < 2 { measured } else { large }
}

/// Replaces the tables of the page.
pub(crate) fn write(docs: &Path, results: &Results, scale: Scale) -> Result {
    let path = docs.join(PAGE);
    let text = std::fs::read_to_string(&path).context(ReadSnafu {
        path: path.display().to_string(),
    })?;
    let slopes = Slopes::of(&results.convergence)?;
    let text = replace(&text, "sizes", &sizes(results, scale))?;
    let text = replace(&text, "slopes", &slope_table(&slopes).markdown())?;
    let text = replace(&text, "roles", &roles::table(&slopes, results).markdown())?;
    let text = replace(&text, "events", &events::table(&slopes).markdown())?;
    write_file(&path, &text)
}

/// Puts `new` between the markers named `name`.
fn replace(text: &str, name: &str, new: &str) -> Result<String> {
    let begin = format!("<!-- begin: {name} -->\n");
    let end = format!("<!-- end: {name} -->");
    let missing = || Error::Unexpected {
        text: format!("{PAGE} has no markers `begin: {name}` and `end: {name}`"),
    };
    let (before, rest) = text.split_once(&begin).ok_or_else(missing)?;
    let (_, after) = rest.split_once(&end).ok_or_else(missing)?;
    Ok(format!("{before}{begin}{new}{end}{after}"))
}

fn sizes(results: &Results, scale: Scale) -> String {
    let nodes: Vec<String> = results
        .convergence
        .iter()
        .map(|m| m.nodes.to_string())
        .collect();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let fitted = fitted_sizes(&results.convergence);
    format!(
        "Measured by `cargo run --release -p experiment -- all {}` with {} nodes, on a machine of\n\
         {cores} cores that all of them share. The lines go through the sizes from {} on.\n",
        scale.flag(),
        nodes.join(", "),
        fitted.first().map_or(0, |m| m.nodes)
    )
}

fn slope_table(slopes: &Slopes) -> Table {
    let row = |slope: &Slope| {
        let reading = slope.at_design();
        let limit = slope.limit.map_or("-".to_owned(), figure);
        let share = slope.limit.map_or("-".to_owned(), |limit| {
            format!("{} %", figure(100.0 * reading.value / limit))
        });
        vec![
            slope.what.to_owned(),
            figure(slope.fit.base),
            format!("{:+.4}", slope.fit.slope),
            figure(slope.fit.spread),
            format!("{} ± {}", figure(reading.value), figure(reading.error)),
            limit,
            share,
        ]
    };
    Table {
        title: "Slopes",
        command: String::new(),
        columns: vec![
            "cost",
            "base",
            "per node",
            "spread",
            "at 520 nodes",
            "limit",
            "share of the limit",
        ],
        rows: slopes.all().map(row).into(),
    }
}

#[cfg(test)]
mod tests;
