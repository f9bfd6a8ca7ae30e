//! Compares what a `Holder` enforces with the expected version number. Content arrives in any
//! order; it may be damaged, outdated, for another parent, or have references that do not resolve.
//! Either a greater version is enforced as a whole, or nothing changes.

use std::sync::LazyLock;

use dragonflywall::core::configuration::{Configuration, Delta};
use dragonflywall::core::team_file;
use dragonflywall::core::version::{Stamp, Version};
use dragonflywall::distribution::{Content, Holder};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fuzz;

const VERSIONS: usize = 8;
/// A version in which a call names a resource that does not exist.
const UNRESOLVED_VERSION: usize = 4;

/// Versions 0 (empty) to 8. Each has one team more than the one before, and other records.
static PUBLISHED: LazyLock<Vec<Configuration>> =
    LazyLock::new(|| (0..=VERSIONS).map(published).collect());

fn published(version: usize) -> Configuration {
    let records = (0..version).map(|team| {
        let resource = format!("r{}", version % 3);
        let called = if version == UNRESOLVED_VERSION {
            "missing"
        } else {
            &resource
        };
        let text = format!(
            "team = \"t{team}\"\n[service.s{team}]\nslots_per_endpoint = {version}\n\
             connections_per_endpoint = 100\n[service.s{team}.resource.{resource}]\n\
             idempotent = true\n[[service.s{team}.route]]\npath = \"/\"\n\
             resource = \"{resource}\"\n[calls]\ns0 = [\"{called}\"]\n"
        );
        let record = team_file::parse(&text).expect("the team file is valid");
        (record.team.clone(), record)
    });
    Configuration {
        version: Version(version as u64),
        teams: records.collect(),
    }
}

fn stamp(version: usize) -> Stamp {
    PUBLISHED[version].stamp()
}

fn snapshot(version: usize) -> Content {
    Content::Snapshot(PUBLISHED[version].to_snapshot())
}

fn delta(parent: usize, version: usize) -> Content {
    let delta = Delta::between(&PUBLISHED[parent], &PUBLISHED[version]);
    Content::Delta(delta.to_bytes(&PUBLISHED[parent]))
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Snapshot {
        version: usize,
    },
    Delta {
        parent: usize,
        version: usize,
    },
    /// A snapshot or delta with one bit flipped, or truncated.
    Damaged {
        version: usize,
        delta: bool,
        position: prop::sample::Index,
        truncated: bool,
    },
    /// Valid content under the stamp of a possibly different version.
    WrongStamp {
        version: usize,
        content: usize,
    },
    RaiseFloor {
        version: usize,
    },
}

/// The version that must be enforced, and the floor.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    version: usize,
    floor: usize,
}

impl Expected {
    fn accepts(self, version: usize) -> bool {
        version > self.version && version >= self.floor && version != UNRESOLVED_VERSION
    }
}

struct ReferenceModel;

impl ReferenceStateMachine for ReferenceModel {
    type State = Expected;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Expected> {
        Just(Expected::default()).boxed()
    }

    fn transitions(state: &Expected) -> BoxedStrategy<Step> {
        let version = 1..=VERSIONS;
        let held = state.version;
        let next = (held + 1).min(VERSIONS);
        let following_versions = next..=(next + 2).min(VERSIONS);
        prop_oneof![
            2 => version.clone().prop_map(|version| Step::Snapshot { version }),
            3 => following_versions.prop_map(move |version| Step::Delta { parent: held, version }),
            2 => (0..=VERSIONS, version.clone())
                .prop_map(|(parent, version)| Step::Delta { parent, version }),
            3 => (version.clone(), any::<bool>(), any::<prop::sample::Index>(), any::<bool>())
                .prop_map(|(version, delta, position, truncated)| {
                    Step::Damaged { version, delta, position, truncated }
                }),
            1 => (version.clone(), version.clone())
                .prop_map(|(version, content)| Step::WrongStamp { version, content }),
            1 => version.prop_map(|version| Step::RaiseFloor { version }),
        ]
        .boxed()
    }

    fn apply(mut state: Expected, step: &Step) -> Expected {
        match *step {
            Step::Snapshot { version } if state.accepts(version) => state.version = version,
            // At version 0 no configuration is enforced, so there is no parent for a delta.
            Step::Delta { parent, version }
                if state.accepts(version) && parent == state.version && parent != 0 =>
            {
                state.version = version;
            }
            Step::WrongStamp { version, content }
                if version == content && state.accepts(version) =>
            {
                state.version = version;
            }
            Step::RaiseFloor { version } => state.floor = state.floor.max(version),
            _ => {}
        }
        state
    }
}

/// Damaged content of `version`. `None` if the damage does not change the decompressed content.
fn damaged(
    version: usize,
    parent: Option<usize>,
    position: prop::sample::Index,
    truncated: bool,
) -> Option<Content> {
    let mut bytes = match parent {
        Some(parent) => {
            let parent = &PUBLISHED[parent];
            Delta::between(parent, &PUBLISHED[version]).to_bytes(parent)
        }
        None => PUBLISHED[version].to_snapshot(),
    };
    let position = position.index(bytes.len());
    if truncated {
        bytes.truncate(position);
    } else {
        bytes[position] ^= 1 << (position % 8);
    }
    let stamp = stamp(version);
    match parent {
        Some(parent) => {
            let read = Delta::from_bytes(&bytes, &PUBLISHED[parent]);
            let decoded = read.and_then(|delta| delta.apply(&PUBLISHED[parent], stamp));
            decoded.is_err().then_some(Content::Delta(bytes))
        }
        None => {
            let decoded = Configuration::from_snapshot(&bytes, stamp);
            decoded.is_err().then_some(Content::Snapshot(bytes))
        }
    }
}

struct Node;

impl StateMachineTest for Node {
    type SystemUnderTest = Holder;
    type Reference = ReferenceModel;

    fn init_test(_: &Expected) -> Holder {
        Holder::default()
    }

    fn apply(mut holder: Holder, _: &Expected, step: Step) -> Holder {
        let before = holder.stamp();
        let (stamp, content) = match step {
            Step::RaiseFloor { version } => {
                holder.raise_floor(Version(version as u64));
                return holder;
            }
            Step::Snapshot { version } => (stamp(version), snapshot(version)),
            Step::Delta { parent, version } => (stamp(version), delta(parent, version)),
            Step::WrongStamp { version, content } => (stamp(version), snapshot(content)),
            Step::Damaged {
                version,
                delta,
                position,
                truncated,
            } => {
                let held = usize::try_from(before.version.0).expect("the version fits in usize");
                match damaged(version, delta.then_some(held), position, truncated) {
                    Some(content) => (stamp(version), content),
                    None => return holder,
                }
            }
        };
        let enforced = holder.apply(stamp, &content).is_ok();
        let expected = if enforced { stamp } else { before };
        assert_eq!(holder.stamp(), expected);
        holder
    }

    fn check_invariants(holder: &Holder, expected: &Expected) {
        let enforced = holder.enforced().map(|applied| &applied.configuration);
        let version = enforced.map_or(0, |configuration| configuration.version.0);
        assert_eq!(version, expected.version as u64);
        if let Some(configuration) = enforced {
            assert_eq!(configuration, &PUBLISHED[expected.version]);
        }
        assert_peers_reach(holder, expected.version);
    }
}

/// Checks that the content offered to a peer leads it to the same configuration, whichever version
/// the peer holds.
fn assert_peers_reach(holder: &Holder, version: usize) {
    for have in 0..=VERSIONS {
        let offered = holder.content_for(Version(have as u64));
        assert_eq!(offered.is_some(), have < version);
        let Some((stamp, content)) = offered else {
            continue;
        };
        let mut peer = Holder::default();
        if have > 0 && have != UNRESOLVED_VERSION {
            let applied = peer.apply(PUBLISHED[have].stamp(), &snapshot(have));
            applied.expect("a published version applies");
        }
        if have != UNRESOLVED_VERSION {
            peer.apply(stamp, &content)
                .expect("the content applies to the peer's version");
            assert_eq!(peer.stamp(), PUBLISHED[version].stamp());
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(64))]

    #[test]
    fn fuzz_holder_against_the_expected_version(sequential 1..32 => Node);
}
