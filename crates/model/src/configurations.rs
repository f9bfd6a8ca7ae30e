//! Small valid configurations for the specifications, applied by the product's own code.
//!
//! States refer to a configuration by its id: 0 is the empty configuration, `v` is the one published
//! as version `v`, and higher ids are configurations that only a mutated protocol produces.

use std::cell::RefCell;
use std::collections::HashMap;

use dragonflywall::core::configuration::{Configuration, Delta, TeamRecord};
use dragonflywall::core::names::TeamName;
use dragonflywall::core::routing::RouteTable;
use dragonflywall::core::team_file;
use dragonflywall::core::version::Version;
use dragonflywall::distribution::{Content, Holder};

/// Highest version that a specification can publish.
pub const VERSIONS_MAX: u8 = 3;

/// Form in which a node receives the content of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ContentForm {
    /// The difference from the previous version.
    Delta,
    /// The whole configuration.
    Snapshot,
    /// A snapshot that carries the announced version number but other records.
    Damaged,
}

/// A check that a mutated node omits when it applies content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyMutation {
    /// The node enforces any verified content, whether or not it is newer.
    WithoutVersionCheck,
    /// The node verifies neither the digest nor the parent of a delta.
    WithoutDigestCheck,
    /// The node does not check that references resolve.
    WithoutReferenceCheck,
}

/// Arguments of [`ConfigurationSet::apply`]: enforced id, floor, form and version.
type ApplyKey = (u8, u8, ContentForm, u8);

/// All configurations that occur during a check, and the cached results of applying content.
#[derive(Debug)]
pub struct ConfigurationSet {
    dangling_version: Option<u8>,
    configurations: RefCell<Vec<Configuration>>,
    apply_results: RefCell<HashMap<ApplyKey, Option<u8>>>,
}

impl ConfigurationSet {
    /// Creates the configurations of all versions. The version `dangling_version`, if given, contains
    /// a reference that does not resolve, as if a faulty publisher had accepted it.
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

    /// Offers `version` in `form` to the product's [`Holder`], which enforces `enforced_id` and has
    /// its floor at `floor`. Returns the id of the configuration that it then enforces, or `None` if
    /// it refuses the content.
    pub fn apply(&self, enforced_id: u8, floor: u8, form: ContentForm, version: u8) -> Option<u8> {
        let key = (enforced_id, floor, form, version);
        if let Some(result) = self.apply_results.borrow().get(&key) {
            return *result;
        }
        let result = self.apply_with_holder(enforced_id, floor, form, version);
        self.apply_results.borrow_mut().insert(key, result);
        result
    }

    /// As [`Self::apply`], but by a node that omits the check that `mutation` names.
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

    /// Applies only the first changed team of `version` to `enforced_id`, as a node does partway
    /// through applying a version team by team. Returns the id of the resulting configuration.
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

    /// The version number in the configuration, also if its records are not those of that version.
    pub fn version_of(&self, configuration_id: u8) -> u8 {
        let version = self.configurations.borrow()[usize::from(configuration_id)]
            .version
            .0;
        u8::try_from(version).expect("the versions of a specification fit in a u8")
    }

    /// Whether the configuration is exactly what was published under its version.
    pub fn is_published(&self, configuration_id: u8) -> bool {
        configuration_id <= VERSIONS_MAX
    }

    /// Whether every reference in the configuration resolves, by the product's own check.
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
            applied.expect("an enforced configuration is valid");
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

    /// The configuration of `version`. Version 2 adds two teams, one of which calls the other.
    /// Version 3 renames the called resource in both teams, so that a mix of teams from versions 2
    /// and 3 contains a reference that does not resolve.
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
        u8::try_from(index).expect("a check produces fewer than 256 configurations")
    }
}

fn set_team(configuration: &mut Configuration, team: TeamName, record: Option<TeamRecord>) {
    match record {
        Some(record) => configuration.teams.insert(team, record),
        None => configuration.teams.remove(&team),
    };
}

/// Parses a team file that is written in this crate, which has to be valid.
pub fn parse_team_record(text: &str) -> TeamRecord {
    team_file::parse(text).expect("the team files in this crate are valid")
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
