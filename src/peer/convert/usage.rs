//! Conversion of the requests of organisations that nodes report.

use snafu::ensure;

use super::{
    FieldSnafu, Result, address_to_wire, node_count_from_wire, node_from_wire, number_from_wire,
    readable, wire,
};
use crate::core::organisation::OrganisationId;
use crate::decide::quota::{
    EndedSums, Grant, Grants, ProcessId, Usage, UsageByOrganisation, UsageSums,
};
use crate::node::quota::UsageReport;
use crate::util::unreadable::Entry;

pub(crate) fn report_to_wire(report: &UsageReport) -> wire::UsageReport {
    wire::UsageReport {
        node: address_to_wire(report.process.node.0),
        incarnation: report.process.incarnation_us,
        uptime_ms: u32::try_from(report.uptime_ms).unwrap_or(u32::MAX),
        usage: Some(usage_to_wire(&report.usage)),
    }
}

pub(crate) fn report_from_wire(report: &wire::UsageReport) -> Result<UsageReport> {
    Ok(UsageReport {
        process: ProcessId {
            node: node_from_wire(&report.node)?,
            incarnation_us: number_from_wire(report.incarnation, "incarnation")?,
        },
        uptime_ms: u64::from(report.uptime_ms),
        usage: usage_from_wire(report.usage.as_ref())?,
    })
}

pub(crate) fn sums_to_wire(from: ProcessId, sums: &UsageSums) -> wire::UsageSums {
    wire::UsageSums {
        from: address_to_wire(from.node.0),
        incarnation: from.incarnation_us,
        nodes: sums.nodes,
        unknown_per_mille: sums.unknown_per_mille,
        usage: Some(usage_to_wire(&sums.usage)),
        ended: sums.ended.iter().map(ended_to_wire).collect(),
    }
}

fn ended_to_wire(ended: &EndedSums) -> wire::EndedSums {
    wire::EndedSums {
        from: address_to_wire(ended.process.node.0),
        incarnation: ended.process.incarnation_us,
        age_ms: u32::try_from(ended.age_ms).unwrap_or(u32::MAX),
        nodes: ended.nodes,
        usage: Some(usage_to_wire(&ended.usage)),
    }
}

fn ended_from_wire(ended: &wire::EndedSums) -> Result<EndedSums> {
    Ok(EndedSums {
        process: ProcessId {
            node: node_from_wire(&ended.from)?,
            incarnation_us: number_from_wire(ended.incarnation, "incarnation")?,
        },
        age_ms: u64::from(ended.age_ms),
        nodes: node_count_from_wire(ended.nodes)?,
        usage: usage_from_wire(ended.usage.as_ref())?,
    })
}

/// The sums, and the process of the lead that sent them.
pub(crate) fn sums_from_wire(sums: &wire::UsageSums) -> Result<(ProcessId, UsageSums)> {
    let from = ProcessId {
        node: node_from_wire(&sums.from)?,
        incarnation_us: number_from_wire(sums.incarnation, "incarnation")?,
    };
    let sums = UsageSums {
        nodes: node_count_from_wire(sums.nodes)?,
        unknown_per_mille: sums.unknown_per_mille.min(sums.nodes.saturating_mul(1_000)),
        usage: usage_from_wire(sums.usage.as_ref())?,
        ended: readable(Entry::Usage, &sums.ended, ended_from_wire),
    };
    Ok((from, sums))
}

pub(crate) fn grants_to_wire(grants: &Grants) -> wire::UsageGrants {
    let mut wire = wire::UsageGrants {
        nodes: grants.nodes,
        known_per_mille: grants.known_per_mille,
        ..wire::UsageGrants::default()
    };
    for (organisation, grant) in &grants.by_organisation {
        wire.organisations.push(organisation.0);
        wire.requests.push(grant.requests);
        wire.mesh_admitted.push(grant.mesh_admitted);
    }
    wire
}

pub(crate) fn grants_from_wire(grants: &wire::UsageGrants) -> Result<Grants> {
    let len = grants.organisations.len();
    let lists_match = grants.requests.len() == len && grants.mesh_admitted.len() == len;
    ensure!(lists_match, FieldSnafu { field: "grants" });
    let counts = grants.requests.iter().zip(&grants.mesh_admitted);
    let entries = grants.organisations.iter().zip(counts);
    let entries = entries.map(|(organisation, (requests, mesh_admitted))| {
        let grant = Grant {
            requests: *requests,
            mesh_admitted: *mesh_admitted,
        };
        (OrganisationId(*organisation), grant)
    });
    Ok(Grants {
        nodes: grants.nodes,
        known_per_mille: grants.known_per_mille,
        by_organisation: entries.collect(),
    })
}

fn usage_to_wire(usage: &UsageByOrganisation) -> wire::Usage {
    let mut wire = wire::Usage::default();
    for (organisation, usage) in usage {
        wire.organisations.push(organisation.0);
        wire.admitted.push(usage.admitted);
        wire.asked.push(usage.asked);
    }
    wire
}

fn usage_from_wire(usage: Option<&wire::Usage>) -> Result<UsageByOrganisation> {
    let Some(usage) = usage else {
        return Ok(UsageByOrganisation::new());
    };
    let len = usage.organisations.len();
    let lists_match = usage.admitted.len() == len && usage.asked.len() == len;
    ensure!(lists_match, FieldSnafu { field: "usage" });
    let counts = usage.admitted.iter().zip(&usage.asked);
    let entries = usage.organisations.iter().zip(counts);
    let entries = entries.map(|(organisation, (admitted, asked))| {
        let usage = Usage {
            admitted: *admitted,
            asked: *asked,
        };
        (OrganisationId(*organisation), usage)
    });
    Ok(entries.collect())
}
