//! The mesh size that the system is designed for, and the limits that it must keep at that size.

/// Endpoints. Each has a node of its own on the same VM.
pub(crate) const NODES: f64 = 520.0;
/// Calls a second in the whole mesh. Each passes an entry node, which receives it from the caller,
/// and a gate node, which admits it at the backend server.
pub(crate) const CALLS_PER_S: f64 = 56_000.0;
pub(crate) const CHANGES_PER_DAY: f64 = 270.0;
pub(crate) const RESTARTS_PER_DAY: f64 = 95.0;
pub(crate) const DATA_CENTRES: f64 = 6.0;
/// VMs in a rack. The requirements state no number; this is an estimate on the high side.
pub(crate) const NODES_PER_RACK: f64 = 20.0;

/// Share of a core that a node may use for control work, such as gossip and configuration
/// updates, in percent.
pub(crate) const CORE_PERCENT_MAX: f64 = 3.6;
pub(crate) const MEMORY_MAX_MB: f64 = 32.0;
pub(crate) const CONTROL_BYTES_PER_S_MAX: f64 = 2_000.0;
/// Latency that the mesh may add to a call, for 99 of 100 calls.
pub(crate) const ADDED_LATENCY_MAX_MS: f64 = 0.99;
/// Time from the commit of a version until every node enforces it.
pub(crate) const ENFORCED_AFTER_MAX_MS: f64 = 15_000.0;
pub(crate) const PLATFORM_READS_PER_S: f64 = 2_000.0;
pub(crate) const PLATFORM_WRITES_PER_S: f64 = 400.0;
/// Capacity of the link between the regions in each direction: 30 Mbit/s.
pub(crate) const LINK_BYTES_PER_S: f64 = 30e6 / 8.0;

pub(crate) const SECONDS_PER_DAY: f64 = 86_400.0;
