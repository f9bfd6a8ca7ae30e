//! Settings from the file of the users' platform, and the flags and variables that may stand beside it.

use std::path::Path;

use super::{Given, Reader, Result, Settings, SettingsError};
use crate::platform;

/// What may not be given beside a settings file: the file says it, and nothing works where both differ.
const IN_FILE: [&str; 10] = [
    "backend-server",
    "caller-listen",
    "data-centre",
    "mesh-token",
    "peer-external",
    "peer-listen",
    "peer-seeds",
    "platform",
    "region",
    "service",
];

/// Reads the platform's settings file. What was `given` by flags and variables goes before it.
pub(crate) fn read(path: &Path, given: &Given) -> Result<Settings> {
    let mut reader = Reader {
        given: given.clone(),
        problems: Vec::new(),
    };
    reader.refuse_what_the_file_says();
    let settings = reader.file(path).map(|settings| reader.beside(settings));
    match settings.filter(|_| reader.problems.is_empty()) {
        Some(settings) => Ok(settings),
        None => Err(SettingsError {
            problems: reader.problems,
        }),
    }
}

impl Reader {
    fn refuse_what_the_file_says(&mut self) {
        let given: Vec<&str> = self.given.flags().collect();
        for flag in given.into_iter().filter(|flag| IN_FILE.contains(flag)) {
            self.problem(flag, "cannot be given together with --config");
        }
    }

    fn file(&mut self, path: &Path) -> Option<Settings> {
        let named = |problem: String| format!("{}: {problem}", path.display());
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                self.problems.push(named(error.to_string()));
                return None;
            }
        };
        match platform::settings::decode(&text) {
            Ok(mut settings) => {
                settings.config_file = Some(path.to_owned());
                Some(settings)
            }
            Err(problems) => {
                self.problems.extend(problems.into_iter().map(named));
                None
            }
        }
    }

    /// What flags and variables say goes before the file; their defaults do not.
    fn beside(&mut self, mut settings: Settings) -> Settings {
        self.put("operator-listen", &mut settings.operator_listen);
        self.put(
            "caller-header-timeout-ms",
            &mut settings.caller_header_timeout_ms,
        );
        self.put(
            "caller-idle-timeout-ms",
            &mut settings.caller_idle_timeout_ms,
        );
        self.put(
            "caller-connections-max",
            &mut settings.caller_connections_max,
        );
        self.put("drain-timeout-ms", &mut settings.drain_timeout_ms);
        self.put("stop-least-ms", &mut settings.stop_least_ms);
        self.put("apply-within-ms", &mut settings.apply_within_ms);
        self.put("retry-percent", &mut settings.retry_percent);
        self.put("without", &mut settings.without);
        self.put("log-format", &mut settings.log_format);
        self.put("log-level", &mut settings.log_level);
        self.put_optional("dial-from", &mut settings.dial_from);
        self.put_optional("peer-advertise", &mut settings.peer_advertise);
        self.put_optional("descriptors-max", &mut settings.descriptors_max);
        self.put_optional("memory-mb", &mut settings.memory_mb);
        self.put_optional("link-kbit-per-s", &mut settings.link_kbit_per_s);
        if self.given.has("caller-header-max-bytes") {
            let bytes = self.header_max_bytes();
            settings.caller_header_max_bytes = bytes.unwrap_or(settings.caller_header_max_bytes);
        }
        settings.given = self.given.clone();
        settings
    }

    fn put<T>(&mut self, flag: &str, setting: &mut T)
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        if self.given.has(flag)
            && let Some(value) = self.optional(flag)
        {
            *setting = value;
        }
    }

    fn put_optional<T>(&mut self, flag: &str, setting: &mut Option<T>)
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        if self.given.has(flag) {
            *setting = self.optional(flag);
        }
    }
}
