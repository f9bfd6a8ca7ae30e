//! What an entry node knows of the statements of backend servers behind other nodes.
//!
//! A gate that has just started knows nothing of what its backend server has stated. So an entry node keeps what gates
//! have reported to it, and sends it along with its requests.

use std::collections::HashMap;

use crate::core::backend_statement::ReportedStatements;
use crate::core::member::NodeId;

/// Number of nodes whose backend servers' statements are kept; the oldest are removed.
const NODES_MAX: usize = 2_048;

#[derive(Clone, Debug)]
struct Known {
    reported: ReportedStatements,
    /// Number of the report, by which the oldest one is found.
    number: u64,
}

/// Statements of backend servers, by node.
#[derive(Clone, Debug, Default)]
pub struct KnownStatements {
    by_node: HashMap<NodeId, Known>,
    reports: u64,
}

impl KnownStatements {
    /// What is known of the backend server behind `node`.
    pub fn get(&self, node: NodeId) -> Option<&ReportedStatements> {
        self.by_node.get(&node).map(|known| &known.reported)
    }

    /// Records what a gate reports.
    pub fn record(&mut self, node: NodeId, reported: ReportedStatements) {
        if self.by_node.len() >= NODES_MAX && !self.by_node.contains_key(&node) {
            self.remove_oldest();
        }
        self.reports += 1;
        let number = self.reports;
        self.by_node.insert(node, Known { reported, number });
    }

    /// Records that a gate reports nothing with a response of its backend server to a request that carried `sent`.
    ///
    /// What it was sent no longer holds. If it was sent nothing, the response may be older than what is known.
    pub fn record_none(&mut self, node: NodeId, sent: Option<&ReportedStatements>) {
        if sent.is_some() && self.get(node) == sent {
            self.by_node.remove(&node);
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.by_node.iter().min_by_key(|(_, known)| known.number);
        if let Some(node) = oldest.map(|(node, _)| *node) {
            self.by_node.remove(&node);
        }
    }
}
