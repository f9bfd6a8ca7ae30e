//! Between generated messages and plain data.

use std::net::SocketAddr;

use snafu::{OptionExt, ResultExt, Snafu};

use super::generated as wire;
use crate::core::member::{BackendState, Liveness, Member, NodeId, Place};
use crate::core::names::{DataCentreName, RegionName, ServiceName, is_name};
use crate::core::version::{Digest, NotADigest, Stamp, Version};
use crate::distribution::Content;
use crate::membership::Gossip;

/// Result of this module.
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

/// A message that breaks the protocol; nothing of it is used.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    #[snafu(display("`{text}` is not an address"))]
    Address {
        text: String,
        source: std::net::AddrParseError,
    },
    #[snafu(display("a stamp's digest is damaged"))]
    Stamp { source: NotADigest },
    #[snafu(display("the field `{field}` is missing or out of range"))]
    Field { field: &'static str },
}

pub(crate) fn address(text: &str) -> Result<SocketAddr> {
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

pub(crate) fn gossip_to_wire(gossip: &Gossip) -> wire::Gossip {
    wire::Gossip {
        from: gossip.from.to_string(),
        view_hash: gossip.view_hash,
        enforced: Some(stamp_to_wire(gossip.enforced)),
        updates: gossip.updates.iter().map(member_to_wire).collect(),
        want_all: gossip.want_all,
    }
}

pub(crate) fn gossip_from_wire(gossip: &wire::Gossip) -> Result<Gossip> {
    let updates: Result<Vec<Member>> = gossip.updates.iter().map(member_from_wire).collect();
    Ok(Gossip {
        from: NodeId(address(&gossip.from)?),
        view_hash: gossip.view_hash,
        enforced: stamp_from_wire(gossip.enforced.as_ref())?,
        updates: updates?,
        want_all: gossip.want_all,
    })
}

fn member_to_wire(member: &Member) -> wire::Member {
    let external = if member.external == member.node.0 {
        String::new()
    } else {
        member.external.to_string()
    };
    wire::Member {
        node: member.node.to_string(),
        external,
        region: member.place.region.to_string(),
        data_centre: member.place.data_centre.to_string(),
        incarnation: member.incarnation_us,
        sequence: member.sequence,
        liveness: liveness_to_wire(member.liveness).into(),
        service: member
            .service
            .as_ref()
            .map_or_else(String::new, ToString::to_string),
        backend: backend_to_wire(member.backend).into(),
        enforced: Some(stamp_to_wire(member.enforced)),
    }
}

fn member_from_wire(member: &wire::Member) -> Result<Member> {
    let node = NodeId(address(&member.node)?);
    let external = if member.external.is_empty() {
        node.0
    } else {
        address(&member.external)?
    };
    let service = match member.service.as_str() {
        "" => None,
        name if is_name(name) => Some(ServiceName::new(name)),
        _ => return FieldSnafu { field: "service" }.fail(),
    };
    Ok(Member {
        node,
        external,
        place: Place {
            region: RegionName::new(&member.region),
            data_centre: DataCentreName::new(&member.data_centre),
        },
        incarnation_us: member.incarnation,
        sequence: member.sequence,
        liveness: liveness_from_wire(member.liveness())?,
        service,
        backend: backend_from_wire(member.backend())?,
        enforced: stamp_from_wire(member.enforced.as_ref())?,
    })
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

pub(crate) fn content_to_wire(content: Option<(Stamp, Content)>) -> wire::FetchReply {
    let Some((stamp, content)) = content else {
        return wire::FetchReply {
            reached: Some(stamp_to_wire(Stamp::NONE)),
            content: None,
        };
    };
    let content = match content {
        Content::Delta(bytes) => wire::fetch_reply::Content::Delta(bytes),
        Content::Snapshot(bytes) => wire::fetch_reply::Content::Snapshot(bytes),
    };
    wire::FetchReply {
        reached: Some(stamp_to_wire(stamp)),
        content: Some(content),
    }
}

pub(crate) fn content_from_wire(reply: wire::FetchReply) -> Result<Option<(Stamp, Content)>> {
    let stamp = stamp_from_wire(reply.reached.as_ref())?;
    let content = reply.content.map(|content| match content {
        wire::fetch_reply::Content::Delta(bytes) => Content::Delta(bytes),
        wire::fetch_reply::Content::Snapshot(bytes) => Content::Snapshot(bytes),
    });
    Ok(content.map(|content| (stamp, content)))
}
