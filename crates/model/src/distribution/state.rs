//! States, steps, bounds and rules of the specification.

use crate::configurations::ContentForm;

/// Most nodes.
pub const NODES_MAX: usize = 3;

/// How far the search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Nodes, at most [`NODES_MAX`].
    pub nodes: usize,
    /// Versions, at most [`crate::configurations::VERSIONS_MAX`]; the first is in force everywhere at
    /// the start.
    pub versions: u8,
    /// Processes that die.
    pub crashes: u8,
    /// Times that a node is cut off from its peers.
    pub cuts: u8,
    /// Times that the platform is away.
    pub outages: u8,
    /// A version that was accepted by mistake although a reference in it does not close.
    pub dangling_version: Option<u8>,
}

/// How a node makes sure that its address never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloorRule {
    /// Peers that must have noted a version before the node enforces it.
    pub witnesses: u32,
    /// With too few peers in reach: wait for them, rather than enforce unwitnessed.
    pub waits_for_witnesses: bool,
    /// What a started node that could not read the head must have heard before it enforces.
    pub start_condition: StartCondition,
}

/// What a started node that could not read the head must have heard before it enforces anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCondition {
    /// Nothing: it starts without a floor.
    Unconditional,
    /// Every peer in reach, at least one.
    AllReachablePeers,
    /// All peers but so many.
    AllPeersBut(u32),
    /// It waits until it can read the head.
    HeadOnly,
}

impl FloorRule {
    /// Floor from the peers' memory, with enforced versions reported afterwards, by gossip.
    pub const PEERS_ONLY: Self = Self {
        witnesses: 0,
        waits_for_witnesses: false,
        start_condition: StartCondition::AllReachablePeers,
    };
    /// No start without the head.
    pub const HEAD_ONLY: Self = Self {
        witnesses: 0,
        waits_for_witnesses: false,
        start_condition: StartCondition::HeadOnly,
    };
    /// One peer notes a version before it is enforced; a start hears every peer in reach.
    pub const ONE_WITNESS: Self = Self {
        witnesses: 1,
        waits_for_witnesses: true,
        start_condition: StartCondition::AllReachablePeers,
    };
    /// As [`Self::ONE_WITNESS`], but a node without peers in reach enforces unwitnessed.
    pub const ONE_WITNESS_IN_REACH: Self = Self {
        waits_for_witnesses: false,
        ..Self::ONE_WITNESS
    };
    /// As [`Self::ONE_WITNESS`], but a start does with the answers of all peers but one.
    pub const ONE_WITNESS_FEWER_ANSWERS: Self = Self {
        start_condition: StartCondition::AllPeersBut(1),
        ..Self::ONE_WITNESS
    };
    /// As [`Self::TWO_WITNESSES`], but a start does with the answers of all peers but one.
    pub const TWO_WITNESSES_FEWER_ANSWERS: Self = Self {
        start_condition: StartCondition::AllPeersBut(1),
        ..Self::TWO_WITNESSES
    };
    /// Two peers note a version before it is enforced; a start hears every peer in reach.
    pub const TWO_WITNESSES: Self = Self {
        witnesses: 2,
        waits_for_witnesses: true,
        start_condition: StartCondition::AllReachablePeers,
    };
}

/// One line of the protocol changed, to see that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Apply without comparing versions.
    ApplyWithoutVersionCheck,
    /// Apply a delta or snapshot without verifying the digest.
    ApplyWithoutDigestCheck,
    /// Apply without checking that references close.
    ApplyWithoutReferenceCheck,
    /// Enforce team by team rather than all at once.
    ApplyInParts,
    /// Peers remember what an address last said, not the highest.
    RecordLatestReport,
    /// A failed fetch is never repeated.
    NeverRetryFetch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Phase {
    Down,
    Starting,
    Running,
}

/// One address and the process at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    pub(crate) phase: Phase,
    /// Number of the content enforced.
    pub(crate) enforced_id: u8,
    pub(crate) floor: u8,
    /// Version whose content is held, verified, but not yet enforced (0: none), and the peers that
    /// have noted it.
    pub(crate) staged_version: u8,
    pub(crate) recorded_by: u8,
    /// Peers heard since the start.
    pub(crate) answered_peers: u8,
    pub(crate) head_read: bool,
    pub(crate) fetch_failed: bool,
    /// Highest version that each address has reported.
    pub(crate) highest_reported: [u8; NODES_MAX],
    pub(crate) cut_off: bool,
    /// Highest version ever enforced at this address. Only the property looks at it.
    pub(crate) highest_enforced: u8,
}

/// The state of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    pub(crate) head: u8,
    pub(crate) platform_down: bool,
    pub(crate) nodes: [Node; NODES_MAX],
    pub(crate) crashes: u8,
    pub(crate) cuts: u8,
    pub(crate) outages: u8,
}

/// A step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "each is named for what happens")]
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

/// The orders in which three nodes can be numbered; the first two serve two nodes.
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

/// What is left of a node when its process dies: what others have sent it, and what the property
/// has noted.
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
