//! Settings of a node, from flags and environment variables, checked all at once.
//!
//! [`specs`] says which settings there are; this module reads and checks their values. On the users'
//! platform most of them come from its settings file instead, see [`mod@file`].

pub(crate) mod file;
pub mod specs;

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Write as _;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use lexopt::ValueExt;
use snafu::Snafu;

use self::specs::default_value;
pub use self::specs::{SPECS, Spec};
use crate::core::dialect::Dialect;
use crate::core::mechanism::MechanismSwitches;
use crate::core::member::Place;
use crate::core::names::{DataCentreName, RegionName, ServiceName, is_name};
use crate::core::token::MeshToken;
use crate::decide::connections::ConnectionLimits;
use crate::peer::client::DialOptions;
use crate::util::descriptors;

/// Result of this module.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// Everything that is wrong with the settings, a line each.
#[derive(Debug, Snafu)]
#[snafu(display("{}", problems.join("\n")))]
pub struct SettingsError {
    /// One clear line per problem, naming flag and environment variable.
    pub problems: Vec<String>,
}

/// The HTTP library's smallest read buffer, which the head has to fit in.
const MIN_CALLER_HEADER_BYTES: usize = 8_192;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

/// Checked settings of a node.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Words spoken with everything that is no node.
    #[builder(default)]
    pub dialect: Dialect,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where other nodes connect.
    pub peer_listen: SocketAddr,
    /// Where operators and the local backend server connect.
    pub operator_listen: SocketAddr,
    /// Where readiness is asked for, if not only at the operator listener.
    pub ready_listen: Option<SocketAddr>,
    /// Where the local backend server announces itself, if not at the operator listener.
    pub announce_listen: Option<SocketAddr>,
    /// Peer address inside the data centre.
    pub peer_advertise: Option<SocketAddr>,
    /// Peer address from other data centres.
    pub peer_external: Option<SocketAddr>,
    /// Where the VM stands.
    pub place: Place,
    /// Base URL of the platform.
    #[builder(into)]
    pub platform_url: String,
    /// Further peers to try.
    #[builder(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Local address of outgoing connections.
    pub dial_from: Option<IpAddr>,
    /// Secret by which nodes and operators know each other.
    #[builder(default)]
    pub mesh_token: MeshToken,
    /// The backend server known from the start.
    pub backend_server: Option<BackendServer>,
    /// That backend server is sent nothing before it has announced itself.
    #[builder(default)]
    pub backend_server_announces: bool,
    /// Longest head of a caller's request.
    #[builder(default = default_value("caller-header-max-bytes"))]
    pub caller_header_max_bytes: usize,
    /// Longest wait for the head of a caller's next request, in milliseconds.
    #[builder(default = default_value("caller-header-timeout-ms"))]
    pub caller_header_timeout_ms: u64,
    /// Longest time without progress of a caller's body, either way, in milliseconds.
    #[builder(default = default_value("caller-idle-timeout-ms"))]
    pub caller_idle_timeout_ms: u64,
    /// Most connections of one caller's address.
    #[builder(default = default_value("caller-connections-max"))]
    pub caller_connections_max: u32,
    /// Descriptors that the process may open, if it is told otherwise than by the system.
    pub descriptors_max: Option<u32>,
    /// Memory that the process may use, in megabytes, if it is limited.
    pub memory_mb: Option<u32>,
    /// Longest wait for requests in flight when stopping, in milliseconds.
    #[builder(default = default_value("drain-timeout-ms"))]
    pub drain_timeout_ms: u64,
    /// Shortest time for which callers are still served when stopping, in milliseconds.
    #[builder(default = default_value("stop-least-ms"))]
    pub stop_least_ms: u64,
    /// Time within which an accepted version is to be in force everywhere, in milliseconds.
    #[builder(default = default_value("apply-within-ms"))]
    pub apply_within_ms: u64,
    /// Retries of a service's requests, in percent of the first attempts of an entry.
    #[builder(default = default_value("retry-percent"))]
    pub retry_percent: u32,
    /// Retries of a service's requests beyond that share, all entries of the mesh together; if left
    /// out, ten for each entry.
    pub retry_reserve: Option<u32>,
    /// Rate of the VM's link in kilobits a second, if it is known.
    pub link_kbit_per_s: Option<u32>,
    /// Mechanisms that are switched off.
    #[builder(default)]
    pub disabled_mechanisms: MechanismSwitches,
    /// How log lines are written.
    #[builder(default = default_value("log-format"))]
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    #[builder(default = default_value("log-level"))]
    pub log_level: log::LevelFilter,
    /// The file that they were read from, if any.
    pub config_file: Option<PathBuf>,
    /// What flags and variables said.
    #[builder(default)]
    pub explicit_values: ExplicitValues,
}

/// Settings as flags and variables gave them, by flag.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExplicitValues(BTreeMap<&'static str, String>);

impl ExplicitValues {
    fn has(&self, flag: &str) -> bool {
        self.0.contains_key(flag)
    }

    fn flags(&self) -> impl Iterator<Item = &'static str> + '_ {
        self.0.keys().copied()
    }
}

/// A backend server: what it serves and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
}

/// Settings that may change under a running node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReloadableSettings {
    pub(crate) apply_within_ms: u64,
    pub(crate) drain_timeout_ms: u64,
    pub(crate) stop_least_ms: u64,
    pub(crate) retry_percent: u32,
    pub(crate) retry_reserve: Option<u32>,
}

impl Settings {
    /// What of it may change under a running node.
    pub(crate) fn reloadable(&self) -> ReloadableSettings {
        ReloadableSettings {
            apply_within_ms: self.apply_within_ms,
            drain_timeout_ms: self.drain_timeout_ms,
            stop_least_ms: self.stop_least_ms,
            retry_percent: self.retry_percent,
            retry_reserve: self.retry_reserve,
        }
    }

    /// How many connections callers may have.
    pub(crate) fn connection_limits(&self) -> ConnectionLimits {
        let descriptors = self.descriptors_max.unwrap_or_else(descriptors::allowed);
        ConnectionLimits::of_process(descriptors, self.memory_mb, self.caller_connections_max)
    }

    /// How this node dials others.
    pub fn dial_options(&self) -> DialOptions {
        DialOptions {
            dial_from: self.dial_from,
            token: self.mesh_token.clone(),
        }
    }
}

/// The help text for all settings.
pub fn help() -> String {
    let mut text = String::new();
    for spec in SPECS {
        let flag = format!("--{} {}", spec.flag, spec.value_name);
        let _ = writeln!(text, "  {flag:<28}{}", spec.help);
        let default = match spec.default {
            "" => String::new(),
            default => format!(", default {default}"),
        };
        let _ = writeln!(text, "{:30}[{}{default}]", "", spec.variable());
    }
    text
}

/// Reads settings from `arguments` (flags) and `variable` (environment); flags go first.
pub fn parse(
    arguments: impl IntoIterator<Item = OsString>,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Settings> {
    let mut reader = SettingsReader {
        explicit_values: ExplicitValues::default(),
        problems: Vec::new(),
    };
    reader.read_variables(variable);
    reader.read_flags(arguments);
    reader.into_settings()
}

struct SettingsReader {
    explicit_values: ExplicitValues,
    problems: Vec<String>,
}

impl SettingsReader {
    fn read_variables(&mut self, variable: impl Fn(&str) -> Option<String>) {
        for spec in SPECS {
            if let Some(value) = variable(&spec.variable()) {
                self.explicit_values.0.insert(spec.flag, value);
            }
        }
    }

    fn read_flags(&mut self, arguments: impl IntoIterator<Item = OsString>) {
        let mut parser = lexopt::Parser::from_args(arguments);
        loop {
            let name = match parser.next() {
                Ok(None) => return,
                Ok(Some(lexopt::Arg::Long(name))) => name.to_owned(),
                Ok(Some(argument)) => {
                    let problem = argument.unexpected().to_string();
                    self.problems.push(problem);
                    continue;
                }
                Err(error) => {
                    self.problems.push(error.to_string());
                    return;
                }
            };
            let spec = SPECS.iter().find(|spec| spec.flag == name);
            let value = parser.value().map(|value| value.string());
            match (spec, value) {
                (Some(spec), Ok(Ok(value))) => {
                    self.explicit_values.0.insert(spec.flag, value);
                }
                (Some(spec), _) => self
                    .problems
                    .push(format!("--{} needs a value: {}", spec.flag, spec.help)),
                (None, _) => self.problems.push(format!("--{name} is not a setting")),
            }
        }
    }

    fn into_settings(mut self) -> Result<Settings> {
        if let Some(path) = self.value("config") {
            return file::read(Path::new(&path), &self.explicit_values);
        }
        let caller_listen = self.required("caller-listen");
        let peer_listen = self.required("peer-listen");
        let operator_listen = self.required("operator-listen");
        let peer_advertise = self.optional("peer-advertise");
        let peer_external = self.optional("peer-external");
        let region = self.required_name("region");
        let data_centre = self.required_name("data-centre");
        let platform_url = self.required_url("platform");
        let peer_seeds = self.address_list("peer-seeds");
        let dial_from = self.optional("dial-from");
        let mesh_token: MeshToken = self.optional("mesh-token").unwrap_or_default();
        self.require_token_beyond_loopback(&mesh_token, [peer_listen, operator_listen]);
        let backend_server = self.backend_server();
        let caller_header_max_bytes = self.header_max_bytes();
        let caller_header_timeout_ms = self.required("caller-header-timeout-ms");
        let caller_idle_timeout_ms = self.required("caller-idle-timeout-ms");
        let caller_connections_max = self.required("caller-connections-max");
        let descriptors_max = self.optional("descriptors-max");
        let memory_mb = self.optional("memory-mb");
        let drain_timeout_ms = self.required("drain-timeout-ms");
        let stop_least_ms = self.required("stop-least-ms");
        let apply_within_ms = self.required("apply-within-ms");
        let retry_percent = self.required("retry-percent");
        let link_kbit_per_s = self.optional("link-kbit-per-s");
        let disabled_mechanisms = self.optional("without").unwrap_or_default();
        let log_format = self.required("log-format");
        let log_level = self.required("log-level");
        if !self.problems.is_empty() {
            return Err(SettingsError {
                problems: self.problems,
            });
        }
        let checked = "no problems were found";
        Ok(Settings {
            dialect: Dialect::Native,
            ready_listen: None,
            announce_listen: None,
            backend_server_announces: false,
            retry_reserve: None,
            stop_least_ms: stop_least_ms.expect(checked),
            apply_within_ms: apply_within_ms.expect(checked),
            retry_percent: retry_percent.expect(checked),
            link_kbit_per_s,
            disabled_mechanisms,
            caller_listen: caller_listen.expect(checked),
            peer_listen: peer_listen.expect(checked),
            operator_listen: operator_listen.expect(checked),
            peer_advertise,
            peer_external,
            place: Place {
                region: RegionName::new(region.expect(checked)),
                data_centre: DataCentreName::new(data_centre.expect(checked)),
            },
            platform_url: platform_url.expect(checked),
            peer_seeds,
            dial_from,
            mesh_token,
            backend_server,
            caller_header_max_bytes: caller_header_max_bytes.expect(checked),
            caller_header_timeout_ms: caller_header_timeout_ms.expect(checked),
            caller_idle_timeout_ms: caller_idle_timeout_ms.expect(checked),
            caller_connections_max: caller_connections_max.expect(checked),
            descriptors_max,
            memory_mb,
            drain_timeout_ms: drain_timeout_ms.expect(checked),
            log_format: log_format.expect(checked),
            log_level: log_level.expect(checked),
            config_file: None,
            explicit_values: self.explicit_values,
        })
    }

    /// Without a token only processes of the same machine may reach the listeners of peers and operators.
    fn require_token_beyond_loopback(
        &mut self,
        token: &MeshToken,
        listeners: [Option<SocketAddr>; 2],
    ) {
        let mut addresses = listeners.iter().flatten();
        if token.is_empty() && addresses.any(|address| !address.ip().is_loopback()) {
            self.add_problem(
                "mesh-token",
                "is required when --peer-listen or --operator-listen is not a loopback address",
            );
        }
    }

    fn value(&self, flag: &str) -> Option<String> {
        let explicit = self.explicit_values.0.get(flag).map(String::as_str);
        let text = explicit.unwrap_or(Spec::for_flag(flag).default);
        (!text.is_empty()).then(|| text.to_owned())
    }

    fn add_problem(&mut self, flag: &str, what: &str) {
        let variable = Spec::for_flag(flag).variable();
        self.problems.push(format!("--{flag} ({variable}): {what}"));
    }

    fn optional<T: FromStr>(&mut self, flag: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.value(flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_problem(flag, &format!("`{text}` is refused: {error}"));
                None
            }
        }
    }

    fn required<T: FromStr>(&mut self, flag: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        if self.value(flag).is_none() {
            self.add_problem(flag, "is required");
            return None;
        }
        self.optional(flag)
    }

    fn header_max_bytes(&mut self) -> Option<usize> {
        let flag = "caller-header-max-bytes";
        let bytes = self.required(flag)?;
        if bytes >= MIN_CALLER_HEADER_BYTES {
            return Some(bytes);
        }
        let what = format!("{bytes} is below {MIN_CALLER_HEADER_BYTES}");
        self.add_problem(flag, &what);
        None
    }

    fn required_name(&mut self, flag: &str) -> Option<String> {
        let name: String = self.required(flag)?;
        if is_name(&name) {
            return Some(name);
        }
        self.add_problem(flag, &format!("`{name}` is not a name"));
        None
    }

    fn required_url(&mut self, flag: &str) -> Option<String> {
        let url: String = self.required(flag)?;
        let host = url.strip_prefix("http://");
        if host.is_some_and(|host| !host.is_empty()) {
            return Some(url);
        }
        self.add_problem(flag, &format!("`{url}` does not start with http://"));
        None
    }

    fn address_list(&mut self, flag: &str) -> Vec<SocketAddr> {
        let text = self.value(flag).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(error) => self.add_problem(flag, &format!("`{part}` is refused: {error}")),
            }
        }
        addresses
    }

    fn backend_server(&mut self) -> Option<BackendServer> {
        let address = self.optional("backend-server");
        let service = self
            .value("service")
            .is_some()
            .then(|| self.required_name("service"));
        match (service.flatten(), address) {
            (Some(service), Some(address)) => Some(BackendServer {
                service: ServiceName::new(service),
                address,
            }),
            (Some(_), None) if self.value("backend-server").is_none() => {
                self.add_problem("service", "needs --backend-server as well");
                None
            }
            (None, Some(_)) if self.value("service").is_none() => {
                self.add_problem("backend-server", "needs --service as well");
                None
            }
            _ => None,
        }
    }
}
