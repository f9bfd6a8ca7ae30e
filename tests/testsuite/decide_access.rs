//! Which requests need a key, and until when a key is accepted.

use std::collections::{BTreeMap, BTreeSet};

use dragonflywall::core::configuration::{Configuration, TeamRecord};
use dragonflywall::core::names::{OrganisationName, TeamName};
use dragonflywall::core::organisation::{
    Conflict, KeyDigest, OrganisationRecord, OrganisationTable, Quota,
};
use dragonflywall::core::version::Version;
use dragonflywall::decide::access::{
    ConfigurationAge, Credential, Denial, Sender, organisation_of,
};
use dragonflywall::decide::freshness::{Freshness, FreshnessProof, PeerProof};

const FRESH: ConfigurationAge = ConfigurationAge {
    known_newest_ms_ago: Some(200),
    apply_within_ms: 3_000,
    key_limit_ms: Some(5_000),
};

fn organisation(keys: &[&str]) -> OrganisationRecord {
    OrganisationRecord {
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: 1,
        quota: None,
    }
}

fn configuration(organisations: &[(&str, &[&str])]) -> Configuration {
    let organisations = organisations.iter();
    let organisations: BTreeMap<_, _> = organisations
        .map(|(name, keys)| (OrganisationName::new(*name), organisation(keys)))
        .collect();
    let team = TeamRecord {
        team: TeamName::new("organisations"),
        services: BTreeMap::new(),
        calls: BTreeMap::new(),
        caller_limits: None,
        organisations: Some(organisations),
    };
    Configuration {
        version: Version(1),
        teams: BTreeMap::from([(team.team.clone(), team)]),
    }
}

fn table() -> OrganisationTable {
    let configuration =
        configuration(&[("north", &["n1", "n2"]), ("south", &["s1"]), ("empty", &[])]);
    let table = OrganisationTable::compile(&configuration).expect("no key is shared");
    table.expect("the configuration has organisations")
}

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text.as_bytes()))
}

/// The name of the organisation of a request on a route that is not public.
fn decide(sender: Sender, credential: Credential, age: ConfigurationAge) -> Result<String, Denial> {
    let decided = organisation_of(Some(&table()), sender, credential, false, age);
    decided.map(|found| found.map_or(String::new(), |found| found.name.to_string()))
}

/// Guards against requests without a valid key that reach a backend server, and against valid ones that do not.
#[test]
fn only_a_valid_key_names_an_organisation() {
    let caller = |credential| decide(Sender::Caller, credential, FRESH);
    assert_eq!(caller(key("n1")), Ok("north".to_owned()));
    assert_eq!(caller(key("n2")), Ok("north".to_owned()));
    assert_eq!(caller(key("s1")), Ok("south".to_owned()));
    assert_eq!(caller(key("s2")), Err(Denial::UnknownKey));
    assert_eq!(caller(key(&"x".repeat(10_000))), Err(Denial::UnknownKey));
    assert_eq!(caller(Credential::Absent), Err(Denial::UnknownKey));
    assert_eq!(caller(Credential::Ambiguous), Err(Denial::UnknownKey));
}

/// Guards against nested calls, which carry no key, that are refused for it.
#[test]
fn calls_of_running_requests_need_no_key() {
    let call = decide(Sender::RunningRequest, Credential::Absent, FRESH);
    assert_eq!(call, Ok(String::new()));
    let orphan = decide(Sender::EndedRequest, Credential::Absent, FRESH);
    assert_eq!(orphan, Err(Denial::ParentEnded));
}

/// Guards against deployments without organisations whose requests are asked for a key.
#[test]
fn without_organisations_no_request_needs_a_key() {
    let stale = ConfigurationAge {
        known_newest_ms_ago: None,
        ..FRESH
    };
    for credential in [Credential::Absent, key("n1"), Credential::Ambiguous] {
        let decided = organisation_of(None, Sender::Caller, credential, false, stale);
        assert_eq!(decided, Ok(None));
    }
}

/// Guards against public routes that need a key, and against a public route on which a key that was taken away is
/// believed.
#[test]
fn a_public_route_needs_no_key_and_checks_one_that_is_sent() {
    let public = |credential, age| {
        let decided = organisation_of(Some(&table()), Sender::Caller, credential, true, age);
        decided.map(|found| found.is_some())
    };
    let stale = ConfigurationAge {
        known_newest_ms_ago: Some(5_000),
        ..FRESH
    };
    assert_eq!(public(Credential::Absent, stale), Ok(false));
    assert_eq!(public(key("n1"), FRESH), Ok(true));
    assert_eq!(public(key("n9"), FRESH), Err(Denial::UnknownKey));
    assert_eq!(public(key("n1"), stale), Err(Denial::NotFresh));
}

/// Guards against a key that is accepted after the bound, and against refusals before it.
#[test]
fn keys_are_accepted_until_the_bound_after_the_last_proof() {
    let at_age = |known_newest_ms_ago, key_limit_ms| {
        let age = ConfigurationAge {
            known_newest_ms_ago,
            key_limit_ms,
            ..FRESH
        };
        decide(Sender::Caller, key("n1"), age)
    };
    assert!(at_age(Some(0), Some(5_000)).is_ok());
    assert!(at_age(Some(4_800), Some(5_000)).is_ok());
    for age_ms in [4_950, 5_000, 60_000] {
        assert_eq!(at_age(Some(age_ms), Some(5_000)), Err(Denial::NotFresh));
    }
    assert_eq!(at_age(None, Some(5_000)), Err(Denial::NotFresh));
    assert!(at_age(None, None).is_ok());
}

/// Guards against a 401 for a key that a version on its way holds: the caller would not try again.
#[test]
fn an_unknown_key_is_rejected_only_by_a_configuration_that_has_all_versions() {
    for (known_newest_ms_ago, denial) in [
        (Some(2_900), Denial::UnknownKey),
        (Some(3_100), Denial::NotFresh),
        (None, Denial::NotFresh),
    ] {
        let age = ConfigurationAge {
            known_newest_ms_ago,
            key_limit_ms: None,
            ..FRESH
        };
        assert_eq!(decide(Sender::Caller, key("new"), age), Err(denial));
    }
}

/// Guards against a key that two organisations share: requests with it could be charged to either.
#[test]
fn a_shared_key_is_rejected_without_naming_it() {
    let shared = configuration(&[("north", &["secret-key"]), ("south", &["secret-key"])]);
    let conflict = OrganisationTable::compile(&shared).expect_err("the key is shared");
    assert!(matches!(&conflict, Conflict::Key { first, .. } if first.as_str() == "north"));
    assert!(!format!("{conflict:?}").contains("secret-key"));
}

/// Guards against keys in debug output and in the configuration that nodes exchange.
#[test]
fn no_output_holds_a_key() {
    let configuration = configuration(&[("north", &["secret-key"])]);
    let canonical = String::from_utf8(configuration.to_canonical()).expect("JSON is text");
    for text in [format!("{configuration:?}"), canonical] {
        assert!(!text.contains("secret-key"), "{text}");
    }
    let digest = KeyDigest::of(b"secret-key");
    let whole = blake3::hash(b"secret-key").to_hex();
    assert!(!format!("{digest:?}").contains(whole.as_str()));
}

/// Guards against quotas that overflow or become small ones.
#[test]
fn extreme_quotas_stay_what_they_are() {
    assert_eq!(Quota::from_rate(0.0, 10), None);
    let largest = Quota::from_rate(9_007_199_254_740_992.0, u64::MAX).expect("it is a limit");
    assert!(largest.rate_per_s() > 1e15);
    assert!(Quota::from_rate(f64::NAN, 0).is_none());
}

fn proof(version: u64, at_ms: u64) -> FreshnessProof {
    FreshnessProof {
        version: Version(version),
        at_ms,
    }
}

/// Guards against a proof about a newer version that is taken for one about the enforced version.
#[test]
fn a_proof_holds_only_from_its_version_on() {
    let mut freshness = Freshness::default();
    freshness.record(proof(7, 1_000));
    freshness.record(proof(9, 2_000));
    assert_eq!(freshness.known_newest_at_ms(Version(6)), None);
    assert_eq!(freshness.known_newest_at_ms(Version(8)), Some(1_000));
    assert_eq!(freshness.known_newest_at_ms(Version(9)), Some(2_000));
    freshness.record(proof(9, 1_500));
    assert_eq!(freshness.known_newest_at_ms(Version(10)), Some(2_000));
    for round in 0..100 {
        freshness.record(proof(10 + round, 3_000 + round));
    }
    assert_eq!(freshness.known_newest_at_ms(Version(109)), Some(3_099));
}

/// Guards against an answer that a cut or a freeze held back and that counts from its arrival.
#[test]
fn the_time_of_a_proof_does_not_depend_on_when_the_answer_arrived() {
    assert_eq!(FreshnessProof::from_store(Version(3), 10_000).at_ms, 10_000);
    let held_back = PeerProof {
        version: Version(3),
        age_ms: 300,
        waited_ms: 500,
    };
    for took_ms in [502, 8_000] {
        let proof = FreshnessProof::from_peer(held_back, 10_000, took_ms);
        assert_eq!(proof.map(|proof| proof.at_ms), Some(10_200));
    }
}

/// Guards against a lead that is cut off from the store, frozen or itself a follower, and whose answers make an old
/// proof young.
#[test]
fn a_proof_keeps_its_age_over_two_leads() {
    let store_read = FreshnessProof::from_store(Version(3), 1_000);
    let (now_of_first, now_of_second) = (4_000, 70_000);
    let from_first = PeerProof {
        version: store_read.version,
        age_ms: now_of_first - store_read.at_ms,
        waited_ms: 400,
    };
    let second = FreshnessProof::from_peer(from_first, now_of_second, 450).expect("in range");
    assert_eq!(second.at_ms, now_of_second + 400 - 3_000);
    let from_second = PeerProof {
        version: second.version,
        age_ms: 500 + now_of_second - second.at_ms,
        waited_ms: 0,
    };
    let third = FreshnessProof::from_peer(from_second, 200_000, 20).expect("in range");
    assert_eq!(200_000 - third.at_ms, 3_100);
}

/// Guards against a peer that states an impossible wait or age.
#[test]
fn a_peer_cannot_make_a_proof_younger_than_its_answer() {
    let impossible = PeerProof {
        version: Version(3),
        age_ms: 0,
        waited_ms: 60_000,
    };
    let proof = FreshnessProof::from_peer(impossible, 1_000, 30).expect("in range");
    assert_eq!(proof.at_ms, 1_030);
    let ancient = PeerProof {
        age_ms: 5_000,
        waited_ms: 0,
        ..impossible
    };
    assert_eq!(FreshnessProof::from_peer(ancient, 1_000, 30), None);
}

/// Guards against an organisation without keys that a request may enter through.
#[test]
fn an_organisation_may_lose_its_last_key() {
    let emptied = configuration(&[("north", &[])]);
    let table = OrganisationTable::compile(&emptied).expect("no key is shared");
    let table = table.expect("keys are needed although none is valid");
    let decided = organisation_of(Some(&table), Sender::Caller, key("n1"), false, FRESH);
    assert_eq!(decided, Err(Denial::UnknownKey));
    assert_eq!(
        BTreeSet::from_iter(table.iter().map(|o| o.name.as_str())),
        BTreeSet::from(["north"])
    );
}
