//! Conversion between generated messages and plain data.

use std::net::{IpAddr, SocketAddr};
use std::num::NonZeroU32;
use std::sync::Arc;

use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::generated as wire;
use crate::core::member::{
    BackendState, CapacityClass, Liveness, Member, NodeId, Place, StartDigest,
};
use crate::core::names::{DataCentreName, RegionName, ServiceName, SoftwareVersion, is_name};
use crate::core::version::{Digest, InvalidDigest, Stamp, Version};
use crate::distribution::{Content, DeltaStep, Offer};
use crate::membership::{Gossip, Report, Summary};
use crate::util::unreadable::{self, Entry};

pub(crate) mod crashes;
pub(crate) mod rollouts;
#[cfg(test)]
mod tests;
pub(crate) mod usage;

/// Largest start time of a process, in microseconds, and largest number of a state. Far above all that occur, and so far below
/// the largest number that counting on from it does not overflow.
const NUMBER_MAX: u64 = 1 << 62;

/// Most nodes that a message may count.
const NODES_MAX: u32 = 1 << 20;

/// Result of a conversion.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a message, or an entry of a list in it, violates the protocol. Such a message or entry is not used.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("`{text}` is not an address"))]
    Address {
        text: String,
        source: std::net::AddrParseError,
    },
    #[snafu(display("a stamp's digest is damaged"))]
    Stamp { source: InvalidDigest },
    #[snafu(display("the field `{field}` is missing or out of range"))]
    Field { field: &'static str },
}

/// Converts the entries of a list. Those that cannot be read are left out.
fn readable<'a, T: 'a, U>(
    what: Entry,
    entries: impl IntoIterator<Item = &'a T>,
    convert: impl Fn(&'a T) -> Result<U>,
) -> Vec<U> {
    let entries = entries.into_iter();
    entries
        .filter_map(|entry| unreadable::readable(what, "", convert(entry)))
        .collect()
}

fn number_from_wire(number: u64, field: &'static str) -> Result<u64> {
    (number <= NUMBER_MAX)
        .then_some(number)
        .context(FieldSnafu { field })
}

fn node_count_from_wire(nodes: u32) -> Result<u32> {
    (nodes <= NODES_MAX)
        .then_some(nodes)
        .context(FieldSnafu { field: "nodes" })
}

pub(crate) fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse().context(AddressSnafu { text })
}

pub(crate) fn stamp_to_wire(stamp: Stamp) -> wire::Enforced {
    wire::Enforced {
        version: stamp.version.0,
        digest: stamp.digest.as_bytes().to_vec(),
    }
}

pub(crate) fn stamp_from_wire(stamp: Option<&wire::Enforced>) -> Result<Stamp> {
    let stamp = stamp.context(FieldSnafu { field: "enforced" })?;
    Ok(Stamp {
        version: Version(stamp.version),
        digest: Digest::try_from(stamp.digest.as_slice()).context(StampSnafu)?,
    })
}

/// Names used in one message. Each is sent once, and referred to by its index.
#[derive(Default)]
struct NameTable {
    places: Vec<Place>,
    services: Vec<ServiceName>,
    software_versions: Vec<SoftwareVersion>,
}

/// Names of a received message. A service whose name is invalid has no name.
struct ReceivedNames {
    places: Vec<Place>,
    services: Vec<Option<ServiceName>>,
    software_versions: Vec<SoftwareVersion>,
}

impl NameTable {
    fn place_index(&mut self, place: &Place) -> u32 {
        index_in(&mut self.places, place)
    }

    /// Index of a service, counted from 1; 0 means no service.
    fn service_index(&mut self, service: Option<&ServiceName>) -> u32 {
        service.map_or(0, |service| index_in(&mut self.services, service) + 1)
    }

    /// Index of a software version, counted from 1; 0 means that none was announced.
    fn software_version_index(&mut self, version: Option<&SoftwareVersion>) -> u32 {
        version.map_or(0, |version| {
            index_in(&mut self.software_versions, version) + 1
        })
    }
}

fn index_in<T: Clone + PartialEq>(list: &mut Vec<T>, item: &T) -> u32 {
    let position = list.iter().position(|known| known == item);
    let position = position.unwrap_or_else(|| {
        list.push(item.clone());
        list.len() - 1
    });
    u32::try_from(position).expect("a message has fewer than 2^32 names")
}

pub(crate) fn gossip_to_wire(gossip: &Gossip) -> wire::Gossip {
    let mut names = NameTable::default();
    let updates = gossip.updates.iter();
    let updates = updates.map(|member| member_to_wire(member, &mut names));
    let updates = updates.collect();
    let summaries = gossip.summaries.iter();
    let summaries = summaries.map(|summary| summary_to_wire(summary, &mut names));
    let summaries = summaries.collect();
    let place_to_wire = |place: &Place| wire::Place {
        region: place.region.to_string(),
        data_centre: place.data_centre.to_string(),
    };
    wire::Gossip {
        from: address_to_wire(gossip.from.0),
        view_hash: gossip.view_hash,
        version: gossip.version.0,
        announce: gossip.announce.map(stamp_to_wire),
        places: names.places.iter().map(place_to_wire).collect(),
        services: names.services.iter().map(ToString::to_string).collect(),
        software_versions: names
            .software_versions
            .iter()
            .map(ToString::to_string)
            .collect(),
        updates,
        reports: gossip.reports.iter().map(report_to_wire).collect(),
        summaries,
        rollouts_digest: gossip.rollouts_digest,
        rollouts: gossip.rollouts.as_deref().map(rollouts::book_to_wire),
        want_all: gossip.want_all,
    }
}

pub(crate) fn gossip_from_wire(gossip: &wire::Gossip) -> Result<Gossip> {
    let place_from_wire = |place: &wire::Place| Place {
        region: RegionName::new(&place.region),
        data_centre: DataCentreName::new(&place.data_centre),
    };
    let service_from_wire = |name: &String| is_name(name).then(|| ServiceName::new(name));
    let names = ReceivedNames {
        places: gossip.places.iter().map(place_from_wire).collect(),
        services: gossip.services.iter().map(service_from_wire).collect(),
        software_versions: gossip
            .software_versions
            .iter()
            .map(SoftwareVersion::new)
            .collect(),
    };
    let announce = gossip.announce.as_ref();
    let announce = readable(Entry::Stamp, announce, |stamp| stamp_from_wire(Some(stamp)));
    let rollouts = gossip.rollouts.as_ref().map(rollouts::book_from_wire);
    Ok(Gossip {
        from: node_from_wire(&gossip.from)?,
        view_hash: gossip.view_hash,
        version: Version(gossip.version),
        announce: announce.first().copied(),
        updates: readable(Entry::Member, &gossip.updates, |member| {
            member_from_wire(member, &names)
        }),
        reports: readable(Entry::VersionReport, &gossip.reports, report_from_wire),
        summaries: readable(Entry::VersionSummary, &gossip.summaries, |summary| {
            summary_from_wire(summary, &names)
        }),
        rollouts_digest: gossip.rollouts_digest,
        rollouts: rollouts.map(Arc::new),
        want_all: gossip.want_all,
    })
}

/// IP address and port in network byte order, as 6 or 18 bytes.
pub(super) fn address_to_wire(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn address_from_wire(bytes: &[u8]) -> Result<SocketAddr> {
    let (ip, port) = bytes
        .split_last_chunk::<2>()
        .context(FieldSnafu { field: "address" })?;
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
        16 => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
        _ => None,
    };
    let ip = ip.filter(|ip| !ip.is_unspecified() && !ip.is_multicast());
    let ip = ip.context(FieldSnafu { field: "address" })?;
    let port = u16::from_be_bytes(*port);
    ensure!(port > 0, FieldSnafu { field: "address" });
    Ok(SocketAddr::new(ip, port))
}

pub(super) fn node_from_wire(bytes: &[u8]) -> Result<NodeId> {
    address_from_wire(bytes).map(NodeId)
}

/// The name with an index that counts from 1; `None` for 0.
fn name_at<T: Clone>(names: &[T], index: u32, field: &'static str) -> Result<Option<T>> {
    let Some(position) = index.checked_sub(1) else {
        return Ok(None);
    };
    let name = names.get(position as usize);
    name.cloned().context(FieldSnafu { field }).map(Some)
}

fn place_at(names: &ReceivedNames, position: u32) -> Result<Place> {
    let place = names.places.get(position as usize);
    place.cloned().context(FieldSnafu { field: "place" })
}

fn report_to_wire(report: &Report) -> wire::Report {
    wire::Report {
        node: address_to_wire(report.node.0),
        incarnation: report.incarnation_us,
        version: report.version.0,
    }
}

fn report_from_wire(report: &wire::Report) -> Result<Report> {
    Ok(Report {
        node: node_from_wire(&report.node)?,
        incarnation_us: number_from_wire(report.incarnation, "incarnation")?,
        version: Version(report.version),
    })
}

fn summary_to_wire(summary: &Summary, names: &mut NameTable) -> wire::Summary {
    let count = |(version, nodes): (&Version, &u32)| wire::VersionCount {
        version: version.0,
        nodes: *nodes,
    };
    wire::Summary {
        place: names.place_index(&summary.place),
        nodes: summary.nodes,
        versions: summary.versions.iter().map(count).collect(),
        sequence: summary.sequence,
    }
}

fn summary_from_wire(summary: &wire::Summary, names: &ReceivedNames) -> Result<Summary> {
    let count = |count: &wire::VersionCount| {
        Ok((Version(count.version), node_count_from_wire(count.nodes)?))
    };
    Ok(Summary {
        place: place_at(names, summary.place)?,
        nodes: node_count_from_wire(summary.nodes)?,
        versions: summary.versions.iter().map(count).collect::<Result<_>>()?,
        sequence: number_from_wire(summary.sequence, "sequence")?,
    })
}

fn member_to_wire(member: &Member, names: &mut NameTable) -> wire::Member {
    let external = if member.external == member.node.0 {
        Vec::new()
    } else {
        address_to_wire(member.external)
    };
    wire::Member {
        node: address_to_wire(member.node.0),
        external,
        place: names.place_index(&member.place),
        incarnation: member.incarnation_us,
        sequence: member.sequence,
        liveness: liveness_to_wire(member.liveness).into(),
        service: names.service_index(member.service.as_ref()),
        backend: backend_to_wire(member.backend).into(),
        software_version: names.software_version_index(member.software_version.as_ref()),
        capacity: member.capacity.0.into(),
        backend_start: start_to_wire(member.backend_start),
    }
}

fn member_from_wire(member: &wire::Member, names: &ReceivedNames) -> Result<Member> {
    let node = node_from_wire(&member.node)?;
    let external = if member.external.is_empty() {
        node.0
    } else {
        address_from_wire(&member.external)?
    };
    let service = match name_at(&names.services, member.service, "service")? {
        Some(name) => Some(name.context(FieldSnafu { field: "service" })?),
        None => None,
    };
    let software_version = name_at(
        &names.software_versions,
        member.software_version,
        "software_version",
    )?;
    Ok(Member {
        node,
        external,
        place: place_at(names, member.place)?,
        incarnation_us: number_from_wire(member.incarnation, "incarnation")?,
        sequence: number_from_wire(member.sequence, "sequence")?,
        liveness: liveness_from_wire(member.liveness())?,
        service,
        backend: backend_from_wire(member.backend())?,
        software_version,
        backend_start: start_from_wire(member.backend_start),
        capacity: CapacityClass(u8::try_from(member.capacity).unwrap_or(u8::MAX)),
        enforced: Version::NONE,
    })
}

/// A missing start is 0.
pub(super) fn start_to_wire(start: Option<StartDigest>) -> u32 {
    start.map_or(0, |StartDigest(number)| number.get())
}

pub(super) fn start_from_wire(number: u32) -> Option<StartDigest> {
    NonZeroU32::new(number).map(StartDigest)
}

fn liveness_to_wire(liveness: Liveness) -> wire::Liveness {
    match liveness {
        Liveness::Alive => wire::Liveness::Alive,
        Liveness::Suspect => wire::Liveness::Suspect,
        Liveness::Dead => wire::Liveness::Dead,
        Liveness::Left => wire::Liveness::Left,
    }
}

fn liveness_from_wire(liveness: wire::Liveness) -> Result<Liveness> {
    match liveness {
        wire::Liveness::Unspecified => FieldSnafu { field: "liveness" }.fail(),
        wire::Liveness::Alive => Ok(Liveness::Alive),
        wire::Liveness::Suspect => Ok(Liveness::Suspect),
        wire::Liveness::Dead => Ok(Liveness::Dead),
        wire::Liveness::Left => Ok(Liveness::Left),
    }
}

fn backend_to_wire(state: BackendState) -> wire::BackendState {
    match state {
        BackendState::Serving => wire::BackendState::Serving,
        BackendState::Draining => wire::BackendState::Draining,
        BackendState::Gone => wire::BackendState::Gone,
    }
}

fn backend_from_wire(state: wire::BackendState) -> Result<BackendState> {
    match state {
        wire::BackendState::Unspecified => FieldSnafu { field: "backend" }.fail(),
        wire::BackendState::Serving => Ok(BackendState::Serving),
        wire::BackendState::Draining => Ok(BackendState::Draining),
        wire::BackendState::Gone => Ok(BackendState::Gone),
    }
}

pub(crate) fn offer_to_wire(offer: Option<Offer>) -> wire::FetchReply {
    let Some(offer) = offer else {
        return wire::FetchReply {
            reached: Some(stamp_to_wire(Stamp::NONE)),
            content: None,
            age_ms: 0,
        };
    };
    let content = match offer.content {
        Content::Delta(bytes) => wire::fetch_reply::Content::Delta(bytes),
        Content::Snapshot(bytes) => wire::fetch_reply::Content::Snapshot(bytes),
        Content::Chain(steps) => {
            let step_to_wire = |step: DeltaStep| wire::Step {
                reached: Some(stamp_to_wire(step.stamp)),
                delta: step.delta,
            };
            let steps = steps.into_iter().map(step_to_wire).collect();
            wire::fetch_reply::Content::Chain(wire::Chain { steps })
        }
    };
    wire::FetchReply {
        reached: Some(stamp_to_wire(offer.stamp)),
        content: Some(content),
        age_ms: u32::try_from(offer.age_ms).unwrap_or(u32::MAX),
    }
}

pub(crate) fn offer_from_wire(reply: wire::FetchReply) -> Result<Option<Offer>> {
    let stamp = stamp_from_wire(reply.reached.as_ref())?;
    let content = match reply.content {
        None => return Ok(None),
        Some(wire::fetch_reply::Content::Delta(bytes)) => Content::Delta(bytes),
        Some(wire::fetch_reply::Content::Snapshot(bytes)) => Content::Snapshot(bytes),
        Some(wire::fetch_reply::Content::Chain(chain)) => {
            let steps: Result<_> = chain.steps.into_iter().map(step_from_wire).collect();
            Content::Chain(steps?)
        }
    };
    Ok(Some(Offer {
        stamp,
        content,
        age_ms: u64::from(reply.age_ms),
    }))
}

fn step_from_wire(step: wire::Step) -> Result<DeltaStep> {
    Ok(DeltaStep {
        stamp: stamp_from_wire(step.reached.as_ref())?,
        delta: step.delta,
    })
}
