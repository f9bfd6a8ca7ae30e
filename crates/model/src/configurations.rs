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
pub enum ContentForm {
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
    WithoutVersionCheck,
    /// Neither the digest nor the parent is verified.
    WithoutDigestCheck,
    /// References are not checked.
    WithoutReferenceCheck,
}

/// What a node holds, and what it is offered.
type ApplyKey = (u8, u8, ContentForm, u8);

/// All contents that occur, and what applying them does.
#[derive(Debug)]
pub struct ConfigurationSet {
    dangling_version: Option<u8>,
    configurations: RefCell<Vec<Configuration>>,
    apply_results: RefCell<HashMap<ApplyKey, Option<u8>>>,
}

impl ConfigurationSet {
    /// The versions, of which `dangling_version`, if any, was accepted by mistake with a reference that does
    /// not close.
    pub fn new(dangling_version: Option<u8>) -> Self {
        let set = Self {
            dangling_version,
            configurations: RefCell::default(),
            apply_results: RefCell::default(),
        };
        for version in 0..=VERSIONS_MAX {
            let configuration = set.published_configuration(version);
            set.configurations.borrow_mut().push(configuration);
        }
        set
    }

    /// Number of the content that a node holds after the product's [`Holder`], which enforces
    /// `enforced_id` above `floor`, was offered version `version` in `form`; `None` if it refused.
    pub fn apply(&self, enforced_id: u8, floor: u8, form: ContentForm, version: u8) -> Option<u8> {
        let key = (enforced_id, floor, form, version);
        if let Some(result) = self.apply_results.borrow().get(&key) {
            return *result;
        }
        let result = self.apply_with_holder(enforced_id, floor, form, version);
        self.apply_results.borrow_mut().insert(key, result);
        result
    }

    /// The same by a node with a mutation.
    pub fn apply_mutated(
        &self,
        mutation: ApplyMutation,
        enforced_id: u8,
        form: ContentForm,
        version: u8,
    ) -> Option<u8> {
        match mutation {
            ApplyMutation::WithoutVersionCheck => self.apply(0, 0, form, version),
            ApplyMutation::WithoutDigestCheck => {
                let enforced_version = self.version_of(enforced_id);
                if version <= enforced_version {
                    return None;
                }
                let merged = self.apply_unverified(enforced_id, form, version);
                Some(self.id_of(merged))
            }
            ApplyMutation::WithoutReferenceCheck => {
                let is_applied =
                    form != ContentForm::Damaged && version > self.version_of(enforced_id);
                is_applied.then_some(version)
            }
        }
    }

    /// Content `enforced_id` with only the first changed team of `version` put in.
    pub fn apply_first_changed_team(&self, enforced_id: u8, version: u8) -> u8 {
        let mut mixed = self.configurations.borrow()[usize::from(enforced_id)].clone();
        let target = self.published_configuration(version);
        let mut delta = Delta::between(&mixed, &target);
        mixed.version = target.version;
        if let Some((team, record)) = delta.teams.pop_first() {
            set_team(&mut mixed, team, record);
        }
        self.id_of(mixed)
    }

    /// Version of a content.
    pub fn version_of(&self, configuration_id: u8) -> u8 {
        let version = self.configurations.borrow()[usize::from(configuration_id)]
            .version
            .0;
        u8::try_from(version).expect("versions of the model are small")
    }

    /// Whether a content is exactly what was published under its version.
    pub fn is_published(&self, configuration_id: u8) -> bool {
        configuration_id <= VERSIONS_MAX
    }

    /// Whether every reference of a content closes, by the product's own check.
    pub fn references_resolve(&self, configuration_id: u8) -> bool {
        RouteTable::compile(&self.configurations.borrow()[usize::from(configuration_id)]).is_ok()
    }

    fn apply_with_holder(
        &self,
        enforced_id: u8,
        floor: u8,
        form: ContentForm,
        version: u8,
    ) -> Option<u8> {
        let mut holder = Holder::default();
        if enforced_id > 0 {
            let configuration = self.configurations.borrow()[usize::from(enforced_id)].clone();
            let snapshot = Content::Snapshot(configuration.to_snapshot());
            let applied = holder.apply(configuration.stamp(), &snapshot);
            applied.expect("what a node holds was applicable");
        }
        holder.raise_floor(Version(u64::from(floor)));
        let applied = holder.apply(
            self.published_configuration(version).stamp(),
            &self.content_of(form, version),
        );
        applied
            .ok()
            .map(|applied| self.id_of(applied.configuration.clone()))
    }

    fn apply_unverified(&self, enforced_id: u8, form: ContentForm, version: u8) -> Configuration {
        match form {
            ContentForm::Snapshot => self.published_configuration(version),
            ContentForm::Damaged => self.damaged_configuration(version),
            ContentForm::Delta => {
                let mut mixed = self.configurations.borrow()[usize::from(enforced_id)].clone();
                let delta = Delta::between(
                    &self.published_configuration(version - 1),
                    &self.published_configuration(version),
                );
                mixed.version = delta.version;
                for (team, record) in delta.teams {
                    set_team(&mut mixed, team, record);
                }
                mixed
            }
        }
    }

    /// What version `version` holds. Version 2 adds two teams, one of which calls the other; version 3
    /// takes the calling team away and renames the called resource, so that parts of different
    /// versions put together do not close.
    fn published_configuration(&self, version: u8) -> Configuration {
        let teams: &[&str] = match version {
            0 => &[],
            1 => &[PRICES_TEAM],
            _ if self.dangling_version == Some(version) => {
                &[PRICES_TEAM, ALERTS_TEAM_CALLING_WEIGH]
            }
            2 => &[
                PRICES_TEAM,
                ALERTS_TEAM_CALLING_WEIGH,
                SCALES_TEAM_WITH_WEIGH,
            ],
            _ => &[
                PRICES_TEAM,
                ALERTS_TEAM_CALLING_SHEET,
                SCALES_TEAM_WITH_SHEET,
            ],
        };
        let records = teams.iter().map(|text| parse_team_record(text));
        Configuration {
            version: Version(u64::from(version)),
            teams: records.map(|team| (team.team.clone(), team)).collect(),
        }
    }

    fn damaged_configuration(&self, version: u8) -> Configuration {
        let mut damaged = self.published_configuration(version);
        damaged.teams.pop_last();
        damaged.teams.insert(
            TeamName::new("alerts"),
            parse_team_record(ALERTS_TEAM_CALLING_WEIGH),
        );
        damaged.teams.remove("scales");
        damaged
    }

    fn content_of(&self, form: ContentForm, version: u8) -> Content {
        match form {
            ContentForm::Snapshot => {
                Content::Snapshot(self.published_configuration(version).to_snapshot())
            }
            ContentForm::Damaged => {
                Content::Snapshot(self.damaged_configuration(version).to_snapshot())
            }
            ContentForm::Delta => {
                let parent = self.published_configuration(version.saturating_sub(1));
                let delta = Delta::between(&parent, &self.published_configuration(version));
                Content::Delta(delta.to_bytes(&parent))
            }
        }
    }

    fn id_of(&self, configuration: Configuration) -> u8 {
        let mut configurations = self.configurations.borrow_mut();
        let position = configurations
            .iter()
            .position(|known| *known == configuration);
        let index = position.unwrap_or_else(|| {
            configurations.push(configuration);
            configurations.len() - 1
        });
        u8::try_from(index).expect("few contents")
    }
}

fn set_team(configuration: &mut Configuration, team: TeamName, record: Option<TeamRecord>) {
    match record {
        Some(record) => configuration.teams.insert(team, record),
        None => configuration.teams.remove(&team),
    };
}

/// Reads a team file of the model.
pub fn parse_team_record(text: &str) -> TeamRecord {
    team_file::parse(text).expect("the model's team files are right")
}

const PRICES_TEAM: &str = "team = \"prices\"\n\
    [service.prices]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\
    [service.prices.resource.read]\nidempotent = true\n\
    [[service.prices.route]]\npath = \"/\"\nresource = \"read\"\n";

const ALERTS_TEAM_CALLING_WEIGH: &str = "team = \"alerts\"\n[calls]\nscales = [\"weigh\"]\n";

const ALERTS_TEAM_CALLING_SHEET: &str = "team = \"alerts\"\n[calls]\nscales = [\"sheet\"]\n";

const SCALES_TEAM_WITH_WEIGH: &str = "team = \"scales\"\n\
    [service.scales]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\
    [service.scales.resource.weigh]\nidempotent = true\n\
    [[service.scales.route]]\npath = \"/\"\nresource = \"weigh\"\n";

const SCALES_TEAM_WITH_SHEET: &str = "team = \"scales\"\n\
    [service.scales]\nslots_per_endpoint = 1\nconnections_per_endpoint = 1\n\
    [service.scales.resource.sheet]\nidempotent = true\n\
    [[service.scales.route]]\npath = \"/\"\nresource = \"sheet\"\n";
