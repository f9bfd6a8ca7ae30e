//! The table of all settings of a node: flag, default and help text of each.

use std::fmt::Debug;
use std::str::FromStr;

/// One setting, which can be given as a flag or as an environment variable.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Placeholder for the value in the help text.
    pub value_name: &'static str,
    /// Value if neither the flag nor the variable is given; empty if there is no default.
    pub default: &'static str,
    /// Description in the help text.
    pub help: &'static str,
}

impl Spec {
    /// Returns the name of the environment variable: `DRAGONFLYWALL_` and the flag in capitals.
    pub fn variable(&self) -> String {
        let upper = self.flag.to_uppercase().replace('-', "_");
        format!("DRAGONFLYWALL_{upper}")
    }

    /// Returns the setting of a flag. Panics if there is none.
    pub(crate) fn for_flag(flag: &str) -> &'static Self {
        let spec = SPECS.iter().find(|spec| spec.flag == flag);
        spec.expect("every flag that is read is in `SPECS`")
    }
}

/// Returns the parsed default of a setting. Panics if it has none of this type.
pub(crate) fn default_value<T: FromStr<Err: Debug>>(flag: &str) -> T {
    let parsed = Spec::for_flag(flag).default.parse();
    parsed.expect("the default has the type of its setting")
}

/// All settings of a node, in the order of the help text.
pub const SPECS: &[Spec] = &[
    Spec {
        flag: "config",
        value_name: "FILE",
        default: "",
        help: "settings file of the users' platform, in place of most others",
    },
    Spec {
        flag: "caller-listen",
        value_name: "ADDR",
        default: "127.0.0.1:0",
        help: "address for callers (HTTP/1.1 and HTTP/2)",
    },
    Spec {
        flag: "peer-listen",
        value_name: "ADDR",
        default: "127.0.0.1:0",
        help: "address for other nodes (control and data)",
    },
    Spec {
        flag: "operator-listen",
        value_name: "ADDR",
        default: "127.0.0.1:0",
        help: "address for /ready, /status, /metrics and commands",
    },
    Spec {
        flag: "peer-advertise",
        value_name: "ADDR",
        default: "",
        help: "peer address inside the data centre; also the node's identity (default: as bound)",
    },
    Spec {
        flag: "peer-external",
        value_name: "ADDR",
        default: "",
        help: "peer address from other data centres (default: as advertised)",
    },
    Spec {
        flag: "region",
        value_name: "NAME",
        default: "",
        help: "region that the VM stands in",
    },
    Spec {
        flag: "data-centre",
        value_name: "NAME",
        default: "",
        help: "data centre that the VM stands in",
    },
    Spec {
        flag: "platform",
        value_name: "URL",
        default: "",
        help: "the platform's table service and object store",
    },
    Spec {
        flag: "peer-seeds",
        value_name: "ADDR,...",
        default: "",
        help: "peer addresses to try besides those registered with the platform",
    },
    Spec {
        flag: "dial-from",
        value_name: "IP",
        default: "",
        help: "local address of outgoing connections (default: the system's choice)",
    },
    Spec {
        flag: "mesh-token",
        value_name: "SECRET",
        default: "",
        help: "secret of the mesh; SECRET,OLD while one replaces the other; better as a variable",
    },
    Spec {
        flag: "service",
        value_name: "NAME",
        default: "",
        help: "service of the VM's backend server (default: wait for its announcement)",
    },
    Spec {
        flag: "backend-server",
        value_name: "ADDR",
        default: "",
        help: "address of the VM's backend server (default: wait for its announcement)",
    },
    Spec {
        flag: "caller-header-max-bytes",
        value_name: "BYTES",
        default: "65536",
        help: "longest head of a caller's request (at least 8192)",
    },
    Spec {
        flag: "caller-header-timeout-ms",
        value_name: "MS",
        default: "30000",
        help: "longest wait for the head of a caller's next request",
    },
    Spec {
        flag: "caller-idle-timeout-ms",
        value_name: "MS",
        default: "60000",
        help: "longest time that a caller may neither send nor take a byte of a body",
    },
    Spec {
        flag: "caller-connections-max",
        value_name: "N",
        default: "1024",
        help: "most connections of one caller's address",
    },
    Spec {
        flag: "descriptors-max",
        value_name: "N",
        default: "",
        help: "descriptors of the process; callers' connections get most of them (default: the system's limit)",
    },
    Spec {
        flag: "memory-mb",
        value_name: "MB",
        default: "",
        help: "memory of the process, which bounds callers' connections (default: not limited)",
    },
    Spec {
        flag: "drain-timeout-ms",
        value_name: "MS",
        default: "600000",
        help: "longest wait for requests in flight when stopping",
    },
    Spec {
        flag: "stop-least-ms",
        value_name: "MS",
        default: "500",
        help: "shortest time for which callers are still served when stopping",
    },
    Spec {
        flag: "apply-within-ms",
        value_name: "MS",
        default: "15000",
        help: "time within which an accepted version is to be in force everywhere",
    },
    Spec {
        flag: "retry-percent",
        value_name: "PERCENT",
        default: "10",
        help: "retries of a service's requests, in percent of the first attempts",
    },
    Spec {
        flag: "rollout-exposure-percent",
        value_name: "PERCENT",
        default: "10",
        help: "share of a service's requests for a version that is not known to be good, 1 to 100",
    },
    Spec {
        flag: "key-freshness-ms",
        value_name: "MS",
        default: "",
        help: "time for which a key that was taken away may still be accepted (default: not limited)",
    },
    Spec {
        flag: "quota-window-ms",
        value_name: "MS",
        default: "5000",
        help: "span over which quotas of organisations are measured (at least 2000)",
    },
    Spec {
        flag: "quota-overage-percent",
        value_name: "PERCENT",
        default: "10",
        help: "requests in a span that are tolerated beyond a quota, in percent of it",
    },
    Spec {
        flag: "quota-slack",
        value_name: "N",
        default: "20",
        help: "requests in a span that are tolerated in addition",
    },
    Spec {
        flag: "link-kbit-per-s",
        value_name: "KBIT",
        default: "",
        help: "rate of the VM's link, by which large bodies are let in (default: fast)",
    },
    Spec {
        flag: "cpu-percent",
        value_name: "PERCENT",
        default: "",
        help: "share of a core that the VM has; large VMs do the work for others (default: not known)",
    },
    Spec {
        flag: "without",
        value_name: "NAME,...",
        default: "",
        help: "mechanisms to switch off in an emergency, see docs/reference/mechanisms.md",
    },
    Spec {
        flag: "log-format",
        value_name: "FORMAT",
        default: "text",
        help: "text or json",
    },
    Spec {
        flag: "log-level",
        value_name: "LEVEL",
        default: "info",
        help: "error, warn, info, debug or trace",
    },
];
