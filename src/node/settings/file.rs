//! Settings from the file of the users' platform, and the few flags that may stand beside it.

use std::path::Path;

use super::{Reader, Result, Settings, SettingsError};
use crate::platform;

/// Flags that add to a settings file: what it does not say. A variable set for all nodes of a VM image
/// works as well.
const BESIDE_FILE: [&str; 6] = [
    "config",
    "dial-from",
    "log-format",
    "log-level",
    "operator-listen",
    "peer-advertise",
];

/// Reads the platform's settings file, or says everything that is wrong with it.
pub(crate) fn read(path: &Path) -> Result<Settings, Vec<String>> {
    let named = |problem: String| format!("{}: {problem}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![named(error.to_string())])?;
    let decoded = platform::settings::decode(&text);
    let mut settings =
        decoded.map_err(|problems| problems.into_iter().map(named).collect::<Vec<_>>())?;
    settings.config_file = Some(path.to_owned());
    Ok(settings)
}

impl Reader {
    /// Settings of the platform's file at `path`, with the flags and variables that add to it.
    pub(super) fn settings_of_file(mut self, path: &Path) -> Result<Settings> {
        let others: Vec<&str> = self.values.keys().copied().collect();
        for flag in others {
            if !BESIDE_FILE.contains(&flag) {
                self.problem(flag, "cannot be given together with --config");
            }
        }
        let settings = read(path).map_err(|problems| self.problems.extend(problems));
        let settings = settings.ok().map(|settings| self.beside(settings));
        match settings.filter(|_| self.problems.is_empty()) {
            Some(settings) => Ok(settings),
            None => Err(SettingsError {
                problems: self.problems,
            }),
        }
    }

    /// What flags and variables say goes before the file; their defaults do not.
    fn beside(&mut self, mut settings: Settings) -> Settings {
        let given: Vec<&str> = self.values.keys().copied().collect();
        for flag in given {
            match flag {
                "dial-from" => settings.dial_from = self.optional(flag),
                "log-format" => {
                    settings.log_format = self.optional(flag).unwrap_or(settings.log_format);
                }
                "log-level" => {
                    settings.log_level = self.optional(flag).unwrap_or(settings.log_level);
                }
                "operator-listen" => {
                    settings.operator_listen =
                        self.optional(flag).unwrap_or(settings.operator_listen);
                }
                "peer-advertise" => settings.peer_advertise = self.optional(flag),
                _ => (),
            }
        }
        settings
    }
}
