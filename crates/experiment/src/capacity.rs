//! Updates the tables of `docs/CAPACITY.md`, which extrapolate measured costs to the design size.
//!
//! The text of the page is written by hand. Each run of `experiment all` replaces the tables between
//! its markers.

mod events;
mod roles;

use std::path::Path;

use snafu::ResultExt;

use crate::convergence;
use crate::error::{Error, ReadSnafu, Result};
use crate::fit::{Estimate, LinearFit};
use crate::options::Scale;
use crate::report::{Table, format_number, write_file};
use crate::requests;
use crate::requirements;
use crate::slopes::HolderCost;

const PAGE: &str = "CAPACITY.md";
/// Smallest mesh that the fitted lines include. In a smaller one a data centre has fewer members
/// than a node may have gossip neighbours, so costs also grow with the number of neighbours. Larger
/// meshes do not show that growth.
const MIN_FITTED_NODES: usize = 32;

/// Results of all benchmarks of one run of `all`.
#[derive(Debug)]
pub(crate) struct Results {
    pub(crate) convergence: Vec<convergence::SizeResults>,
    pub(crate) requests: Vec<requests::DeploymentResults>,
    pub(crate) holder: Vec<HolderCost>,
}

/// A cost as a linear function of the number of nodes, and the limit for it at the design size.
struct Slope {
    label: &'static str,
    fit: LinearFit,
    limit: Option<f64>,
}

impl Slope {
    fn at_design_size(&self) -> Estimate {
        self.fit.estimate_at(requirements::NODES)
    }
}

/// All costs that are extrapolated over the number of nodes. A full restart kills all nodes at once
/// and starts them again ("herd restart" in the page).
pub(crate) struct Slopes {
    node_idle_bytes_per_s: Slope,
    node_idle_core_percent: Slope,
    anonymous_mb: Slope,
    resident_mb: Slope,
    enforced_after_p99_ms: Slope,
    idle_link_bytes_per_s: Slope,
    link_bytes_per_change: Slope,
    node_bytes_per_change: Slope,
    processor_ms_per_change: Slope,
    node_bytes_per_announcement: Slope,
    idle_reads_per_s: Slope,
    idle_writes_per_s: Slope,
    reads_per_change: Slope,
    writes_per_change: Slope,
    full_restart_p99_ms: Slope,
    full_restart_node_bytes: Slope,
    full_restart_link_bytes: Slope,
    full_restart_reads: Slope,
    full_restart_writes: Slope,
    full_restart_peak_reads: Slope,
    full_restart_peak_writes: Slope,
}

impl Slopes {
    fn from_sizes(measured: &[convergence::SizeResults]) -> Result<Self> {
        let fitted = fitted_sizes(measured);
        let slope = |label, limit, cost: &dyn Fn(&convergence::SizeResults) -> f64| {
            let points: Vec<(f64, f64)> = fitted
                .iter()
                .map(|size| (size.nodes as f64, cost(size)))
                .collect();
            let fit = LinearFit::least_squares(&points).ok_or_else(|| Error::Unexpected {
                text: format!("fewer than two sizes to fit a line to: {label}"),
            })?;
            Ok::<_, Error>(Slope { label, fit, limit })
        };
        Ok(Self {
            node_idle_bytes_per_s: slope(
                "control bytes/s of a node, idle",
                Some(requirements::CONTROL_BYTES_PER_S_MAX),
                &|size| size.idle_interval.node_bytes_per_s(size.nodes),
            )?,
            node_idle_core_percent: slope(
                "processor of a node, idle, % of a core",
                Some(requirements::CORE_PERCENT_MAX),
                &|size| size.idle_interval.node_core_percent(size.nodes),
            )?,
            anonymous_mb: slope(
                "memory of the largest node, its own, MB",
                Some(requirements::MEMORY_MAX_MB),
                &|size| size.anonymous_mb,
            )?,
            resident_mb: slope(
                "memory of the largest node, with the program file, MB",
                Some(requirements::MEMORY_MAX_MB),
                &|size| size.resident_mb,
            )?,
            enforced_after_p99_ms: slope(
                "acceptance to enforcing, p99 ms",
                Some(requirements::ENFORCED_AFTER_MAX_MS),
                &|size| size.enforced_after_ms.value_at_quantile(0.99) as f64,
            )?,
            idle_link_bytes_per_s: slope(
                "regional link, idle, bytes/s both ways",
                Some(2.0 * requirements::LINK_BYTES_PER_S),
                &|size| size.idle_interval.link_bytes / size.idle_interval.seconds,
            )?,
            link_bytes_per_change: slope("regional link, bytes per change", None, &|size| {
                size.link_bytes_per_change()
            })?,
            node_bytes_per_change: slope("bytes per node and change", None, &|size| {
                size.bytes_per_change() / size.nodes as f64
            })?,
            processor_ms_per_change: slope("processor ms per node and change", None, &|size| {
                size.processor_ms_per_change() / size.nodes as f64
            })?,
            node_bytes_per_announcement: slope("bytes per node and announcement", None, &|size| {
                size.bytes_per_announcement() / size.nodes as f64
            })?,
            idle_reads_per_s: slope(
                "platform reads/s, idle",
                Some(requirements::PLATFORM_READS_PER_S),
                &|size| size.idle_interval.platform_reads / size.idle_interval.seconds,
            )?,
            idle_writes_per_s: slope(
                "platform writes/s, idle",
                Some(requirements::PLATFORM_WRITES_PER_S),
                &|size| size.idle_interval.platform_writes / size.idle_interval.seconds,
            )?,
            reads_per_change: slope("platform reads per change", None, &|size| {
                size.reads_per_change()
            })?,
            writes_per_change: slope("platform writes per change", None, &|size| {
                size.writes_per_change()
            })?,
            full_restart_p99_ms: slope("herd restart: kill to enforcing, p99 ms", None, &|size| {
                size.full_restart_ms.value_at_quantile(0.99) as f64
            })?,
            full_restart_node_bytes: slope("herd restart: bytes per node", None, &|size| {
                size.full_restart_interval.between_nodes_bytes / size.nodes as f64
            })?,
            full_restart_link_bytes: slope("herd restart: regional link, bytes", None, &|size| {
                size.full_restart_interval.link_bytes
            })?,
            full_restart_reads: slope("herd restart: platform reads", None, &|size| {
                size.full_restart_interval.platform_reads
            })?,
            full_restart_writes: slope("herd restart: platform writes", None, &|size| {
                size.full_restart_interval.platform_writes
            })?,
            full_restart_peak_reads: slope(
                "herd restart: most platform reads in 1 s",
                Some(requirements::PLATFORM_READS_PER_S),
                &|size| size.full_restart_peaks.reads_per_s as f64,
            )?,
            full_restart_peak_writes: slope(
                "herd restart: most platform writes in 1 s",
                Some(requirements::PLATFORM_WRITES_PER_S),
                &|size| size.full_restart_peaks.writes_per_s as f64,
            )?,
        })
    }

    fn in_table_order(&self) -> [&Slope; 21] {
        [
            &self.node_idle_bytes_per_s,
            &self.node_idle_core_percent,
            &self.anonymous_mb,
            &self.resident_mb,
            &self.enforced_after_p99_ms,
            &self.idle_link_bytes_per_s,
            &self.link_bytes_per_change,
            &self.node_bytes_per_change,
            &self.processor_ms_per_change,
            &self.node_bytes_per_announcement,
            &self.idle_reads_per_s,
            &self.idle_writes_per_s,
            &self.reads_per_change,
            &self.writes_per_change,
            &self.full_restart_p99_ms,
            &self.full_restart_node_bytes,
            &self.full_restart_link_bytes,
            &self.full_restart_reads,
            &self.full_restart_writes,
            &self.full_restart_peak_reads,
            &self.full_restart_peak_writes,
        ]
    }
}

/// The sizes that lines are fitted to: those from [`MIN_FITTED_NODES`] on, or all if fewer than two
/// are that large. `measured` is in ascending order of nodes.
fn fitted_sizes(measured: &[convergence::SizeResults]) -> &[convergence::SizeResults] {
    let first_large = measured.partition_point(|size| size.nodes < MIN_FITTED_NODES);
    let large = &measured[first_large..];
    if large.len() < 2 { measured } else { large }
}

/// Replaces all tables of `CAPACITY.md` below `docs`.
pub(crate) fn update_page(docs: &Path, results: &Results, scale: Scale) -> Result {
    let path = docs.join(PAGE);
    let text = std::fs::read_to_string(&path).context(ReadSnafu {
        path: path.display().to_string(),
    })?;
    let slopes = Slopes::from_sizes(&results.convergence)?;
    let text = replace_between_markers(&text, "sizes", &sizes_text(results, scale))?;
    let text = replace_between_markers(&text, "slopes", &slope_table(&slopes).markdown())?;
    let text = replace_between_markers(&text, "roles", &roles::table(&slopes, results).markdown())?;
    let text = replace_between_markers(&text, "events", &events::table(&slopes).markdown())?;
    write_file(&path, &text)
}

/// Replaces the text between the begin and end markers of `name` with `new`, and keeps the rest.
fn replace_between_markers(text: &str, name: &str, new: &str) -> Result<String> {
    let begin = format!("<!-- begin: {name} -->\n");
    let end = format!("<!-- end: {name} -->");
    let missing = || Error::Unexpected {
        text: format!("{PAGE} has no markers `begin: {name}` and `end: {name}`"),
    };
    let (before, rest) = text.split_once(&begin).ok_or_else(missing)?;
    let (_, after) = rest.split_once(&end).ok_or_else(missing)?;
    Ok(format!("{before}{begin}{new}{end}{after}"))
}

fn sizes_text(results: &Results, scale: Scale) -> String {
    let nodes: Vec<String> = results
        .convergence
        .iter()
        .map(|size| size.nodes.to_string())
        .collect();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let fitted = fitted_sizes(&results.convergence);
    format!(
        "Measured by `cargo run --release -p experiment -- all {}` with {} nodes, on a machine of\n\
         {cores} cores that all of them share. The lines go through the sizes from {} on.\n",
        scale.flag(),
        nodes.join(", "),
        fitted.first().map_or(0, |size| size.nodes)
    )
}

fn slope_table(slopes: &Slopes) -> Table {
    let row = |slope: &Slope| {
        let estimate = slope.at_design_size();
        let limit = slope.limit.map_or("-".to_owned(), format_number);
        let share = slope.limit.map_or("-".to_owned(), |limit| {
            format!("{} %", format_number(100.0 * estimate.value / limit))
        });
        vec![
            slope.label.to_owned(),
            format_number(slope.fit.intercept),
            format!("{:+.4}", slope.fit.slope),
            format_number(slope.fit.residual_std),
            format!(
                "{} ± {}",
                format_number(estimate.value),
                format_number(estimate.std_error)
            ),
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
        rows: slopes.in_table_order().map(row).into(),
    }
}

#[cfg(test)]
mod tests;
