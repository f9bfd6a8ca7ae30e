//! Specification of how nodes withhold a request that ends each backend server that runs it.
//!
//! Clients send the request to any node. A node that sends it on has an attempt running until a backend server ends, and
//! then tells other nodes. Reports can be late and arrive in any order, and with faults they are lost, or a node
//! starts anew with nothing remembered. The product's own [`CrashBook`] decides whether a node sends the request on, and whom
//! it tells.
//!
//! The specification leaves out time (nothing is forgotten), answers (there are none), nested calls and gates.

use dragonflywall::core::member::NodeId;
use dragonflywall::core::request_digest::{BodyDigest, HeadDigest, RequestDigest};
use dragonflywall::decide::crashes::{
    CRASHES_KEPT, CRASHES_MAX, CrashBook, CrashId, CrashRecord, CrashSet, ReportedCrash,
};

use crate::checker::Specification;

/// Number of nodes to which clients send the request, at most.
pub const NODES_MAX: usize = 3;

/// Who keeps the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Nobody: nothing is remembered once a request is answered.
    NoMemory,
    /// Each node for itself.
    OwnMemory,
    /// All nodes are told, and each one that knows of fewer than three ends may send the request.
    AnyNodeRisksTheLast,
    /// The product's.
    Product,
}

/// When reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Before anything else happens.
    Prompt,
    /// At any time, in any order.
    Late,
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Property {
    /// No attempt begins after three backend servers have ended.
    NoneSentAfterThreeEnds,
    /// Three backend servers end at most.
    ThreeEndAtMost,
}

impl Property {
    /// Text of the property in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneSentAfterThreeEnds => "no attempt begins after three backend servers ended",
            Self::ThreeEndAtMost => "three backend servers end at most",
        }
    }
}

/// Limits that keep the number of states finite.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of nodes to which clients send the request, at most [`NODES_MAX`].
    pub nodes: usize,
    /// Number of attempts that run at the same time.
    pub copies: u8,
    /// Number of attempts in all.
    pub attempts: u8,
    /// When reports arrive.
    pub reports: Reports,
    /// Number of reports that are lost and nodes that start anew.
    pub faults: u8,
}

/// State of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    /// Known crashes, each with the node that reported it.
    crashes: Vec<(u64, u8)>,
    /// Running attempts that the book counts, and others.
    counted: u8,
    uncounted: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    to: u8,
    crashes: Vec<(u64, u8)>,
}

/// State of all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct State {
    nodes: Vec<Node>,
    messages: Vec<Message>,
    attempts: u8,
    ends: u8,
    faults: u8,
    sent_after_three_ends: bool,
}

/// Label of a transition.
#[derive(Clone, Debug)]
pub enum Action {
    /// A client sends the request to a node, which sends it on.
    Send(usize),
    /// The backend server of one of a node's attempts ends.
    End(usize),
    /// A report arrives.
    Deliver(u8),
    /// A report is lost.
    Lose(u8),
    /// A node starts anew; the attempts that it had are cancelled.
    Restart(usize),
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct CrashSpec {
    bounds: Bounds,
    rule: Rule,
    property: Property,
}

const REQUEST: RequestDigest = RequestDigest {
    head: HeadDigest(1),
    body: BodyDigest::EMPTY,
};

/// Index of the node that collects the reports.
const COLLECTOR: u8 = 0;

fn node_id(index: u8) -> NodeId {
    NodeId(([127, 0, 0, 1], u16::from(index) + 1).into())
}

fn index_of(node: NodeId) -> u8 {
    u8::try_from(node.0.port() - 1).expect("few nodes")
}

fn to_record(crashes: &[(u64, u8)]) -> CrashRecord {
    let reported = |(id, reporter): &(u64, u8)| ReportedCrash {
        id: CrashId(*id),
        reported_by: node_id(*reporter),
    };
    CrashRecord {
        crashes: crashes.iter().map(reported).collect(),
        cleared: Vec::new(),
    }
}

fn from_record(record: &CrashRecord) -> Vec<(u64, u8)> {
    let crashes = record.crashes.iter();
    let mut crashes: Vec<(u64, u8)> = crashes
        .map(|crash| (crash.id.0, index_of(crash.reported_by)))
        .collect();
    crashes.sort_unstable();
    crashes
}

impl CrashSpec {
    /// Creates the specification of one rule and property.
    pub fn new(bounds: Bounds, rule: Rule, property: Property) -> Self {
        Self {
            bounds,
            rule,
            property,
        }
    }

    fn book(&self, state: &State, index: usize) -> CrashBook {
        let number = u8::try_from(index).expect("few nodes");
        let mut book = CrashBook::new(node_id(number));
        let node = &state.nodes[index];
        let reporter_of = |reporter: u8| match self.rule {
            // The limit on who may risk the last attempt then allows any node.
            Rule::AnyNodeRisksTheLast => number,
            _ => reporter,
        };
        let crashes = node.crashes.iter();
        let crashes: Vec<(u64, u8)> = crashes.map(|(id, by)| (*id, reporter_of(*by))).collect();
        book.merge(0, REQUEST, &to_record(&crashes));
        book.take_updates();
        for _ in 0..node.counted {
            // It may have begun before other crashes were known.
            let _ = book.begin_attempt(0, &REQUEST, CrashSet::default());
        }
        book
    }

    /// Adds crashes to what a node knows, as the product merges them.
    fn learn(known: &mut Vec<(u64, u8)>, crashes: &[(u64, u8)]) {
        for crash in crashes {
            let is_known = known.iter().any(|(id, _)| *id == crash.0);
            if !is_known && known.len() < CRASHES_KEPT {
                known.push(*crash);
            }
        }
        known.sort_unstable();
    }

    fn send(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        next.attempts += 1;
        next.sent_after_three_ends |= usize::from(state.ends) >= CRASHES_MAX;
        if self.rule == Rule::NoMemory {
            next.nodes[index].uncounted += 1;
            return Some(next);
        }
        let mut book = self.book(state, index);
        match book.begin_attempt(0, &REQUEST, CrashSet::default()) {
            Ok(true) => next.nodes[index].counted += 1,
            Ok(false) => next.nodes[index].uncounted += 1,
            Err(_) => return None,
        }
        Some(next)
    }

    fn end(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        let node = &mut next.nodes[index];
        match (node.counted, node.uncounted) {
            (0, 0) => return None,
            (0, _) => node.uncounted -= 1,
            _ => node.counted -= 1,
        }
        next.ends += 1;
        if self.rule == Rule::NoMemory {
            return Some(next);
        }
        let number = u8::try_from(index).expect("few nodes");
        let crash = CrashId(u64::from(next.ends));
        let mut book = self.book(state, index);
        book.record_crashes(0, REQUEST, CrashSet::of(crash));
        Self::learn(&mut next.nodes[index].crashes, &[(crash.0, number)]);
        self.post(&mut next, number, &mut book);
        Some(next)
    }

    fn post(&self, state: &mut State, from: u8, book: &mut CrashBook) {
        if self.rule == Rule::OwnMemory {
            return;
        }
        for update in book.take_updates() {
            let nodes = 0..u8::try_from(state.nodes.len()).expect("few nodes");
            let recipients =
                nodes.filter(|to| *to != from && (!update.to_collector || *to == COLLECTOR));
            let crashes = from_record(&update.record);
            let messages = recipients.map(|to| Message {
                to,
                crashes: crashes.clone(),
            });
            state.messages.extend(messages);
        }
        state.messages.sort_unstable();
        state.messages.dedup();
        if self.bounds.reports == Reports::Prompt && !state.messages.is_empty() {
            *state = self.deliver(state, 0);
        }
    }

    fn deliver(&self, state: &State, position: usize) -> State {
        let mut next = state.clone();
        let message = next.messages.remove(position);
        let index = usize::from(message.to);
        let mut book = self.book(state, index);
        book.merge(0, REQUEST, &to_record(&message.crashes));
        Self::learn(&mut next.nodes[index].crashes, &message.crashes);
        self.post(&mut next, message.to, &mut book);
        if self.bounds.reports == Reports::Prompt && !next.messages.is_empty() {
            next = self.deliver(&next, 0);
        }
        next
    }

    fn fault_steps(&self, state: &State) -> Vec<(Action, State)> {
        if state.faults >= self.bounds.faults {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for (position, message) in state.messages.iter().enumerate() {
            let mut next = state.clone();
            next.messages.remove(position);
            next.faults += 1;
            steps.push((Action::Lose(message.to), next));
        }
        for (index, node) in state.nodes.iter().enumerate() {
            if *node != Node::default() {
                let mut next = state.clone();
                next.nodes[index] = Node::default();
                next.faults += 1;
                steps.push((Action::Restart(index), next));
            }
        }
        steps
    }
}

impl Specification for CrashSpec {
    type State = State;
    type Action = Action;

    fn initial(&self) -> State {
        State {
            nodes: vec![Node::default(); self.bounds.nodes.min(NODES_MAX)],
            ..State::default()
        }
    }

    fn steps(&self, state: &State) -> Vec<(Action, State)> {
        let mut steps = Vec::new();
        let running: u8 = state.nodes.iter().map(|n| n.counted + n.uncounted).sum();
        for index in 0..state.nodes.len() {
            if running < self.bounds.copies && state.attempts < self.bounds.attempts {
                let next = self.send(state, index);
                steps.extend(next.map(|next| (Action::Send(index), next)));
            }
            let next = self.end(state, index);
            steps.extend(next.map(|next| (Action::End(index), next)));
        }
        for (position, message) in state.messages.iter().enumerate() {
            steps.push((Action::Deliver(message.to), self.deliver(state, position)));
        }
        steps.extend(self.fault_steps(state));
        steps
    }

    fn violated_property(&self, state: &State) -> Option<&'static str> {
        let is_violated = match self.property {
            Property::NoneSentAfterThreeEnds => state.sent_after_three_ends,
            Property::ThreeEndAtMost => usize::from(state.ends) > CRASHES_MAX,
        };
        is_violated.then(|| self.property.as_str())
    }

    fn without_faults(&self, _state: &State) -> Option<State> {
        None
    }

    fn is_settled(&self, _state: &State) -> bool {
        true
    }
}
