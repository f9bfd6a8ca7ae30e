//! Conversion of reports of requests under which backend servers have ended.

use snafu::{OptionExt, ensure};

use super::{FieldSnafu, Result, address_to_wire, node_from_wire, readable, wire};
use crate::core::member::NodeId;
use crate::core::request_digest::{BodyDigest, HeadDigest, RequestDigest};
use crate::decide::crashes::{CrashId, CrashRecord, CrashUpdate, ReportedCrash};
use crate::util::unreadable::Entry;

pub(crate) fn report_to_wire(updates: &[CrashUpdate], further: &[NodeId]) -> wire::CrashReport {
    wire::CrashReport {
        requests: updates.iter().map(update_to_wire).collect(),
        further: nodes_to_wire(further),
    }
}

pub(crate) fn report_from_wire(report: &wire::CrashReport) -> Vec<CrashUpdate> {
    readable(Entry::Crash, &report.requests, update_from_wire)
}

pub(crate) fn nodes_to_wire(nodes: &[NodeId]) -> Vec<Vec<u8>> {
    nodes.iter().map(|node| address_to_wire(node.0)).collect()
}

pub(crate) fn nodes_from_wire(nodes: &[Vec<u8>]) -> Vec<NodeId> {
    readable(Entry::Member, nodes, |node| node_from_wire(node))
}

fn update_to_wire(update: &CrashUpdate) -> wire::CrashedRequest {
    let CrashRecord { crashes, cleared } = &update.record;
    let reporters = crashes.iter().map(|crash| crash.reported_by);
    wire::CrashedRequest {
        head: update.request.head.0.to_be_bytes().to_vec(),
        body: update.request.body.0.to_be_bytes().to_vec(),
        crashes: crashes.iter().map(|crash| crash.id.0).collect(),
        reporters: reporters.map(|node| address_to_wire(node.0)).collect(),
        cleared: cleared.iter().map(|id| id.0).collect(),
    }
}

fn update_from_wire(request: &wire::CrashedRequest) -> Result<CrashUpdate> {
    ensure!(
        request.crashes.len() == request.reporters.len(),
        FieldSnafu { field: "reporters" }
    );
    let crashes = request.crashes.iter().zip(&request.reporters);
    let crashes: Result<Vec<ReportedCrash>> = crashes
        .map(|(id, reporter)| {
            Ok(ReportedCrash {
                id: CrashId(*id),
                reported_by: node_from_wire(reporter)?,
            })
        })
        .collect();
    Ok(CrashUpdate {
        request: RequestDigest {
            head: HeadDigest(digest_from_wire(&request.head)?),
            body: BodyDigest(digest_from_wire(&request.body)?),
        },
        record: CrashRecord {
            crashes: crashes?,
            cleared: request.cleared.iter().copied().map(CrashId).collect(),
        },
        to_collector: false,
    })
}

fn digest_from_wire(bytes: &[u8]) -> Result<u128> {
    let bytes = bytes.try_into().ok();
    let bytes = bytes.context(FieldSnafu { field: "digest" })?;
    Ok(u128::from_be_bytes(bytes))
}
