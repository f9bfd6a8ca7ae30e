//! Reads and validates the settings of a node from flags and environment variables.
//!
//! [`specs`] lists the settings. All values are checked before the node starts, and all problems are reported
//! together. On the users' platform most settings come from its settings file instead, see [`mod@file`].

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
use crate::decide::quota::QuotaLimits;
use crate::peer::client::DialOptions;
use crate::util::file_descriptors;

/// A result whose error is [`SettingsError`] by default.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// The settings are invalid. Displays one line for each problem.
#[derive(Debug, Snafu)]
#[snafu(display("{}", problems.join("\n")))]
pub struct SettingsError {
    /// The problems, each with the flag and the environment variable, or with the path of the settings file.
    pub problems: Vec<String>,
}

/// Lower bound of `caller-header-max-bytes`: the head of a request must fit in the read buffer of the HTTP library,
/// and this is the smallest size that the library allows for it.
const MIN_CALLER_HEADER_BYTES: usize = 8_192;

/// Lower bound of `quota-window-ms`: nodes hear of each other's requests several times within the span.
const MIN_QUOTA_WINDOW_MS: u64 = 2_000;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, to be read by people.
    Text,
    /// One JSON object per line, to be read by programs.
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

/// Validated settings of a node.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Interface for callers, backend servers, readiness checks and the store: the product's own or that of the
    /// users' platform.
    #[builder(default)]
    pub dialect: Dialect,
    /// Address on which callers connect.
    pub caller_listen: SocketAddr,
    /// Address on which other nodes connect.
    pub peer_listen: SocketAddr,
    /// Address on which operators and the local backend server connect.
    pub operator_listen: SocketAddr,
    /// Additional address for readiness checks, which the operator listener answers too.
    pub ready_listen: Option<SocketAddr>,
    /// Address on which the local backend server announces itself, if it is not the operator listener.
    pub announce_listen: Option<SocketAddr>,
    /// Address that other nodes of the data centre connect to; also the identity of the node. If none, the bound peer
    /// address.
    pub peer_advertise: Option<SocketAddr>,
    /// Address that nodes of other data centres connect to. If none, the one for the own data centre.
    pub peer_external: Option<SocketAddr>,
    /// Region and data centre of the VM.
    pub place: Place,
    /// Base URL of the platform's table service and object store.
    #[builder(into)]
    pub platform_url: String,
    /// Addresses of peers to contact at the start, besides those registered with the platform.
    #[builder(default)]
    pub peer_seeds: Vec<SocketAddr>,
    /// Local address of outgoing connections; chosen by the operating system if none.
    pub dial_from: Option<IpAddr>,
    /// Shared secret that authenticates nodes and operators to each other.
    #[builder(default)]
    pub mesh_token: MeshToken,
    /// The configured backend server of the VM. If none, its announcement names it.
    pub backend_server: Option<BackendServer>,
    /// Whether the configured backend server gets no requests before it has announced itself.
    #[builder(default)]
    pub backend_server_announces: bool,
    /// Longest head of a caller's request, in bytes.
    #[builder(default = default_value("caller-header-max-bytes"))]
    pub caller_header_max_bytes: usize,
    /// Longest wait for the head of a caller's next request, in milliseconds.
    #[builder(default = default_value("caller-header-timeout-ms"))]
    pub caller_header_timeout_ms: u64,
    /// Longest time in which a caller neither sends nor reads a byte of a body, in milliseconds.
    #[builder(default = default_value("caller-idle-timeout-ms"))]
    pub caller_idle_timeout_ms: u64,
    /// Most connections from one caller IP address.
    #[builder(default = default_value("caller-connections-max"))]
    pub caller_connections_max: u32,
    /// File descriptors that the process may open. If none, the limit of the operating system.
    pub descriptors_max: Option<u32>,
    /// Memory that the process may use, in megabytes. Not limited if none.
    pub memory_mb: Option<u32>,
    /// Longest wait for requests in flight at shutdown, in milliseconds.
    #[builder(default = default_value("drain-timeout-ms"))]
    pub drain_timeout_ms: u64,
    /// Shortest time for which callers are still served at shutdown, in milliseconds.
    #[builder(default = default_value("stop-least-ms"))]
    pub stop_least_ms: u64,
    /// Time within which all nodes are to enforce an accepted version, in milliseconds.
    #[builder(default = default_value("apply-within-ms"))]
    pub apply_within_ms: u64,
    /// Limit for retries of a service's requests by one node, in percent of the first attempts.
    #[builder(default = default_value("retry-percent"))]
    pub retry_percent: u32,
    /// Retries of a service's requests that are allowed beyond that percentage, for all nodes of the mesh together. If
    /// none, ten for each node.
    pub retry_reserve: Option<u32>,
    /// Share of a service's requests that a candidate version may get before it is known to be good, in percent.
    #[builder(default = default_value("rollout-exposure-percent"))]
    pub exposure_percent: u32,
    /// Longest time since the configuration was known to be the newest for which keys of organisations are accepted, in
    /// milliseconds. Not limited if none.
    pub key_freshness_ms: Option<u64>,
    /// Span over which the quotas of organisations are measured, in milliseconds.
    #[builder(default = default_value("quota-window-ms"))]
    pub quota_window_ms: u64,
    /// By how much an organisation's requests in a span may exceed its quota, in percent.
    #[builder(default = default_value("quota-overage-percent"))]
    pub quota_overage_percent: u32,
    /// Requests in a span that are tolerated in addition.
    #[builder(default = default_value("quota-slack"))]
    pub quota_slack: u32,
    /// Rate of the VM's network link in kilobits per second, by which large bodies are limited. Assumed to be fast if
    /// none.
    pub link_kbit_per_s: Option<u32>,
    /// Share of a core that the VM has, in percent. Assumed to be large if none.
    pub cpu_percent: Option<u32>,
    /// Whether the whole mesh starts for the first time, so that there are no rows of its nodes yet.
    #[builder(default)]
    pub is_first_start: bool,
    /// Mechanisms that an operator has switched off.
    #[builder(default)]
    pub disabled_mechanisms: MechanismSwitches,
    /// Format of log lines.
    #[builder(default = default_value("log-format"))]
    pub log_format: LogFormat,
    /// Most verbose level that is logged.
    #[builder(default = default_value("log-level"))]
    pub log_level: log::LevelFilter,
    /// Settings file that the settings were read from, if any.
    pub config_file: Option<PathBuf>,
    /// The values given by flags and environment variables, which override a reloaded settings file.
    #[builder(default)]
    pub explicit_values: ExplicitValues,
}

/// Values given by flags and environment variables, by flag.
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

/// A backend server: its service and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Name of the service that it provides.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
}

/// Settings that take effect without a restart when the settings file changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReloadableSettings {
    pub(crate) apply_within_ms: u64,
    pub(crate) drain_timeout_ms: u64,
    pub(crate) stop_least_ms: u64,
    pub(crate) retry_percent: u32,
    pub(crate) retry_reserve: Option<u32>,
    pub(crate) backend_server: Option<BackendServer>,
}

impl Settings {
    /// Returns the settings that take effect without a restart.
    pub(crate) fn reloadable(&self) -> ReloadableSettings {
        ReloadableSettings {
            apply_within_ms: self.apply_within_ms,
            drain_timeout_ms: self.drain_timeout_ms,
            stop_least_ms: self.stop_least_ms,
            retry_percent: self.retry_percent,
            retry_reserve: self.retry_reserve,
            backend_server: self.backend_server.clone(),
        }
    }

    /// Returns the limits for callers' connections, from the limits for descriptors, memory and one caller address.
    pub(crate) fn connection_limits(&self) -> ConnectionLimits {
        let descriptors = self
            .descriptors_max
            .unwrap_or_else(file_descriptors::soft_limit);
        ConnectionLimits::for_process(descriptors, self.memory_mb, self.caller_connections_max)
    }

    /// Returns what is tolerated beyond the quotas of organisations.
    pub(crate) fn quota_limits(&self) -> QuotaLimits {
        QuotaLimits {
            window_ms: self.quota_window_ms,
            overage_percent: self.quota_overage_percent,
            slack_requests: self.quota_slack,
        }
    }

    /// Returns the options for connections to other nodes.
    pub fn dial_options(&self) -> DialOptions {
        DialOptions {
            dial_from: self.dial_from,
            token: self.mesh_token.clone(),
        }
    }
}

/// Returns the help text for all settings.
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

/// Reads settings from `arguments` (flags) and `variable` (lookup of environment variables). Flags override variables.
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
                (None, _) => self
                    .problems
                    .push(format!("--{name} is not a known setting")),
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
        let exposure_percent = self.percentage("rollout-exposure-percent");
        let key_freshness_ms = self.optional("key-freshness-ms");
        let quota_window_ms = self.quota_window_ms();
        let quota_overage_percent = self.required("quota-overage-percent");
        let quota_slack = self.required("quota-slack");
        let link_kbit_per_s = self.optional("link-kbit-per-s");
        let cpu_percent = self.optional("cpu-percent");
        let disabled_mechanisms = self.optional("without").unwrap_or_default();
        let log_format = self.required("log-format");
        let log_level = self.required("log-level");
        if !self.problems.is_empty() {
            return Err(SettingsError {
                problems: self.problems,
            });
        }
        let checked = "a setting without problems has a value";
        Ok(Settings {
            dialect: Dialect::Native,
            ready_listen: None,
            announce_listen: None,
            backend_server_announces: false,
            retry_reserve: None,
            stop_least_ms: stop_least_ms.expect(checked),
            apply_within_ms: apply_within_ms.expect(checked),
            retry_percent: retry_percent.expect(checked),
            exposure_percent: exposure_percent.expect(checked),
            key_freshness_ms,
            quota_window_ms: quota_window_ms.expect(checked),
            quota_overage_percent: quota_overage_percent.expect(checked),
            quota_slack: quota_slack.expect(checked),
            link_kbit_per_s,
            cpu_percent,
            is_first_start: false,
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

    /// Reports a problem if there is no token and one of `listeners` is not on a loopback address: without a token only
    /// processes on the same VM may reach the peer and operator listeners.
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

    /// Returns the value of a setting: the given one, else its default. An empty value counts as none.
    fn value(&self, flag: &str) -> Option<String> {
        let explicit = self.explicit_values.0.get(flag).map(String::as_str);
        let text = explicit.unwrap_or(Spec::for_flag(flag).default);
        (!text.is_empty()).then(|| text.to_owned())
    }

    fn add_problem(&mut self, flag: &str, problem: &str) {
        let variable = Spec::for_flag(flag).variable();
        self.problems
            .push(format!("--{flag} ({variable}): {problem}"));
    }

    fn optional<T: FromStr>(&mut self, flag: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.value(flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_problem(flag, &format!("invalid value `{text}`: {error}"));
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

    /// A share of at least 1 % and at most all.
    fn percentage(&mut self, flag: &str) -> Option<u32> {
        let percent = self.required(flag)?;
        if (1..=100).contains(&percent) {
            return Some(percent);
        }
        self.add_problem(flag, &format!("{percent} is not from 1 to 100"));
        None
    }

    fn quota_window_ms(&mut self) -> Option<u64> {
        let flag = "quota-window-ms";
        let window_ms = self.required(flag)?;
        if window_ms >= MIN_QUOTA_WINDOW_MS {
            return Some(window_ms);
        }
        let problem = format!("{window_ms} is below the minimum of {MIN_QUOTA_WINDOW_MS}");
        self.add_problem(flag, &problem);
        None
    }

    fn header_max_bytes(&mut self) -> Option<usize> {
        let flag = "caller-header-max-bytes";
        let bytes = self.required(flag)?;
        if bytes >= MIN_CALLER_HEADER_BYTES {
            return Some(bytes);
        }
        let problem = format!("{bytes} is below the minimum of {MIN_CALLER_HEADER_BYTES}");
        self.add_problem(flag, &problem);
        None
    }

    fn required_name(&mut self, flag: &str) -> Option<String> {
        let name: String = self.required(flag)?;
        if is_name(&name) {
            return Some(name);
        }
        self.add_problem(flag, &format!("`{name}` is not a valid name: use at most 63 lower-case letters, digits and dashes, and start with a letter"));
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
                Err(error) => self.add_problem(flag, &format!("invalid address `{part}`: {error}")),
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
