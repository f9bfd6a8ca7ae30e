//! The page of the convergence measurement: tables and plots.

use hdrhistogram::Histogram;

use super::{Measured, Sizes, histogram};
use crate::baseline::POLL;
use crate::error::Result;
use crate::fleet::SERVICES;
use crate::options::Scale;
use crate::report::{Axes, Report, Series, Table, figure};

/// Writes page, rows and plots.
pub(crate) fn write(report: &Report, sizes: &Sizes, scale: Scale) -> Result {
    let measured = sizes.measured.as_slice();
    let command = format!(
        "cargo run --release -p experiment -- convergence {}",
        scale.flag()
    );
    let tables = [
        spread_table(measured, &command),
        cost_table(measured, &command),
        herd_table(measured, &command),
    ];
    let mut text = introduction();
    if !sizes.failed.is_empty() {
        text.push_str(&format!("\n**Failed:** {}\n", sizes.failures()));
    }
    report.page("convergence", &text, &tables)?;
    plot_spread(report, measured)?;
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
        POLL.as_secs()
    )
}

fn quantiles(histogram: &Histogram<u64>) -> [String; 3] {
    [
        histogram.value_at_quantile(0.5).to_string(),
        histogram.value_at_quantile(0.99).to_string(),
        histogram.max().to_string(),
    ]
}

fn spread_table(measured: &[Measured], command: &str) -> Table {
    let row = |m: &Measured| {
        let [p50, p99, max] = quantiles(&m.spread_ms);
        let [base_p50, base_p99, base_max] = quantiles(&histogram(&m.baseline.enforced_after));
        let link = m.link_bytes_per_change();
        vec![
            m.nodes.to_string(),
            m.publications.to_string(),
            p50,
            p99,
            max,
            base_p50,
            base_p99,
            base_max,
            figure(m.delta_bytes),
            figure(link),
            figure(link / m.delta_bytes),
            figure(m.bytes_per_change() / m.nodes as f64),
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

fn cost_table(measured: &[Measured], command: &str) -> Table {
    let row = |m: &Measured| {
        vec![
            m.nodes.to_string(),
            figure(m.idle.node_bytes_per_s(m.nodes)),
            figure(m.baseline.bytes_per_s / m.nodes as f64),
            figure(m.idle.link_bytes / m.idle.seconds),
            figure(m.baseline.link_bytes_per_s),
            figure(m.idle.platform_reads / m.idle.seconds),
            figure(m.baseline.reads_per_s),
            figure(m.idle.node_core_percent(m.nodes)),
            figure(m.processor_ms_per_change() / m.nodes as f64),
            figure(m.bytes_per_event() / m.nodes as f64),
            figure(m.anonymous_mb),
            figure(m.resident_mb),
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

fn herd_table(measured: &[Measured], command: &str) -> Table {
    let row = |m: &Measured| {
        let [p50, p99, max] = quantiles(&m.herd_ms);
        vec![
            m.nodes.to_string(),
            p50,
            p99,
            max,
            figure(m.herd.between_nodes_bytes / m.nodes as f64),
            figure(m.herd.link_bytes),
            figure(m.herd.platform_reads),
            figure(m.herd.platform_writes),
            m.herd_peaks.reads_per_s.to_string(),
            m.herd_peaks.writes_per_s.to_string(),
            figure(m.herd.platform_refused),
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

fn line(name: &str, measured: &[Measured], y: impl Fn(&Measured) -> f64) -> Series {
    Series {
        name: name.to_owned(),
        points: measured.iter().map(|m| (m.nodes as f64, y(m))).collect(),
    }
}

fn plot_spread(report: &Report, measured: &[Measured]) -> Result {
    let axes = Axes {
        title: "From acceptance to enforcing",
        x: "nodes",
        y: "ms",
    };
    let lines = [
        line("p50", measured, |m| {
            m.spread_ms.value_at_quantile(0.5) as f64
        }),
        line("p99", measured, |m| {
            m.spread_ms.value_at_quantile(0.99) as f64
        }),
        line("polling p50", measured, |m| {
            histogram(&m.baseline.enforced_after).value_at_quantile(0.5) as f64
        }),
        line("polling p99", measured, |m| {
            histogram(&m.baseline.enforced_after).value_at_quantile(0.99) as f64
        }),
    ];
    report.plot("convergence-time.svg", axes, &lines)
}

fn plot_bytes(report: &Report, measured: &[Measured]) -> Result {
    let axes = Axes {
        title: "Idle control traffic",
        x: "nodes",
        y: "bytes/s per node",
    };
    let lines = [
        line("dragonflywall", measured, |m| {
            m.idle.node_bytes_per_s(m.nodes)
        }),
        line("polling", measured, |m| {
            m.baseline.bytes_per_s / m.nodes as f64
        }),
        line("users' limit", measured, |_| 2_000.0),
    ];
    report.plot("convergence-bytes.svg", axes, &lines)
}
