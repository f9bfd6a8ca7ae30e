//! Inputs for the benchmarks of decisions about requests. Run them with `cargo bench -p benchmarks`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dragonflywall::core::configuration::{Configuration, TeamRecord};
use dragonflywall::core::member::NodeId;
use dragonflywall::core::names::{OrganisationName, TeamName};
use dragonflywall::core::organisation::{KeyDigest, OrganisationRecord, OrganisationTable, Quota};
use dragonflywall::core::request_digest::{BodyDigest, HeadDigest, RequestDigest, RequestHead};
use dragonflywall::core::version::Version;
use dragonflywall::decide::crashes::{CrashBook, CrashId, CrashSet};

/// Number of keys of each organisation.
pub const KEYS_PER_ORGANISATION: usize = 100;

/// The key with this number of an organisation.
pub fn key(organisation: usize, number: usize) -> String {
    format!("key-{organisation}-{number}")
}

/// A table of this many organisations, each with a quota.
pub fn organisations(count: usize) -> OrganisationTable {
    let record = |organisation: usize| OrganisationRecord {
        keys: (0..KEYS_PER_ORGANISATION)
            .map(|number| KeyDigest::of(key(organisation, number).as_bytes()))
            .collect::<BTreeSet<_>>(),
        priority: 1,
        quota: Quota::from_rate(1_000_000.0, 1_000_000),
    };
    let name = |organisation: usize| OrganisationName::new(format!("organisation-{organisation}"));
    let team = TeamRecord {
        team: TeamName::new("organisations"),
        services: BTreeMap::new(),
        calls: BTreeMap::new(),
        caller_limits: None,
        organisations: Some((0..count).map(|n| (name(n), record(n))).collect()),
    };
    let configuration = Configuration {
        version: Version(1),
        teams: BTreeMap::from([(team.team.clone(), team)]),
    };
    let table = OrganisationTable::compile(&configuration).expect("no key is shared");
    table.expect("the configuration has organisations")
}

/// A request head like those of callers, with this number in its path.
pub fn request(number: usize) -> RequestDigest {
    let path_and_query = format!("/prices/copper/{number}?yard=gijon&unit=tonne");
    RequestDigest {
        head: HeadDigest::of(RequestHead {
            organisation: Some("organisation-1"),
            method: "GET",
            host: "prices.example",
            path_and_query: &path_and_query,
        }),
        body: BodyDigest::EMPTY,
    }
}

/// A book that remembers one crash under each of this many requests.
pub fn crash_book(requests: usize) -> CrashBook {
    let mut book = CrashBook::new(NodeId(SocketAddr::from(([127, 0, 0, 1], 1))));
    for number in 0..requests {
        book.record_crashes(1, request(number), CrashSet::of(CrashId(1)));
    }
    book.take_updates();
    book
}
