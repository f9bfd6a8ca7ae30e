//! Page, CSV rows and plots of the convergence benchmark.

use hdrhistogram::Histogram;

use super::{MeasuredSizes, SizeResults, time_histogram};
use crate::baseline::POLL_INTERVAL;
use crate::error::Result;
use crate::observed_mesh::SERVICES;
use crate::options::Scale;
use crate::report::{Axes, Report, Series, Table, format_number};

/// Writes `convergence.md`, its CSV files and both plots. The page lists the sizes that failed.
pub(crate) fn write(report: &Report, sizes: &MeasuredSizes, scale: Scale) -> Result {
    let measured = sizes.measured.as_slice();
    let command = format!(
        "cargo run --release -p experiment -- convergence {}",
        scale.flag()
    );
    let tables = [
        enforced_after_table(measured, &command),
        cost_table(measured, &command),
        full_restart_table(measured, &command),
    ];
    let mut text = introduction();
    if !sizes.failed.is_empty() {
        text.push_str(&format!("\n**Failed:** {}\n", sizes.failure_text()));
    }
    report.write_page("convergence", &text, &tables)?;
    plot_enforced_after(report, measured)?;
    plot_bytes(report, measured)
}

fn introduction() -> String {
    format!(
        "# Convergence and control traffic\n\n\
         Node processes in 2 regions with 2 data centres each, 1 ms apart inside a region and 20 ms\n\
         between them, joined by 30 Mbit/s each way. The configuration has {} services; each\n\
         publication changes one team's record. Times run from the return of the commit to the\n\
         node's own time stamp of enforcing. Bytes are those of TCP payload, both ways, counted on\n\
         every connection between nodes and to the platform. The baseline's proxies each read the\n\
         whole compressed configuration from the store every {} s.\n\n\
         ![time to enforce](convergence-time.svg)\n\n\
         ![control bytes](convergence-bytes.svg)\n",
        SERVICES.len(),
        POLL_INTERVAL.as_secs()
    )
}

fn quantiles(histogram: &Histogram<u64>) -> [String; 3] {
    [
        histogram.value_at_quantile(0.5).to_string(),
        histogram.value_at_quantile(0.99).to_string(),
        histogram.max().to_string(),
    ]
}

fn enforced_after_table(measured: &[SizeResults], command: &str) -> Table {
    let row = |size: &SizeResults| {
        let [p50, p99, max] = quantiles(&size.enforced_after_ms);
        let [polling_p50, polling_p99, polling_max] =
            quantiles(&time_histogram(&size.baseline.enforced_after));
        let link = size.link_bytes_per_change();
        vec![
            size.nodes.to_string(),
            size.publication_count.to_string(),
            p50,
            p99,
            max,
            polling_p50,
            polling_p99,
            polling_max,
            format_number(size.delta_bytes),
            format_number(link),
            format_number(link / size.delta_bytes),
            format_number(size.bytes_per_change() / size.nodes as f64),
        ]
    };
    Table {
        title: "From acceptance to enforcing, and bytes per change",
        command: command.to_owned(),
        columns: vec![
            "nodes",
            "changes",
            "p50 ms",
            "p99 ms",
            "max ms",
            "polling p50 ms",
            "polling p99 ms",
            "polling max ms",
            "delta bytes",
            "link bytes per change",
            "link bytes in deltas",
            "bytes per node and change",
        ],
        rows: measured.iter().map(row).collect(),
    }
}

fn cost_table(measured: &[SizeResults], command: &str) -> Table {
    let row = |size: &SizeResults| {
        vec![
            size.nodes.to_string(),
            format_number(size.idle_interval.node_bytes_per_s(size.nodes)),
            format_number(size.baseline.bytes_per_s / size.nodes as f64),
            format_number(size.idle_interval.link_bytes / size.idle_interval.seconds),
            format_number(size.baseline.link_bytes_per_s),
            format_number(size.idle_interval.platform_reads / size.idle_interval.seconds),
            format_number(size.baseline.reads_per_s),
            format_number(size.idle_interval.node_core_percent(size.nodes)),
            format_number(size.processor_ms_per_change() / size.nodes as f64),
            format_number(size.bytes_per_announcement() / size.nodes as f64),
            format_number(size.anonymous_mb),
            format_number(size.resident_mb),
        ]
    };
    Table {
        title: "Idle cost, endpoint churn and memory",
        command: command.to_owned(),
        columns: vec![
            "nodes",
            "idle bytes/s per node",
            "polling bytes/s per node",
            "idle link bytes/s",
            "polling link bytes/s",
            "idle platform reads/s",
            "polling platform reads/s",
            "idle % of a core per node",
            "processor ms per node and change",
            "bytes per node and announcement",
            "largest anonymous MB",
            "largest resident MB",
        ],
        rows: measured.iter().map(row).collect(),
    }
}

fn full_restart_table(measured: &[SizeResults], command: &str) -> Table {
    let row = |size: &SizeResults| {
        let [p50, p99, max] = quantiles(&size.full_restart_ms);
        vec![
            size.nodes.to_string(),
            p50,
            p99,
            max,
            format_number(size.full_restart_interval.between_nodes_bytes / size.nodes as f64),
            format_number(size.full_restart_interval.link_bytes),
            format_number(size.full_restart_interval.platform_reads),
            format_number(size.full_restart_interval.platform_writes),
            size.full_restart_peaks.reads_per_s.to_string(),
            size.full_restart_peaks.writes_per_s.to_string(),
            format_number(size.full_restart_interval.platform_refused),
        ]
    };
    Table {
        title: "All nodes killed at once and started again",
        command: command.to_owned(),
        columns: vec![
            "nodes",
            "p50 ms",
            "p99 ms",
            "max ms",
            "bytes per node",
            "link bytes",
            "platform reads",
            "platform writes",
            "most reads in 1 s",
            "most writes in 1 s",
            "refused by the platform",
        ],
        rows: measured.iter().map(row).collect(),
    }
}

fn series_over_nodes(
    name: &str,
    measured: &[SizeResults],
    y: impl Fn(&SizeResults) -> f64,
) -> Series {
    Series {
        name: name.to_owned(),
        points: measured
            .iter()
            .map(|size| (size.nodes as f64, y(size)))
            .collect(),
    }
}

fn plot_enforced_after(report: &Report, measured: &[SizeResults]) -> Result {
    let axes = Axes {
        title: "From acceptance to enforcing",
        x: "nodes",
        y: "ms",
    };
    let series = [
        series_over_nodes("p50", measured, |size| {
            size.enforced_after_ms.value_at_quantile(0.5) as f64
        }),
        series_over_nodes("p99", measured, |size| {
            size.enforced_after_ms.value_at_quantile(0.99) as f64
        }),
        series_over_nodes("polling p50", measured, |size| {
            time_histogram(&size.baseline.enforced_after).value_at_quantile(0.5) as f64
        }),
        series_over_nodes("polling p99", measured, |size| {
            time_histogram(&size.baseline.enforced_after).value_at_quantile(0.99) as f64
        }),
    ];
    report.write_plot("convergence-time.svg", axes, &series)
}

fn plot_bytes(report: &Report, measured: &[SizeResults]) -> Result {
    let axes = Axes {
        title: "Idle control traffic",
        x: "nodes",
        y: "bytes/s per node",
    };
    let series = [
        series_over_nodes("dragonflywall", measured, |size| {
            size.idle_interval.node_bytes_per_s(size.nodes)
        }),
        series_over_nodes("polling", measured, |size| {
            size.baseline.bytes_per_s / size.nodes as f64
        }),
        series_over_nodes("users' limit", measured, |_| 2_000.0),
    ];
    report.write_plot("convergence-bytes.svg", axes, &series)
}
