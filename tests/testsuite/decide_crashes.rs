//! Which requests are withheld because backend servers ended while they ran them.

use std::collections::VecDeque;

use dragonflywall::core::member::{NodeId, StartDigest};
use dragonflywall::core::names::InstanceName;
use dragonflywall::core::request_digest::{BodyDigest, HeadDigest, RequestDigest, RequestHead};
use dragonflywall::core::status::BackendStart;
use dragonflywall::decide::crashes::{
    BackendLife, CRASHES_KEPT, CRASHES_MAX, CrashBook, CrashId, CrashRecord, CrashSet,
    REQUESTS_MAX, ReportedCrash, SETTLED_AFTER_MS, SUSPECT_KEEP_MS, UNSETTLED_MS, UnsettledEnd,
    WITHHOLD_MAX_MS, WITHHOLD_MS,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

use crate::decide_load_balancing::node;

fn request(number: u128) -> RequestDigest {
    RequestDigest {
        head: HeadDigest(number),
        body: BodyDigest::EMPTY,
    }
}

fn crash(id: u64) -> CrashSet {
    CrashSet::of(CrashId(id))
}

fn no_crashes() -> CrashSet {
    CrashSet::default()
}

/// A book of node 1 in which crashes 1 to `count` are recorded under request 1.
fn book_with_crashes(count: u64) -> CrashBook {
    let mut book = CrashBook::new(node(1));
    for id in 1..=count {
        book.record_crashes(id, request(1), crash(id));
    }
    book
}

fn record(crashes: &[(u64, u16)], cleared: &[u64]) -> CrashRecord {
    let crash = |(id, reporter): &(u64, u16)| ReportedCrash {
        id: CrashId(*id),
        reported_by: node(*reporter),
    };
    CrashRecord {
        crashes: crashes.iter().map(crash).collect(),
        cleared: cleared.iter().copied().map(CrashId).collect(),
    }
}

#[test]
fn a_request_is_withheld_after_three_crashes_and_others_are_not() {
    let mut book = CrashBook::new(node(1));
    for id in 0..CRASHES_MAX as u64 {
        assert!(book.check(id, &request(1), no_crashes()).is_ok());
        assert!(book.record_crashes(id, request(1), crash(id)));
    }
    let withheld = book.check(10, &request(1), no_crashes());
    assert_eq!(withheld.map_err(|w| w.crashes.len()), Err(CRASHES_MAX));
    assert!(book.check_withheld(10, &request(1)).is_err());
    assert!(book.check(10, &request(2), no_crashes()).is_ok());
}

/// Guards against counting one end once for each copy of a popular request that ran then.
#[test]
fn copies_lost_with_one_server_count_once() {
    let mut book = CrashBook::new(node(1));
    for _ in 0..6 {
        book.record_crashes(1, request(1), crash(7));
    }
    assert_eq!(book.crashes(&request(1)).len(), 1);
    assert!(book.check(2, &request(1), no_crashes()).is_ok());
}

#[test]
fn the_last_attempt_is_made_once_and_by_the_lowest_reporter() {
    let mut book = book_with_crashes(2);
    assert_eq!(
        book.begin_attempt(5, &request(1), no_crashes()),
        Ok(true),
        "the request is remembered, so the attempt counts"
    );
    let second = book.begin_attempt(6, &request(1), no_crashes());
    assert_eq!(second.map_err(|withheld| withheld.running), Err(1));
    book.end_attempt(&request(1));
    assert!(book.check(7, &request(1), no_crashes()).is_ok());

    let mut other = CrashBook::new(node(2));
    other.merge(7, request(1), &record(&[(1, 1), (2, 2)], &[]));
    assert!(other.check(8, &request(1), no_crashes()).is_err());
}

#[test]
fn crashes_under_the_parent_request_count_for_its_calls() {
    let book = CrashBook::new(node(1));
    let parent: CrashSet = [1, 2, 3].map(CrashId).into_iter().collect();
    let withheld = book.check(1_000, &request(1), parent);
    let withheld = withheld.expect_err("three backend servers have ended in the tree");
    assert_eq!(withheld.retry_after_ms, SUSPECT_KEEP_MS);
    let own = book_with_crashes(1);
    let parent: CrashSet = [1, 2].map(CrashId).into_iter().collect();
    assert!(
        own.check(5, &request(1), parent).is_ok(),
        "crash 1 is in both"
    );
    let parent: CrashSet = [8, 9].map(CrashId).into_iter().collect();
    assert!(own.check(5, &request(1), parent).is_err());
}

#[test]
fn one_attempt_is_made_after_a_while_and_then_ever_later() {
    let mut book = book_with_crashes(3);
    let mut now_ms = 3;
    for (round, withheld_ms) in [WITHHOLD_MS, 2 * WITHHOLD_MS, 4 * WITHHOLD_MS]
        .into_iter()
        .enumerate()
    {
        let before = book.check(now_ms + withheld_ms - 1, &request(1), no_crashes());
        assert_eq!(before.map_err(|withheld| withheld.retry_after_ms), Err(1));
        now_ms += withheld_ms;
        assert!(book.check_withheld(now_ms, &request(1)).is_ok());
        assert_eq!(
            book.begin_attempt(now_ms, &request(1), no_crashes()),
            Ok(true)
        );
        assert!(book.check(now_ms, &request(1), no_crashes()).is_err());
        book.record_crashes(now_ms, request(1), crash(100 + round as u64));
        book.end_attempt(&request(1));
        assert!(book.check(now_ms + 1, &request(1), no_crashes()).is_err());
    }
    book.remove_expired(now_ms + WITHHOLD_MAX_MS);
    assert!(book.is_empty());
}

#[test]
fn an_answer_clears_the_crashes_before_it_for_all_nodes() {
    let mut book = book_with_crashes(2);
    let mut other = CrashBook::new(node(2));
    let told = book.take_updates().pop().expect("two crashes are told");
    other.merge(3, request(1), &told.record);
    assert!(book.record_answer(&request(1)));
    assert!(book.crashes(&request(1)).is_empty());
    let told_again = book.take_updates().pop().expect("the clearing is told");
    assert!(!told_again.to_collector);
    other.merge(4, request(1), &told_again.record);
    // A late report of the same crashes does not count them again.
    other.merge(5, request(1), &told.record);
    assert!(other.crashes(&request(1)).is_empty());
    assert!(!book.record_answer(&request(1)), "nothing is left to clear");
}

#[test]
fn a_clearing_that_overtakes_the_report_holds() {
    let mut book = CrashBook::new(node(2));
    book.merge(1, request(1), &record(&[], &[7]));
    book.merge(2, request(1), &record(&[(7, 1)], &[]));
    assert!(book.crashes(&request(1)).is_empty());
}

#[test]
fn the_first_crash_is_told_to_one_node_and_the_second_to_all() {
    let mut book = book_with_crashes(1);
    let first = book.take_updates();
    assert!(first.iter().all(|update| update.to_collector));
    book.record_crashes(2, request(1), crash(2));
    let second = book.take_updates();
    assert!(second.iter().all(|update| !update.to_collector));
    assert_eq!((first.len(), second.len()), (1, 1));
    book.record_crashes(3, request(1), crash(2));
    assert!(book.take_updates().is_empty(), "nothing has changed");

    let mut collector = CrashBook::new(node(9));
    collector.merge(1, request(5), &record(&[(1, 1)], &[]));
    assert!(collector.take_updates().is_empty());
    collector.merge(2, request(5), &record(&[(2, 2)], &[]));
    let sum = collector.take_updates();
    assert_eq!(sum.len(), 1);
    assert!(!sum[0].to_collector);
    assert_eq!(sum[0].record.crashes.len(), 2);
}

#[test]
fn memory_is_bounded_and_the_withheld_are_forgotten_last() {
    let mut book = book_with_crashes(3);
    for number in 0..10_000 {
        let now_ms = 10 + u64::try_from(number).expect("a small number");
        book.record_crashes(now_ms, request(100 + number), crash(1_000));
        assert!(book.len() <= REQUESTS_MAX);
    }
    assert!(book.check(10_010, &request(1), no_crashes()).is_err());
    assert!(!book.has_head(request(100).head));
    assert!(book.has_head(request(10_099).head));
    book.remove_expired(10_010 + SUSPECT_KEEP_MS);
    assert_eq!(book.len(), 1);
}

/// Guards against a repeat that is sent on before the report of a server that fell silent arrives.
#[test]
fn a_suspect_is_withheld_for_a_moment_after_a_deadline() {
    let mut book = book_with_crashes(1);
    book.record_deadline(100, &request(1));
    let withheld = book.check(100, &request(1), no_crashes());
    assert_eq!(withheld.map_err(|w| w.retry_after_ms), Err(UNSETTLED_MS));
    assert!(
        book.check(100 + UNSETTLED_MS, &request(1), no_crashes())
            .is_ok()
    );
    book.record_deadline(1_000, &request(1));
    book.record_answer(&request(1));
    assert!(book.check(1_000, &request(1), no_crashes()).is_ok());
    book.record_deadline(2_000, &request(2));
    assert!(book.check(2_000, &request(2), no_crashes()).is_ok());
}

#[test]
fn losses_without_a_sign_of_life_between_them_are_one_crash() {
    let mut ids = 1..;
    let mut life = BackendLife::default();
    let mut lose =
        |life: &mut BackendLife| life.record_loss(|| CrashId(ids.next().expect("ids do not end")));
    let first = lose(&mut life);
    assert_eq!(lose(&mut life), first);
    life.record_connection();
    let second = lose(&mut life);
    assert_ne!(second, first);
    life.record_response(50);
    assert_ne!(lose(&mut life), second);
    assert!(life.is_silent(60, 50) && !life.is_silent(60, 49));
}

/// Guards against a sign of life that was on its way when the server fell silent.
#[test]
fn a_server_that_misses_two_announcements_is_silent() {
    let mut life = BackendLife::default();
    for announced_us in [100, 400, 700, 701] {
        life.record_announcement(announced_us);
    }
    let sent_us = 700;
    assert!(!life.is_silent(1_300, sent_us) && life.is_silent(1_301, sent_us));
    assert_eq!(life.silent_in_us(800), Some(501));
    life.record_response(1_301);
    assert!(!life.is_silent(1_900, sent_us) && life.is_silent(1_901, sent_us));
    assert_eq!(life.silent_in_us(2_000), Some(0));
    assert_eq!(BackendLife::default().silent_in_us(800), None);
}

/// Guards against a delayed announcement after which the silence of a server shows much later.
#[test]
fn one_delayed_announcement_does_not_change_the_expected_interval() {
    let mut life = BackendLife::default();
    for announced_us in [100, 400, 700, 2_000] {
        life.record_announcement(announced_us);
    }
    assert_eq!(life.silent_in_us(2_000), Some(600));
    assert!(!life.is_silent(2_599, 1_900) && life.is_silent(2_600, 1_900));
}

/// Guards against taking a server for silent before it is clear how often it announces itself.
#[test]
fn one_announcement_does_not_show_when_the_next_is_due() {
    let mut life = BackendLife::default();
    life.record_announcement(701);
    assert!(!life.is_silent(1_000_000, 700));
}

/// The start of the backend server behind node `number`.
fn start(number: u64) -> StartDigest {
    let start = BackendStart {
        instance: InstanceName::new(format!("i-{number}")),
        started_ms: 1_000 + number,
    };
    start.digest().expect("the start time is known")
}

/// The loss of a request that ran on the backend server behind node `number`.
fn loss(number: u64) -> CrashId {
    CrashId::new(Some(start(number)), 7)
}

fn losses(numbers: impl IntoIterator<Item = u64>) -> CrashSet {
    numbers.into_iter().map(loss).collect()
}

#[test]
fn a_crash_names_the_start_that_ended() {
    assert_eq!(loss(1).start(), Some(start(1)));
    assert_ne!(loss(1).start(), loss(2).start());
    assert_eq!(CrashId::new(None, 7).start(), None);
    let unknown = BackendStart {
        instance: InstanceName::new("i-1"),
        started_ms: 0,
    };
    assert_eq!(unknown.digest(), None);
}

/// Guards against a request that stays withheld though the backend servers that it was said to have ended live.
#[test]
fn refuted_crashes_withhold_no_request() {
    let mut book = CrashBook::new(node(1));
    book.record_crashes(5, request(1), losses([1, 2, 3]));
    book.record_crashes(5, request(2), losses([1]));
    book.take_updates();
    let withheld = book.check(6, &request(1), no_crashes());
    let retry_after_ms = withheld.map_err(|withheld| withheld.retry_after_ms);
    assert_eq!(retry_after_ms, Err(SETTLED_AFTER_MS));
    let ends = book.unsettled_ends(6);
    assert_eq!(ends.len(), 3);
    for end in &ends {
        assert_eq!(end.recorded_ms, 5);
        assert!(book.refute(end));
        assert!(!book.refute(end), "it counts no longer");
    }
    assert!(book.check(6, &request(1), no_crashes()).is_ok());
    assert!(book.crashes(&request(2)).is_empty(), "it counted there too");
    assert!(book.unsettled_ends(6).is_empty());
    let mut other = CrashBook::new(node(2));
    other.merge(
        6,
        request(1),
        &record(&[(loss(1).0, 1), (loss(2).0, 1)], &[]),
    );
    for update in book.take_updates() {
        other.merge(7, update.request, &update.record);
    }
    assert!(
        other.crashes(&request(1)).is_empty(),
        "the refutation is reported"
    );
}

#[test]
fn only_the_refuted_crashes_no_longer_count() {
    let mut book = CrashBook::new(node(1));
    book.record_crashes(5, request(1), losses([1, 2, 3]));
    let ends = book.unsettled_ends(6);
    let of_first = ends.iter().find(|end| end.start == start(1));
    book.refute(of_first.expect("its end is unsettled"));
    assert_eq!(book.crashes(&request(1)), losses([2, 3]));
    // Another loss of the same start is another crash.
    let again = CrashSet::of(CrashId::new(Some(start(1)), 8));
    book.record_crashes(9, request(1), again);
    assert!(book.check(10, &request(1), no_crashes()).is_err());
}

/// Guards against crashes beyond the limit that are left out, and missing when another one is refuted.
#[test]
fn crashes_beyond_the_limit_count_when_others_are_refuted() {
    let mut book = CrashBook::new(node(1));
    for number in 1..=4 {
        book.record_crashes(5, request(1), losses([number]));
    }
    let ends = book.unsettled_ends(6);
    let of_first = ends.iter().find(|end| end.start == start(1));
    book.refute(of_first.expect("its end is unsettled"));
    assert!(book.check(6, &request(1), no_crashes()).is_err());
    for number in 5..100 {
        book.record_crashes(5, request(1), losses([number]));
    }
    let ids = book.unsettled_ends(6).len();
    assert_eq!(ids, CRASHES_KEPT);
}

#[test]
fn crashes_without_a_known_start_and_single_ones_are_not_checked() {
    let mut book = book_with_crashes(3);
    assert!(book.unsettled_ends(6).is_empty());
    book.record_crashes(5, request(2), losses([1]));
    assert!(book.unsettled_ends(6).is_empty());
    book.record_crashes(5, request(2), losses([2]));
    assert_eq!(book.unsettled_ends(6).len(), 2);
    assert!(book.unsettled_ends(5 + SUSPECT_KEEP_MS).is_empty());
}

/// Guards against a single announcement that was on its way when the backend server ended.
#[test]
fn two_later_announcements_show_that_a_start_has_not_ended() {
    let mut life = BackendLife::default();
    life.record_announced_start(100, start(1), Some(1));
    life.record_announced_start(200, start(1), Some(2));
    assert!(life.has_announced_since(start(1), 99));
    assert!(
        !life.has_announced_since(start(1), 100),
        "only one is later"
    );
    life.record_announced_start(300, start(1), Some(2));
    assert!(
        !life.has_announced_since(start(1), 150),
        "it is the same one"
    );
    life.record_announced_start(400, start(1), Some(3));
    assert!(life.has_announced_since(start(1), 150));
    life.record_announced_start(500, start(2), Some(1));
    assert!(!life.has_announced_since(start(1), 0), "it was replaced");
    life.record_announced_start(600, start(2), Some(2));
    assert!(life.has_announced_since(start(2), 450));
}

#[test]
fn requests_are_the_same_if_everything_is_that_a_client_sends_again() {
    let head = RequestHead {
        organisation: Some("salinas"),
        method: "GET",
        host: "mesh.example",
        path_and_query: "/stock/1?a=b",
    };
    let digest = HeadDigest::of(head);
    let upper_case = RequestHead {
        host: "MESH.example",
        ..head
    };
    assert_eq!(HeadDigest::of(upper_case), digest);
    let others = [
        RequestHead {
            organisation: None,
            ..head
        },
        RequestHead {
            organisation: Some(""),
            ..head
        },
        RequestHead {
            method: "HEAD",
            ..head
        },
        RequestHead {
            path_and_query: "/stock/1?a=c",
            ..head
        },
        RequestHead {
            host: "mesh.exampl",
            path_and_query: "e/stock/1?a=b",
            ..head
        },
    ];
    for other in others {
        assert_ne!(HeadDigest::of(other), digest, "{other:?}");
    }
    let whole = BodyDigest::of_chunks([&b"one"[..], b"two"]);
    assert_eq!(BodyDigest::of_chunks([&b"onetwo"[..]]), whole);
    assert_ne!(BodyDigest::of_chunks([]), BodyDigest::EMPTY);
    assert_ne!(
        BodyDigest::of_length(None),
        BodyDigest::of_length(Some(u64::MAX - 1))
    );
}

/// What happens next to a request that ends each backend server that runs it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client sends it to a node.
    Send { entry: usize },
    /// The backend server of the oldest running attempt ends.
    End,
    /// The response to the oldest running attempt is lost, and its backend server goes on to announce itself.
    Lose,
    /// A node asks about all backend servers that it takes for ended.
    Ask { entry: usize },
    /// A message arrives, in any order, or twice.
    Deliver { position: usize, again: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..NODES).prop_map(|entry| Step::Send { entry }),
        4 => Just(Step::End),
        2 => Just(Step::Lose),
        2 => (0..NODES).prop_map(|entry| Step::Ask { entry }),
        6 => (0..64_usize, any::<bool>())
            .prop_map(|(position, again)| Step::Deliver { position, again }),
    ];
    prop::collection::vec(step, 1..120)
}

const NODES: usize = 5;
/// The node that collects the reports.
const COLLECTOR: usize = 3;

/// Nodes that report to each other, and a request that ends each backend server that runs it.
struct Mesh {
    books: Vec<CrashBook>,
    running: VecDeque<usize>,
    messages: Vec<(usize, CrashRecord)>,
    ends: u64,
    losses: u64,
}

/// Numbers of the backend servers that did not end begin here.
const LOST_FIRST: u64 = 1_000;

impl Mesh {
    fn new() -> Self {
        let id = |number: usize| -> NodeId { node(u16::try_from(number).expect("few nodes")) };
        Self {
            books: (0..NODES)
                .map(|number| CrashBook::new(id(number)))
                .collect(),
            running: VecDeque::new(),
            messages: Vec::new(),
            ends: 0,
            losses: 0,
        }
    }

    fn known(&self, entry: usize) -> usize {
        self.books[entry].crashes(&request(1)).len()
    }

    /// Whether the node sends the request on.
    fn send(&mut self, entry: usize) -> bool {
        let begun = self.books[entry].begin_attempt(1, &request(1), no_crashes());
        if begun.is_ok() {
            self.running.push_back(entry);
        }
        begun.is_ok()
    }

    fn end(&mut self) {
        if let Some(entry) = self.running.pop_front() {
            self.ends += 1;
            self.record_loss(entry, self.ends);
        }
    }

    fn lose(&mut self) {
        if let Some(entry) = self.running.pop_front() {
            self.losses += 1;
            self.record_loss(entry, LOST_FIRST + self.losses);
        }
    }

    fn record_loss(&mut self, entry: usize, number: u64) {
        let book = &mut self.books[entry];
        book.record_crashes(1, request(1), losses([number]));
        book.end_attempt(&request(1));
        self.post(entry);
    }

    fn ask(&mut self, entry: usize) {
        let has_ended = |end: &UnsettledEnd| (1..=self.ends).any(|n| start(n) == end.start);
        let mut ends = self.books[entry].unsettled_ends(1);
        ends.retain(|end| !has_ended(end));
        for end in ends {
            self.books[entry].refute(&end);
        }
        self.post(entry);
    }

    fn post(&mut self, from: usize) {
        for update in self.books[from].take_updates() {
            let recipients =
                (0..NODES).filter(|to| *to != from && (!update.to_collector || *to == COLLECTOR));
            self.messages
                .extend(recipients.map(|to| (to, update.record.clone())));
        }
    }

    fn deliver(&mut self, position: usize, again: bool) {
        if self.messages.is_empty() {
            return;
        }
        let position = position % self.messages.len();
        let (to, record) = match again {
            true => self.messages[position].clone(),
            false => self.messages.swap_remove(position),
        };
        self.books[to].merge(1, request(1), &record);
        self.post(to);
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..Config::default()
    })]

    /// A node that knows of three ends never sends the request, and all nodes know of them once all messages have
    /// arrived, in whatever order and number.
    #[test]
    fn no_node_that_knows_of_three_ends_sends_the_request(steps in steps()) {
        let mut mesh = Mesh::new();
        for step in steps {
            match step {
                Step::Send { entry } => {
                    let known = mesh.known(entry);
                    prop_assert!(!mesh.send(entry) || known < CRASHES_MAX);
                }
                Step::End => mesh.end(),
                Step::Lose => mesh.lose(),
                Step::Ask { entry } => mesh.ask(entry),
                Step::Deliver { position, again } => mesh.deliver(position, again),
            }
        }
        mesh.deliver_all();
        if mesh.ends >= CRASHES_MAX as u64 {
            for entry in 0..NODES {
                prop_assert!(mesh.known(entry) >= CRASHES_MAX, "node {entry} of {} ends", mesh.ends);
                prop_assert!(!mesh.send(entry));
            }
        }
    }

    /// If reports arrive before the next attempt begins, none begins after the third end, however many copies run.
    #[test]
    fn no_attempt_begins_after_the_third_end_is_reported(steps in steps()) {
        let mut mesh = Mesh::new();
        for step in steps {
            match step {
                Step::Send { entry } => {
                    let ended = mesh.ends;
                    prop_assert!(!mesh.send(entry) || ended < CRASHES_MAX as u64);
                }
                Step::End => mesh.end(),
                Step::Lose => mesh.lose(),
                Step::Ask { entry } => mesh.ask(entry),
                Step::Deliver { .. } => (),
            }
            mesh.deliver_all();
        }
    }

    /// A client that waits for each response ends three backend servers at most, at whatever nodes.
    #[test]
    fn one_client_ends_three_servers_at_most(entries in prop::collection::vec(0..NODES, 1..30)) {
        let mut mesh = Mesh::new();
        for entry in entries {
            mesh.send(entry);
            mesh.end();
            mesh.deliver_all();
            prop_assert!(mesh.ends <= CRASHES_MAX as u64);
        }
    }

    /// A client that repeats at one node ends three backend servers at most, though no message arrives.
    #[test]
    fn one_client_at_one_node_needs_no_reports(repeats in 1..30_usize) {
        let mut mesh = Mesh::new();
        for _ in 0..repeats {
            mesh.send(0);
            mesh.end();
        }
        prop_assert_eq!(mesh.ends, repeats.min(CRASHES_MAX) as u64);
    }
}
