//! Plain data shared by every part: names, versions, the configuration, members and verdicts.
//!
//! A team file ([`team_file`]) is parsed and checked into a [`configuration::TeamRecord`]; all
//! records of one version make a [`configuration::Configuration`]; a node compiles that into a
//! [`routing::RouteTable`]. Nothing in here does I/O.

pub mod configuration;
pub mod dialect;
pub mod difference;
pub mod mechanism;
pub mod member;
pub mod names;
pub mod routing;
pub mod status;
pub mod team_file;
pub mod token;
pub mod verdict;
pub mod version;
