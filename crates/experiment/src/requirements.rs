//! The size to design for, and the users' limits at that size.

/// Endpoints, each with its node.
pub(crate) const NODES: f64 = 520.0;
/// Calls a second over the whole mesh; each passes one entry and one gate.
pub(crate) const CALLS_PER_S: f64 = 56_000.0;
pub(crate) const CHANGES_PER_DAY: f64 = 270.0;
pub(crate) const RESTARTS_PER_DAY: f64 = 95.0;
pub(crate) const DATA_CENTRES: f64 = 6.0;
/// VMs of a rack; the letter gives no number, this one is a guess on the high side.
pub(crate) const NODES_PER_RACK: f64 = 20.0;

/// Share of a core that a node may spend for control, in percent.
pub(crate) const CORE_PERCENT_MAX: f64 = 3.6;
pub(crate) const MEMORY_MAX_MB: f64 = 32.0;
pub(crate) const CONTROL_BYTES_PER_S_MAX: f64 = 2_000.0;
/// Added to a call for 99 in 100.
pub(crate) const ADDED_LATENCY_MAX_MS: f64 = 0.99;
/// From acceptance to in force everywhere.
pub(crate) const ENFORCED_AFTER_MAX_MS: f64 = 15_000.0;
pub(crate) const PLATFORM_READS_PER_S: f64 = 2_000.0;
pub(crate) const PLATFORM_WRITES_PER_S: f64 = 400.0;
/// The regional link each way.
pub(crate) const LINK_BYTES_PER_S: f64 = 30e6 / 8.0;

pub(crate) const SECONDS_PER_DAY: f64 = 86_400.0;
