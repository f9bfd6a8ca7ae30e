//! Small real configurations for the model, and the product's own apply run on them.
//!
//! Contents are numbered: 0 is the empty configuration, `v` is what was published as version `v`,
//! higher numbers are what a mutation of the protocol has made of them.

use std::cell::RefCell;
use std::collections::HashMap;

use dragonflywall::core::configuration::{Configuration, Delta, TeamRecord};
use dragonflywall::core::names::TeamName;
use dragonflywall::core::routing::RouteTable;
use dragonflywall::core::team_file;
use dragonflywall::core::version::Version;
use dragonflywall::distribution::{Content, Holder};

/// Most versions that a model publishes.
pub const VERSIONS_MAX: u8 = 3;

/// How content reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Form {
    /// The difference from the version before.
    Delta,
    /// The whole.
    Snapshot,
    /// Announced as the version, but with another version's records in it.
    Damaged,
}

/// How a mutated node goes wrong when it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyMutation {
    /// Any verified content is enforced, newer or not.
    WithoutComparing,
    /// Neither the digest nor the parent is verified.
    WithoutDigest,
    /// References are not checked.
    WithoutClosureCheck,
}

/// What a node holds, and what it is offered.
type Offer = (u8, u8, Form, u8);

/// All contents that occur, and what applying them does.
#[derive(Debug)]
pub struct Contents {
    open: Option<u8>,
    known: RefCell<Vec<Configuration>>,
    applied: RefCell<HashMap<Offer, Option<u8>>>,
}

impl Contents {
    /// The versions, of which `open`, if any, was accepted by mistake with a reference that does
    /// not close.
    pub fn new(open: Option<u8>) -> Self {
        let contents = Self {
            open,
            known: RefCell::default(),
            applied: RefCell::default(),
        };
        for version in 0..=VERSIONS_MAX {
            let content = contents.published(version);
            contents.known.borrow_mut().push(content);
        }
        contents
    }

    /// Number of the content that a node holds after the product's [`Holder`], which enforces
    /// `held` above `floor`, was offered version `version` in `form`; `None` if it refused.
    pub fn apply(&self, held: u8, floor: u8, form: Form, version: u8) -> Option<u8> {
        let key = (held, floor, form, version);
        if let Some(known) = self.applied.borrow().get(&key) {
            return *known;
        }
        let result = self.run_holder(held, floor, form, version);
        self.applied.borrow_mut().insert(key, result);
        result
    }

    /// The same by a node with a mutation.
    pub fn apply_mutated(
        &self,
        mutation: ApplyMutation,
        held: u8,
        form: Form,
        version: u8,
    ) -> Option<u8> {
        match mutation {
            ApplyMutation::WithoutComparing => self.apply(0, 0, form, version),
            ApplyMutation::WithoutDigest => {
                let held_version = self.version(held);
                if version <= held_version {
                    return None;
                }
                let merged = self.merge_unverified(held, form, version);
                Some(self.number(merged))
            }
            ApplyMutation::WithoutClosureCheck => {
                let intact = form != Form::Damaged && version > self.version(held);
                intact.then_some(version)
            }
        }
    }

    /// Content `held` with only the first changed team of `version` put in.
    pub fn apply_in_part(&self, held: u8, version: u8) -> u8 {
        let mut mixed = self.known.borrow()[usize::from(held)].clone();
        let child = self.published(version);
        let mut delta = Delta::between(&mixed, &child);
        mixed.version = child.version;
        if let Some((team, record)) = delta.teams.pop_first() {
            put(&mut mixed, team, record);
        }
        self.number(mixed)
    }

    /// Version of a content.
    pub fn version(&self, content: u8) -> u8 {
        let version = self.known.borrow()[usize::from(content)].version.0;
        u8::try_from(version).expect("versions of the model are small")
    }

    /// Whether a content is exactly what was published under its version.
    pub fn is_whole(&self, content: u8) -> bool {
        content <= VERSIONS_MAX
    }

    /// Whether every reference of a content closes, by the product's own check.
    pub fn is_closed(&self, content: u8) -> bool {
        RouteTable::compile(&self.known.borrow()[usize::from(content)]).is_ok()
    }

    fn run_holder(&self, held: u8, floor: u8, form: Form, version: u8) -> Option<u8> {
        let mut holder = Holder::default();
        if held > 0 {
            let content = self.known.borrow()[usize::from(held)].clone();
            let snapshot = Content::Snapshot(content.to_snapshot());
            let applied = holder.apply(content.stamp(), &snapshot);
            applied.expect("what a node holds was applicable");
        }
        holder.raise_floor(Version(u64::from(floor)));
        let applied = holder.apply(
            self.published(version).stamp(),
            &self.content(form, version),
        );
        applied
            .ok()
            .map(|applied| self.number(applied.configuration.clone()))
    }

    fn merge_unverified(&self, held: u8, form: Form, version: u8) -> Configuration {
        match form {
            Form::Snapshot => self.published(version),
            Form::Damaged => self.damaged(version),
            Form::Delta => {
                let mut mixed = self.known.borrow()[usize::from(held)].clone();
                let delta = Delta::between(&self.published(version - 1), &self.published(version));
                mixed.version = delta.version;
                for (team, record) in delta.teams {
                    put(&mut mixed, team, record);
                }
                mixed
            }
        }
    }

    /// What version `version` holds. Version 2 adds two teams, one of which calls the other; version 3
    /// takes the calling team away and renames the called resource, so that parts of different
    /// versions put together do not close.
    fn published(&self, version: u8) -> Configuration {
        let teams: &[&str] = match version {
            0 => &[],
            1 => &[PRICES],
            _ if self.open == Some(version) => &[PRICES, ALERTS_CALLS_SCALES],
            2 => &[PRICES, ALERTS_CALLS_SCALES, SCALES],
            _ => &[PRICES, ALERTS_CALLS_SHEETS, SCALES_WITH_SHEETS],
        };
        let records = teams.iter().map(|text| record(text));
        Configuration {
            version: Version(u64::from(version)),
            teams: records.map(|team| (team.team.clone(), team)).collect(),
        }
    }

    fn damaged(&self, version: u8) -> Configuration {
        let mut damaged = self.published(version);
        damaged.teams.pop_last();
        damaged
            .teams
            .insert(TeamName::new("alerts"), record(ALERTS_CALLS_SCALES));
        damaged.teams.remove("scales");
        damaged
    }

    fn content(&self, form: Form, version: u8) -> Content {
        match form {
            Form::Snapshot => Content::Snapshot(self.published(version).to_snapshot()),
            Form::Damaged => Content::Snapshot(self.damaged(version).to_snapshot()),
            Form::Delta => {
                let parent = self.published(version.saturating_sub(1));
                let delta = Delta::between(&parent, &self.published(version));
                Content::Delta(delta.to_bytes(&parent))
            }
        }
    }

    fn number(&self, configuration: Configuration) -> u8 {
        let mut known = self.known.borrow_mut();
        let at = known.iter().position(|content| *content == configuration);
        let at = at.unwrap_or_else(|| {
            known.push(configuration);
            known.len() - 1
        });
        u8::try_from(at).expect("few contents")
    }
}

fn put(configuration: &mut Configuration, team: TeamName, record: Option<TeamRecord>) {
    match record {
        Some(record) => configuration.teams.insert(team, record),
        None => configuration.teams.remove(&team),
    };
}

/// Reads a team file of the model.
pub fn record(text: &str) -> TeamRecord {
    team_file::parse(text).expect("the model's team files are right")
}

const PRICES: &str = "team = \"prices\"\n\
    [service.prices]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\
    [service.prices.resource.read]\nidempotent = true\n\
    [[service.prices.route]]\npath = \"/\"\nresource = \"read\"\n";

const ALERTS_CALLS_SCALES: &str = "team = \"alerts\"\n[calls]\nscales = [\"weigh\"]\n";

const ALERTS_CALLS_SHEETS: &str = "team = \"alerts\"\n[calls]\nscales = [\"sheet\"]\n";

const SCALES: &str = "team = \"scales\"\n\
    [service.scales]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\
    [service.scales.resource.weigh]\nidempotent = true\n\
    [[service.scales.route]]\npath = \"/\"\nresource = \"weigh\"\n";

const SCALES_WITH_SHEETS: &str = "team = \"scales\"\n\
    [service.scales]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\
    [service.scales.resource.sheet]\nidempotent = true\n\
    [[service.scales.route]]\npath = \"/\"\nresource = \"sheet\"\n";
