//! Decoder for the settings file that the users' platform gives a node.
//!
//! | key | meaning |
//! |---|---|
//! | `ip`, `zone`, `region` | the VM's address, data centre and region |
//! | `service`, `appAddr` | service and address of the VM's backend server |
//! | `listen.outbound` | address for requests of callers on the VM, including its backend server |
//! | `listen.inbound` | address for connections of other nodes; the platform itself does not use it |
//! | `listen.ready` | address for readiness probes |
//! | `listen.control` | address for announcements of the VM's backend server |
//! | `seeds` | `listen.control` addresses of other VMs; some may be outdated |
//! | `platform.address` | address of the store |
//! | `limits.linkMbps` | bandwidth of the VM's link in each direction, in Mbit/s |
//! | `limits.maxFds` | number of file descriptors that the process may open |
//! | `limits.memoryMb` | memory that the process may use, in MB |
//! | `limits.cpuShare` | share of a core that the process may use |
//! | `bootstrap` | whether the whole mesh starts for the first time |
//! | `bounds` | limits that the users set for a node, as a list of `name=value` |
//!
//! Unknown keys are ignored, because the platform may add new ones.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use toml::{Table, Value};

use super::duration::parse_ms;
use crate::core::dialect::Dialect;
use crate::core::member::Place;
use crate::core::names::{DataCentreName, RegionName, ServiceName};
use crate::node::settings::{BackendServer, LogFormat, Settings};

/// Port of the operator listener. The settings file has none; this is the port that
/// `deploy/system.toml` gives for metrics.
const OPERATOR_PORT: u16 = 9464;

/// Part of the grace period that is reserved for shutting down after the requests have drained, in
/// milliseconds. The grace period lasts from the stop signal to the kill.
const EXIT_MARGIN_MS: u64 = 500;

/// Shortest time that a stopping node goes on serving callers, in milliseconds. The platform probes
/// readiness once a second and needs two failed probes, so new callers arrive for up to two seconds.
const MIN_SERVING_MS: u64 = 2_200;

/// Result of decoding a settings file. The error lists all problems of the file, one string each.
pub(crate) type Result<T, E = Vec<String>> = std::result::Result<T, E>;

/// Decodes the text of a settings file.
pub(crate) fn decode(text: &str) -> Result<Settings> {
    let table = text
        .parse::<Table>()
        .map_err(|error| vec![format!("invalid TOML: {}", error.message())])?;
    let mut reader = SettingsReader {
        table: &table,
        problems: Vec::new(),
    };
    let settings = reader.settings();
    match settings.filter(|_| reader.problems.is_empty()) {
        Some(settings) => Ok(settings),
        None => Err(reader.problems),
    }
}

/// Reads values by key and collects the problems of missing and invalid ones.
struct SettingsReader<'a> {
    table: &'a Table,
    problems: Vec<String>,
}

impl SettingsReader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        let ip: Option<IpAddr> = self.parsed(&["ip"]);
        let caller_listen: Option<SocketAddr> = self.parsed(&["listen", "outbound"]);
        let peer_listen: Option<SocketAddr> = self.parsed(&["listen", "inbound"]);
        let ready_listen = self.parsed(&["listen", "ready"]);
        let announce_listen = self.parsed(&["listen", "control"]);
        let region = self.string(&["region"]);
        let data_centre = self.string(&["zone"]);
        let store_address: Option<SocketAddr> = self.parsed(&["platform", "address"]);
        let service = self.string(&["service"]);
        let backend_server = self.parsed(&["appAddr"]);
        let seeds = self.seeds(peer_listen);
        let bounds = self.bounds();
        let grace_ms = bounds.duration_ms("grace").unwrap_or(DEFAULT_GRACE_MS);
        let settings = Settings::builder()
            .dialect(Dialect::Platform)
            .caller_listen(caller_listen?)
            .peer_listen(peer_listen?)
            .operator_listen(SocketAddr::new(ip?, OPERATOR_PORT))
            .ready_listen(ready_listen?)
            .announce_listen(announce_listen?)
            .place(Place {
                region: RegionName::new(region?),
                data_centre: DataCentreName::new(data_centre?),
            })
            .platform_url(format!("http://{}", store_address?))
            .peer_seeds(seeds)
            .backend_server(BackendServer {
                service: ServiceName::new(service?),
                address: backend_server?,
            })
            .backend_server_announces(true)
            .drain_timeout_ms(grace_ms.saturating_sub(EXIT_MARGIN_MS))
            .stop_least_ms(MIN_SERVING_MS.min(grace_ms / 2))
            .maybe_apply_within_ms(bounds.duration_ms("configApply"))
            .maybe_retry_percent(bounds.percent("retryBudgetRatio"))
            .maybe_retry_reserve(bounds.integer("budgetExtra"))
            .maybe_exposure_percent(bounds.exposure_percent())
            .maybe_key_freshness_ms(bounds.key_freshness_ms())
            .maybe_quota_window_ms(bounds.duration_ms("quotaWindow"))
            .maybe_quota_overage_percent(bounds.percent("quotaOverage"))
            .maybe_quota_slack(bounds.integer("quotaSlack"))
            .maybe_link_kbit_per_s(self.link_kbit_per_s())
            // This limit applies to each caller address, and all callers on a VM share one address.
            .caller_connections_max(u32::MAX)
            .maybe_descriptors_max(self.limit("maxFds"))
            .maybe_memory_mb(self.limit("memoryMb"))
            .maybe_cpu_percent(self.cpu_percent())
            .is_first_start(self.flag("bootstrap"))
            .log_format(LogFormat::Json)
            .build();
        Some(settings)
    }

    fn value(&self, path: &[&str]) -> Option<&Value> {
        let (key, tables) = path.split_last()?;
        let mut table = self.table;
        for name in tables {
            table = table.get(*name)?.as_table()?;
        }
        table.get(*key)
    }

    /// An optional truth value; false if it is missing or has another type.
    fn flag(&self, name: &str) -> bool {
        let value = self.value(&[name]).and_then(Value::as_bool);
        value.unwrap_or(false)
    }

    /// A required string. Adds a problem if it is missing or has another type.
    fn string(&mut self, path: &[&str]) -> Option<String> {
        let value = self.value(path);
        let text = value.and_then(Value::as_str).map(str::to_owned);
        let problem = match value {
            None => "is missing",
            Some(_) => "is not a string",
        };
        if text.is_none() {
            self.problems
                .push(format!("`{}` {problem}", path.join(".")));
        }
        text
    }

    /// A required string that parses as a `T`. Adds a problem if it doesn't.
    fn parsed<T: FromStr>(&mut self, path: &[&str]) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.string(path)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let name = path.join(".");
                self.problems.push(format!("`{name}` = `{text}`: {error}"));
                None
            }
        }
    }

    /// Peer addresses of the seed VMs. A seed is a `listen.control` address; its port is replaced by this
    /// node's own peer port, because all VMs use the same ports.
    fn seeds(&mut self, peer_listen: Option<SocketAddr>) -> Vec<SocketAddr> {
        let port = peer_listen.map_or(0, |address| address.port());
        let mut seeds = Vec::new();
        let entries = self.value(&["seeds"]).and_then(Value::as_array);
        for seed in entries.into_iter().flatten() {
            match seed
                .as_str()
                .and_then(|text| text.parse::<SocketAddr>().ok())
            {
                Some(address) => seeds.push(SocketAddr::new(address.ip(), port)),
                // Seeds are only hints: peers are also found through the store.
                None => {
                    log::warn!(seed:? = seed.to_string(); "ignoring a seed that is not a socket address")
                }
            }
        }
        seeds
    }

    /// Bandwidth of the VM's link. The file has it in Mbit/s, usually with a fraction.
    fn link_kbit_per_s(&self) -> Option<u32> {
        let value = self.value(&["limits", "linkMbps"])?;
        let whole = value.as_integer().map(|mbit| mbit as f64);
        let mbit = value.as_float().or(whole)?;
        (mbit > 0.0).then_some((mbit * 1_000.0) as u32)
    }

    /// Share of a core that the VM has, in percent. The file has it as a fraction.
    fn cpu_percent(&self) -> Option<u32> {
        let value = self.value(&["limits", "cpuShare"])?;
        let whole = value.as_integer().map(|cores| cores as f64);
        let cores = value.as_float().or(whole)?;
        (cores > 0.0).then_some((cores * 100.0).round() as u32)
    }

    /// A positive integer below `limits`; `None` if it is missing, zero or anything else.
    fn limit(&self, name: &str) -> Option<u32> {
        let number = self.value(&["limits", name])?.as_integer()?;
        u32::try_from(number).ok().filter(|number| *number > 0)
    }

    fn bounds(&self) -> Bounds {
        let entries = self.value(&["bounds"]).and_then(Value::as_array);
        let texts = entries.into_iter().flatten().filter_map(Value::as_str);
        let pairs = texts.filter_map(|text| text.split_once('='));
        Bounds(
            pairs
                .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                .collect(),
        )
    }
}

/// Grace period from the stop signal to the kill if the file does not set one, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 6_000;

/// Names and values of `bounds`. For a value that is missing or invalid, dragonflywall's default applies.
struct Bounds(Vec<(String, String)>);

impl Bounds {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(bound_name, _)| bound_name == name);
        found.map(|(_, value)| value.as_str())
    }

    fn duration_ms(&self, name: &str) -> Option<u64> {
        parse_ms(self.get(name)?)
    }

    fn integer(&self, name: &str) -> Option<u32> {
        self.get(name)?.parse().ok()
    }

    /// How long a key that was taken away may still be accepted, if that is limited for all nodes.
    fn key_freshness_ms(&self) -> Option<u64> {
        let is_limited = self.get("strictRevoke") == Some("true");
        self.duration_ms("revoke").filter(|_| is_limited)
    }

    /// Share of a service's requests for a version that is not known to be good, in percent.
    fn exposure_percent(&self) -> Option<u32> {
        let percent = self.percent("exposureShare")?;
        (1..=100).contains(&percent).then_some(percent)
    }

    /// A fraction such as `0.2`, in percent.
    fn percent(&self, name: &str) -> Option<u32> {
        let share: f64 = self.get(name)?.parse().ok()?;
        (0.0..=10.0)
            .contains(&share)
            .then(|| (share * 100.0).round() as u32)
    }
}
