//! Data types that all other modules share: names, versions, the configuration, members and
//! verdicts.
//!
//! [`team_file`] parses and checks a team file and returns a [`configuration::TeamRecord`]. The
//! records of all teams form a [`configuration::Configuration`], which a node compiles into a
//! [`routing::RouteTable`]. This module does no I/O.

pub mod backend_statement;
pub mod configuration;
pub mod dialect;
pub mod difference;
pub mod mechanism;
pub mod member;
pub mod names;
pub mod organisation;
pub mod request_digest;
pub mod rollout;
pub mod routing;
pub mod status;
pub mod team_file;
pub mod token;
pub mod verdict;
pub mod version;
