//! Roll-outs of a service to another software version.
//!
//! - [`policy`]: which versions get requests in which phase.
//! - [`exposure`]: the share of requests that one entry node sends to a candidate.
//! - [`focus`]: the endpoints of a candidate that are in use.
//! - [`tally`]: what the gates of a service measure of their backend servers.
//! - [`comparison`]: whether a candidate answers worse than the established versions.
//! - [`evidence`]: what a lead knows from the reports of the gates.
//! - [`plan`]: the next phase of a roll-out.
//!
//! An entry node keeps the exposure of a candidate within its limit by itself, so the limit holds
//! while nodes do not reach each other. See `docs/design/rollouts.md`.

pub mod comparison;
pub mod evidence;
pub mod exposure;
pub mod focus;
pub mod plan;
pub mod policy;
pub mod tally;

pub use self::comparison::{Comparison, Condemnation};
pub use self::evidence::{Evidence, ReportTime};
pub use self::exposure::ExposureCredit;
pub use self::policy::{Stage, VersionPolicy, VersionRole};
pub use self::tally::{NodeTally, ResourceTally, Tallies};
