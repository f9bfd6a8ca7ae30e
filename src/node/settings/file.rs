//! Reads the settings file of the users' platform, and applies the flags and variables that override it.

use std::path::Path;

use super::{ExplicitValues, Result, Settings, SettingsError, SettingsReader};
use crate::platform;

/// Flags that cannot be given together with a settings file. The file contains these settings, and the node would not
/// work if the values differed.
const FLAGS_IN_FILE: [&str; 10] = [
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

/// Reads the settings file of the users' platform. Values in `explicit_values` override it.
pub(crate) fn read(path: &Path, explicit_values: &ExplicitValues) -> Result<Settings> {
    let mut reader = SettingsReader {
        explicit_values: explicit_values.clone(),
        problems: Vec::new(),
    };
    reader.reject_flags_in_file();
    let settings = reader
        .read_file(path)
        .map(|settings| reader.apply_overrides(settings));
    match settings.filter(|_| reader.problems.is_empty()) {
        Some(settings) => Ok(settings),
        None => Err(SettingsError {
            problems: reader.problems,
        }),
    }
}

impl SettingsReader {
    fn reject_flags_in_file(&mut self) {
        let flags: Vec<&str> = self.explicit_values.flags().collect();
        for flag in flags
            .into_iter()
            .filter(|flag| FLAGS_IN_FILE.contains(flag))
        {
            self.add_problem(flag, "cannot be given together with --config");
        }
    }

    fn read_file(&mut self, path: &Path) -> Option<Settings> {
        let with_path = |problem: String| format!("{}: {problem}", path.display());
        let file_text = match std::fs::read_to_string(path) {
            Ok(file_text) => file_text,
            Err(error) => {
                self.problems.push(with_path(error.to_string()));
                return None;
            }
        };
        match platform::settings::decode(&file_text) {
            Ok(mut settings) => {
                settings.config_file = Some(path.to_owned());
                Some(settings)
            }
            Err(problems) => {
                self.problems.extend(problems.into_iter().map(with_path));
                None
            }
        }
    }

    /// Overrides `settings` with the values of flags and variables that were given, but not with their defaults.
    fn apply_overrides(&mut self, mut settings: Settings) -> Settings {
        self.override_value("operator-listen", &mut settings.operator_listen);
        self.override_value(
            "caller-header-timeout-ms",
            &mut settings.caller_header_timeout_ms,
        );
        self.override_value(
            "caller-idle-timeout-ms",
            &mut settings.caller_idle_timeout_ms,
        );
        self.override_value(
            "caller-connections-max",
            &mut settings.caller_connections_max,
        );
        self.override_value("drain-timeout-ms", &mut settings.drain_timeout_ms);
        self.override_value("stop-least-ms", &mut settings.stop_least_ms);
        self.override_value("apply-within-ms", &mut settings.apply_within_ms);
        self.override_value("retry-percent", &mut settings.retry_percent);
        self.override_value("quota-overage-percent", &mut settings.quota_overage_percent);
        self.override_value("quota-slack", &mut settings.quota_slack);
        self.override_value("without", &mut settings.disabled_mechanisms);
        self.override_value("log-format", &mut settings.log_format);
        self.override_value("log-level", &mut settings.log_level);
        self.override_optional("dial-from", &mut settings.dial_from);
        self.override_optional("peer-advertise", &mut settings.peer_advertise);
        self.override_optional("descriptors-max", &mut settings.descriptors_max);
        self.override_optional("memory-mb", &mut settings.memory_mb);
        self.override_optional("link-kbit-per-s", &mut settings.link_kbit_per_s);
        self.override_optional("cpu-percent", &mut settings.cpu_percent);
        self.override_optional("key-freshness-ms", &mut settings.key_freshness_ms);
        if self.explicit_values.has("quota-window-ms") {
            let window_ms = self.quota_window_ms();
            settings.quota_window_ms = window_ms.unwrap_or(settings.quota_window_ms);
        }
        if self.explicit_values.has("caller-header-max-bytes") {
            let bytes = self.header_max_bytes();
            settings.caller_header_max_bytes = bytes.unwrap_or(settings.caller_header_max_bytes);
        }
        settings.explicit_values = self.explicit_values.clone();
        settings
    }

    fn override_value<T>(&mut self, flag: &str, setting: &mut T)
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        if self.explicit_values.has(flag)
            && let Some(value) = self.optional(flag)
        {
            *setting = value;
        }
    }

    fn override_optional<T>(&mut self, flag: &str, setting: &mut Option<T>)
    where
        T: std::str::FromStr<Err: std::fmt::Display>,
    {
        if self.explicit_values.has(flag) {
            *setting = self.optional(flag);
        }
    }
}
