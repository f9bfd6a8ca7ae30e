//! Conversion of roll-outs and of the tallies of gates.

use std::collections::BTreeMap;

use snafu::{OptionExt, ensure};

use super::{
    FieldSnafu, Result, address_to_wire, node_from_wire, number_from_wire, readable, wire,
};
use crate::core::names::{ResourceName, ServiceName, SoftwareVersion, is_name};
use crate::core::rollout::{
    OrderEntry, RolloutBook, RolloutOrder, RolloutPhase, RolloutRecord, RolloutState, StateEntry,
};
use crate::decide::rollout::tally::BUCKET_COUNT;
use crate::decide::rollout::{NodeTally, ResourceTally};
use crate::util::unreadable::Entry;

pub(crate) fn book_to_wire(book: &RolloutBook) -> wire::RolloutBook {
    let record_to_wire = |(service, record): (&ServiceName, &RolloutRecord)| {
        let order = record.order.order.as_ref();
        let state = record.state.as_ref();
        wire::RolloutRecord {
            service: service.to_string(),
            order_revision: record.order.revision,
            order: order.map(|order| wire::RolloutOrder {
                to: order.to.to_string(),
                duration_ms: order.duration_ms,
            }),
            state_revision: record.state_revision(),
            state: state.map(|entry| state_to_wire(&entry.state)),
        }
    };
    wire::RolloutBook {
        records: book.iter().map(record_to_wire).collect(),
    }
}

pub(crate) fn book_from_wire(book: &wire::RolloutBook) -> RolloutBook {
    let mut decoded = RolloutBook::default();
    for (service, record) in readable(Entry::RolloutState, &book.records, record_from_wire) {
        decoded.merge_record(&service, &record);
    }
    decoded
}

fn record_from_wire(record: &wire::RolloutRecord) -> Result<(ServiceName, RolloutRecord)> {
    let service = service_from_wire(&record.service)?;
    let order = record.order.as_ref().map(|order| {
        Ok(RolloutOrder {
            to: SoftwareVersion::new(&order.to),
            duration_ms: number_from_wire(order.duration_ms, "duration_ms")?,
        })
    });
    let state = record.state.as_ref().map(state_from_wire).transpose()?;
    let record = RolloutRecord {
        order: OrderEntry {
            revision: record.order_revision,
            order: order.transpose()?,
        },
        state: state.map(|state| StateEntry {
            revision: record.state_revision,
            state,
        }),
    };
    Ok((service, record))
}

fn service_from_wire(name: &str) -> Result<ServiceName> {
    let valid = is_name(name).then(|| ServiceName::new(name));
    valid.context(FieldSnafu { field: "service" })
}

fn state_to_wire(state: &RolloutState) -> wire::RolloutState {
    let phase = match state.phase {
        RolloutPhase::Trial => wire::RolloutPhase::Trial,
        RolloutPhase::Shift => wire::RolloutPhase::Shift,
        RolloutPhase::Settle => wire::RolloutPhase::Settle,
        RolloutPhase::Completed => wire::RolloutPhase::Completed,
        RolloutPhase::RolledBack => wire::RolloutPhase::RolledBack,
    };
    wire::RolloutState {
        order_revision: state.order_revision,
        to: state.to.to_string(),
        phase: phase.into(),
        share_percent: state.share_percent,
        ordered_store_ms: state.ordered_store_ms,
        decided_store_ms: state.decided_store_ms,
        established: state.established.as_ref().map(ToString::to_string),
        barred: state.barred.iter().map(ToString::to_string).collect(),
        reason: state.reason.clone(),
        decided_by: address_to_wire(state.decided_by.0),
    }
}

fn state_from_wire(state: &wire::RolloutState) -> Result<RolloutState> {
    let phase = match state.phase() {
        wire::RolloutPhase::Unspecified => return FieldSnafu { field: "phase" }.fail(),
        wire::RolloutPhase::Trial => RolloutPhase::Trial,
        wire::RolloutPhase::Shift => RolloutPhase::Shift,
        wire::RolloutPhase::Settle => RolloutPhase::Settle,
        wire::RolloutPhase::Completed => RolloutPhase::Completed,
        wire::RolloutPhase::RolledBack => RolloutPhase::RolledBack,
    };
    ensure!(
        state.share_percent <= 100,
        FieldSnafu {
            field: "share_percent"
        }
    );
    Ok(RolloutState {
        order_revision: state.order_revision,
        to: SoftwareVersion::new(&state.to),
        phase,
        share_percent: state.share_percent,
        ordered_store_ms: number_from_wire(state.ordered_store_ms, "ordered_store_ms")?,
        decided_store_ms: number_from_wire(state.decided_store_ms, "decided_store_ms")?,
        established: state.established.as_ref().map(SoftwareVersion::new),
        barred: state.barred.iter().map(SoftwareVersion::new).collect(),
        reason: state.reason.clone(),
        decided_by: node_from_wire(&state.decided_by)?,
    })
}

pub(crate) fn tally_to_wire(tally: &NodeTally) -> wire::NodeTally {
    let resource_to_wire = |(resource, counts): (&ResourceName, &ResourceTally)| {
        let used = counts.times.iter().rposition(|count| *count > 0);
        wire::ResourceTally {
            resource: resource.to_string(),
            answers: counts.answers,
            failures: counts.failures,
            times: counts.times[..used.map_or(0, |last| last + 1)].to_vec(),
        }
    };
    wire::NodeTally {
        node: address_to_wire(tally.node.0),
        incarnation: tally.incarnation_us,
        sequence: tally.sequence,
        service: tally.service.to_string(),
        software_version: tally.version.as_ref().map(ToString::to_string),
        order_revision: tally.order_revision,
        slots: tally.slots,
        in_flight: tally.in_flight,
        closed: tally.closed,
        cold: tally.cold,
        busy_ms: tally.busy_ms,
        resources: tally.resources.iter().map(resource_to_wire).collect(),
    }
}

pub(crate) fn tallies_from_wire(tallies: &[wire::NodeTally]) -> Vec<NodeTally> {
    readable(Entry::Tally, tallies, tally_from_wire)
}

fn tally_from_wire(tally: &wire::NodeTally) -> Result<NodeTally> {
    let mut resources = BTreeMap::new();
    for counts in &tally.resources {
        let mut times = [0; BUCKET_COUNT];
        let used = times.get_mut(..counts.times.len());
        used.context(FieldSnafu { field: "times" })?
            .copy_from_slice(&counts.times);
        let resource = ResourceName::new(&counts.resource);
        let counts = ResourceTally {
            answers: number_from_wire(counts.answers, "answers")?,
            failures: number_from_wire(counts.failures, "failures")?,
            times,
        };
        resources.insert(resource, counts);
    }
    Ok(NodeTally {
        node: node_from_wire(&tally.node)?,
        incarnation_us: number_from_wire(tally.incarnation, "incarnation")?,
        sequence: number_from_wire(tally.sequence, "sequence")?,
        service: service_from_wire(&tally.service)?,
        version: tally.software_version.as_ref().map(SoftwareVersion::new),
        order_revision: tally.order_revision,
        slots: tally.slots,
        in_flight: tally.in_flight,
        closed: tally.closed,
        cold: tally.cold,
        busy_ms: number_from_wire(tally.busy_ms, "busy_ms")?,
        resources,
    })
}
