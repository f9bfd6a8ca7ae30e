//! States, transitions, bounds and floor rules of the specification of distribution.

use crate::configurations::ContentForm;

/// Maximum number of nodes.
pub const NODES_MAX: usize = 3;

/// Limits that keep the number of states finite.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of nodes, at most [`NODES_MAX`].
    pub nodes: usize,
    /// Number of versions, at most [`crate::configurations::VERSIONS_MAX`]. All nodes enforce the
    /// first one in the initial state.
    pub versions: u8,
    /// How many times a node's process crashes.
    pub crashes: u8,
    /// How many times a node is cut off from its peers.
    pub cuts: u8,
    /// How many times the platform becomes unavailable.
    pub outages: u8,
    /// A version that was accepted by mistake with a reference that does not resolve.
    pub dangling_version: Option<u8>,
}

/// How a node ensures that it enforces no version older than one enforced before at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloorRule {
    /// Number of peers, called witnesses, that must have recorded a version before the node enforces
    /// it. If the bounds have fewer peers, all of them.
    pub witnesses: u32,
    /// Whether a node that can reach fewer than `witnesses` peers waits for more. If not, the
    /// reachable ones are enough, and without any the node enforces the version at once.
    pub waits_for_witnesses: bool,
    /// What a started node needs before it enforces a version if it cannot read the head.
    pub start_condition: StartCondition,
}

/// What a started node needs before it enforces a version if it cannot read the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCondition {
    /// Nothing: the node starts without a floor.
    Unconditional,
    /// Answers of all reachable peers, and of at least one.
    AllReachablePeers,
    /// Answers of all peers except the given number.
    AllPeersBut(u32),
    /// Answers of peers never suffice: the node waits until it can read the head.
    HeadOnly,
}

impl FloorRule {
    /// The floor is the highest version that peers have recorded for the node. The node reports a
    /// version by gossip only after it has enforced it.
    pub const PEERS_ONLY: Self = Self {
        witnesses: 0,
        waits_for_witnesses: false,
        start_condition: StartCondition::AllReachablePeers,
    };
    /// A node starts only after it has read the head.
    pub const HEAD_ONLY: Self = Self {
        witnesses: 0,
        waits_for_witnesses: false,
        start_condition: StartCondition::HeadOnly,
    };
    /// One peer records a version before it is enforced. A start needs the answers of all reachable
    /// peers.
    pub const ONE_WITNESS: Self = Self {
        witnesses: 1,
        waits_for_witnesses: true,
        start_condition: StartCondition::AllReachablePeers,
    };
    /// As [`Self::ONE_WITNESS`], but a node that can reach no peer enforces a version all the same.
    pub const ONE_WITNESS_IN_REACH: Self = Self {
        waits_for_witnesses: false,
        ..Self::ONE_WITNESS
    };
    /// As [`Self::ONE_WITNESS`], but a start needs the answers of all peers except one.
    pub const ONE_WITNESS_FEWER_ANSWERS: Self = Self {
        start_condition: StartCondition::AllPeersBut(1),
        ..Self::ONE_WITNESS
    };
    /// As [`Self::TWO_WITNESSES`], but a start needs the answers of all peers except one.
    pub const TWO_WITNESSES_FEWER_ANSWERS: Self = Self {
        start_condition: StartCondition::AllPeersBut(1),
        ..Self::TWO_WITNESSES
    };
    /// Two peers record a version before it is enforced. A start needs the answers of all reachable
    /// peers.
    pub const TWO_WITNESSES: Self = Self {
        witnesses: 2,
        waits_for_witnesses: true,
        start_condition: StartCondition::AllReachablePeers,
    };
}

/// A change that breaks the protocol, to test that the checker finds a counterexample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A node applies content even if its version is not newer than the enforced one.
    ApplyWithoutVersionCheck,
    /// A node applies a delta or snapshot without verifying its digest.
    ApplyWithoutDigestCheck,
    /// A node applies content without checking that references resolve.
    ApplyWithoutReferenceCheck,
    /// A node applies a version team by team instead of atomically.
    ApplyInParts,
    /// Peers record the version that an address reported last, instead of the highest one.
    RecordLatestReport,
    /// A node never retries a failed fetch.
    NeverRetryFetch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Phase {
    Down,
    Starting,
    Running,
}

/// The state of a node: its address and the process that runs there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    pub(crate) phase: Phase,
    /// Id of the enforced configuration, see [`crate::configurations`].
    pub(crate) enforced_id: u8,
    /// Lowest version that the process may enforce, because its address may have enforced it before.
    pub(crate) floor: u8,
    /// Version whose content has been verified but is not yet enforced; 0 if there is none.
    pub(crate) staged_version: u8,
    /// Bit mask of the peers that have confirmed that they recorded `staged_version`.
    pub(crate) recorded_by: u8,
    /// Bit mask of the peers that have answered the node's floor query since it was started.
    pub(crate) answered_peers: u8,
    pub(crate) head_read: bool,
    pub(crate) fetch_failed: bool,
    /// Highest version that each peer has reported to this node; the node's own entry stays 0.
    pub(crate) highest_reported: [u8; NODES_MAX],
    /// Whether no messages pass between the node and its peers.
    pub(crate) cut_off: bool,
    /// Highest version ever enforced at this address, by any process. It serves to check properties
    /// and to determine which messages may be in flight. Nodes do not use it.
    pub(crate) highest_enforced: u8,
}

/// The state of all nodes, the head and the platform, with the faults still allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    pub(crate) head: u8,
    pub(crate) platform_down: bool,
    pub(crate) nodes: [Node; NODES_MAX],
    pub(crate) crashes: u8,
    pub(crate) cuts: u8,
    pub(crate) outages: u8,
}

/// Label of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each variant is named after its transition")]
pub enum Action {
    Commit,
    ReadHead(usize),
    FetchFails(usize),
    Deliver(usize, ContentForm, u8),
    RecordAtPeer {
        node: usize,
        peer: usize,
        answer_lost: bool,
    },
    Enforce(usize),
    Gossip {
        from: usize,
        to: usize,
        version: u8,
    },
    ForwardReports {
        from: usize,
        to: usize,
    },
    Crash(usize),
    Restart(usize),
    QueryPeer(usize, usize),
    FinishStart(usize),
    CutOff(usize),
    Heal(usize),
    PlatformFails,
    PlatformRecovers,
}

pub(crate) const fn bit(index: usize) -> u8 {
    1 << index
}

/// All permutations of three nodes. The first one is the identity, and the first two are all
/// permutations of two nodes.
pub(crate) const NODE_PERMUTATIONS: [[usize; NODES_MAX]; 6] = [
    [0, 1, 2],
    [1, 0, 2],
    [0, 2, 1],
    [2, 1, 0],
    [1, 2, 0],
    [2, 0, 1],
];

pub(crate) fn renumber_nodes(state: &State, permutation: [usize; NODES_MAX]) -> State {
    let renumber_mask = |mask: u8| {
        let new_indexes =
            (0..NODES_MAX).filter(|new_index| mask & bit(permutation[*new_index]) != 0);
        new_indexes.fold(0, |mask, new_index| mask | bit(new_index))
    };
    let renumbered_node = |new_index: usize| {
        let node = &state.nodes[permutation[new_index]];
        Node {
            recorded_by: renumber_mask(node.recorded_by),
            answered_peers: renumber_mask(node.answered_peers),
            highest_reported: std::array::from_fn(|subject| {
                node.highest_reported[permutation[subject]]
            }),
            ..*node
        }
    };
    State {
        nodes: std::array::from_fn(renumbered_node),
        ..*state
    }
}

/// The node after a crash. Its process loses all its memory; what belongs to the address stays:
/// whether it is cut off, and the highest version ever enforced there.
pub(crate) fn crashed(node: &Node) -> Node {
    Node {
        phase: Phase::Down,
        enforced_id: 0,
        floor: 0,
        staged_version: 0,
        recorded_by: 0,
        answered_peers: 0,
        head_read: false,
        fetch_failed: false,
        highest_reported: [0; NODES_MAX],
        ..*node
    }
}
