//! Decisions without sockets: whom a node asks for new versions, and how long that may take.

use std::net::{Ipv4Addr, SocketAddr};

use dragonflywall::core::member::{Distance, NodeId};
use dragonflywall::core::version::Version;
use dragonflywall::distribution::Budget;
use dragonflywall::distribution::fetch::Peer;
use dragonflywall::distribution::lead_choice::{Ask, LeadChoice, LeadState, Leads, StoreFailure};
use dragonflywall::membership::link::NEWS_PAUSE_MS;

const BUDGET: Budget = Budget::new(2_500);
const HEARS: LeadState = LeadState {
    store_age_ms: 100,
    blind: false,
};
const BLIND: LeadState = LeadState {
    store_age_ms: 100,
    blind: true,
};

fn lead(number: u16) -> Peer {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), number));
    Peer {
        node: NodeId(address),
        address,
        distance: Distance::DataCentre,
    }
}

/// A choice that has asked the store once, as each life begins.
fn started(before: &[u16], own: bool) -> LeadChoice {
    let mut choice = LeadChoice::default();
    choice.set_leads(Leads {
        before: before.iter().map(|number| lead(*number)).collect(),
        own,
        alone: false,
    });
    assert_eq!(choice.next(0, BUDGET), Ask::Store);
    choice.store_answered();
    choice
}

fn asked(choice: &mut LeadChoice, now_ms: u64) -> Option<(u16, u64)> {
    match choice.next(now_ms, BUDGET) {
        Ask::Store => None,
        Ask::Lead { lead, wait_ms, .. } => Some((lead.address.port(), wait_ms)),
    }
}

fn answers(choice: &mut LeadChoice, now_ms: u64, number: u16, state: LeadState) -> bool {
    choice.lead_answered(now_ms, lead(number).node, state, BUDGET)
}

/// Guards against followers of a lead that answers and hears nothing of the store.
#[test]
fn a_blind_lead_is_replaced_by_the_next() {
    let wait_ms = BUDGET.follow_wait_ms();
    let mut choice = started(&[1, 2, 3], false);
    assert_eq!(
        asked(&mut choice, 0),
        Some((1, 0)),
        "it asks before it waits"
    );
    assert!(answers(&mut choice, 0, 1, HEARS));
    assert_eq!(asked(&mut choice, 0), Some((1, wait_ms)));
    assert!(!answers(&mut choice, 10, 1, BLIND));
    assert_eq!(asked(&mut choice, 10), Some((2, 0)));
    assert!(answers(&mut choice, 10, 2, HEARS));
    assert_eq!(asked(&mut choice, 10), Some((2, wait_ms)));
    // The first is asked again after a while.
    assert_eq!(asked(&mut choice, 4_000), Some((1, 0)));
}

#[test]
fn an_old_word_of_the_store_is_no_help() {
    let old = LeadState {
        store_age_ms: BUDGET.store_age_max_ms() + 1,
        blind: false,
    };
    let mut choice = started(&[1], true);
    assert!(!answers(&mut choice, 0, 1, old));
    assert_eq!(asked(&mut choice, 0), None);
}

#[test]
fn a_lead_reads_the_store_once_its_betters_are_of_no_help() {
    let mut choice = started(&[1, 2], true);
    assert!(!answers(&mut choice, 0, 1, BLIND));
    choice.lead_silent(0, lead(2).node);
    assert_eq!(asked(&mut choice, 0), None);
    choice.store_answered();
    assert!(!choice.is_blind());
}

/// Guards against a data centre whose nodes all read a store that refuses all of them, again and again.
#[test]
fn a_node_that_is_no_lead_reads_seldom_while_nobody_helps() {
    let mut choice = started(&[1, 2, 3], false);
    for number in 1..=3 {
        assert!(!answers(&mut choice, 0, number, BLIND));
    }
    assert_eq!(asked(&mut choice, 0), None);
    let pause_ms = choice.store_failed(StoreFailure::Refused, BUDGET);
    assert_eq!(pause_ms, BUDGET.solo_pause_ms());
    assert_eq!(
        asked(&mut choice, 0),
        Some((1, 0)),
        "it may be of help by now"
    );
}

#[test]
fn a_node_whose_reads_fail_tells_its_followers() {
    let mut choice = started(&[], true);
    choice.store_failed(StoreFailure::Refused, BUDGET);
    assert!(!choice.is_blind(), "one refusal may be a rate ceiling");
    choice.store_failed(StoreFailure::Refused, BUDGET);
    assert!(choice.is_blind());
    choice.store_answered();
    assert!(!choice.is_blind());
    choice.store_failed(StoreFailure::Silent, BUDGET);
    assert!(choice.is_blind());
}

/// Guards against a store that is slow for long and whose answers are all given up.
#[test]
fn a_store_that_answers_late_gets_more_time() {
    let mut choice = started(&[], true);
    let usual_ms = choice.store_answer_ms(BUDGET);
    choice.store_failed(StoreFailure::Silent, BUDGET);
    assert_eq!(choice.store_answer_ms(BUDGET), 2 * usual_ms);
    choice.store_answered();
    assert_eq!(choice.store_answer_ms(BUDGET), usual_ms);
}

/// Guards against a silent connection that hides versions for as long as a read may wait in quiet times.
#[test]
fn reads_of_the_store_wait_longer_only_where_that_does_no_harm() {
    let (short_ms, long_ms) = (BUDGET.short_store_wait_ms(), BUDGET.long_store_wait_ms());
    let mut choice = started(&[], true);
    assert_eq!(choice.store_wait_ms(0, BUDGET), long_ms);
    choice.note_held(0, Version(1));
    assert_eq!(
        choice.store_wait_ms(5_000, BUDGET),
        short_ms,
        "versions come"
    );
    assert_eq!(
        choice.store_wait_ms(15_000, BUDGET),
        long_ms,
        "they have ceased"
    );
    choice.set_leads(Leads {
        before: Vec::new(),
        own: true,
        alone: true,
    });
    assert_eq!(
        choice.store_wait_ms(15_000, BUDGET),
        short_ms,
        "nobody else reads"
    );
}

/// Longest time for which news is gathered on its way through a data centre and a bridge, or two.
const GOSSIP_MS: u64 = 4 * NEWS_PAUSE_MS;

/// Ways of a version to a node, and the longest that each takes with one failure after the other.
fn ways(budget: Budget) -> Vec<(&'static str, u64)> {
    let lead_silent_ms = budget.follow_wait_ms() + budget.follow_answer_ms();
    let store_ms = budget.store_answer_ms();
    let fetched_ms = GOSSIP_MS + budget.hold_ms() + budget.near_fetch_ms();
    vec![
        (
            "the lead has gone or is blind, the next reads the store",
            store_ms + store_ms,
        ),
        (
            "the lead is silent, the next reads the store",
            lead_silent_ms + store_ms,
        ),
        (
            "two leads are silent, the third reads the store",
            lead_silent_ms + budget.probe_answer_ms() + store_ms,
        ),
        (
            "the only data centre's lead reads on a silent connection",
            budget.short_store_wait_ms() + store_ms + store_ms,
        ),
        (
            "all readers here hear nothing, peers elsewhere do",
            fetched_ms,
        ),
        (
            "the same, and the first peer asked is silent",
            fetched_ms + budget.near_fetch_ms(),
        ),
        (
            "the same by the bridge, and then again inside the data centre",
            fetched_ms + 2 * budget.near_fetch_ms(),
        ),
        (
            "all readers of the region hear nothing, the other region's do",
            fetched_ms + budget.far_fetch_ms(),
        ),
        (
            "nobody helps a node that is no lead, then the store answers it",
            budget.solo_pause_ms() + store_ms + 3 * budget.probe_answer_ms().min(NEWS_PAUSE_MS),
        ),
    ]
}

/// Guards against waits that are each reasonable and together longer than a version may take.
#[test]
fn no_way_of_a_version_takes_longer_than_its_budget() {
    for apply_ms in [2_000, 2_500, 3_000, 5_000, 15_000] {
        for (way, worst_ms) in ways(Budget::new(apply_ms)) {
            assert!(worst_ms <= apply_ms, "{way}: {worst_ms} of {apply_ms} ms");
        }
    }
}
