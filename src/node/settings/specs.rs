//! The table of every setting of a node: flag, default, and the line of help for each.

use std::fmt::Debug;
use std::str::FromStr;

/// One setting: its flag, its environment variable, and what it is for.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Flag without dashes.
    pub flag: &'static str,
    /// Value placeholder for the help text.
    pub value: &'static str,
    /// Used when neither flag nor variable is given; empty for none.
    pub default: &'static str,
    /// What it is for.
    pub help: &'static str,
}

impl Spec {
    /// The environment variable: the flag in capitals behind a prefix.
    pub fn variable(&self) -> String {
        let upper = self.flag.to_uppercase().replace('-', "_");
        format!("DRAGONFLYWALL_{upper}")
    }

    /// The setting of a flag that the node reads.
    pub(crate) fn of(flag: &str) -> &'static Self {
        let found = SPECS.iter().find(|spec| spec.flag == flag);
        found.expect("every flag that is read has a spec")
    }
}

/// The default of a setting that has one.
pub(crate) fn default_of<T: FromStr<Err: Debug>>(flag: &str) -> T {
    let parsed = Spec::of(flag).default.parse();
    parsed.expect("defaults are of their setting's type")
}

/// Every setting of a node.
pub const SPECS: &[Spec] = &[
    Spec {
        flag: "config",
        value: "FILE",
        default: "",
        help: "settings file of the users' platform, in place of most others",
    },
    Spec {
        flag: "caller-listen",
        value: "ADDR",
        default: "127.0.0.1:0",
        help: "address for callers (HTTP/1.1 and HTTP/2)",
    },
    Spec {
        flag: "peer-listen",
        value: "ADDR",
        default: "127.0.0.1:0",
        help: "address for other nodes (control and data)",
    },
    Spec {
        flag: "operator-listen",
        value: "ADDR",
        default: "127.0.0.1:0",
        help: "address for /ready, /status, /metrics and commands",
    },
    Spec {
        flag: "peer-advertise",
        value: "ADDR",
        default: "",
        help: "peer address inside the data centre; also the node's identity (default: as bound)",
    },
    Spec {
        flag: "peer-external",
        value: "ADDR",
        default: "",
        help: "peer address from other data centres (default: as advertised)",
    },
    Spec {
        flag: "region",
        value: "NAME",
        default: "",
        help: "region that the VM stands in",
    },
    Spec {
        flag: "data-centre",
        value: "NAME",
        default: "",
        help: "data centre that the VM stands in",
    },
    Spec {
        flag: "platform",
        value: "URL",
        default: "",
        help: "the platform's table service and object store",
    },
    Spec {
        flag: "peer-seeds",
        value: "ADDR,...",
        default: "",
        help: "peer addresses to try besides those registered with the platform",
    },
    Spec {
        flag: "dial-from",
        value: "IP",
        default: "",
        help: "local address of outgoing connections (default: the system's choice)",
    },
    Spec {
        flag: "mesh-token",
        value: "SECRET",
        default: "",
        help: "secret of the mesh; SECRET,OLD while one replaces the other; better as a variable",
    },
    Spec {
        flag: "service",
        value: "NAME",
        default: "",
        help: "service of the VM's backend server (default: wait for its announcement)",
    },
    Spec {
        flag: "backend-server",
        value: "ADDR",
        default: "",
        help: "address of the VM's backend server (default: wait for its announcement)",
    },
    Spec {
        flag: "caller-header-max-bytes",
        value: "BYTES",
        default: "65536",
        help: "longest head of a caller's request (at least 8192)",
    },
    Spec {
        flag: "caller-header-timeout-ms",
        value: "MS",
        default: "30000",
        help: "longest wait for the head of a caller's next request",
    },
    Spec {
        flag: "caller-idle-timeout-ms",
        value: "MS",
        default: "60000",
        help: "longest time that a caller may neither send nor take a byte of a body",
    },
    Spec {
        flag: "caller-connections-max",
        value: "N",
        default: "1024",
        help: "most connections of one caller's address",
    },
    Spec {
        flag: "descriptors-max",
        value: "N",
        default: "",
        help: "descriptors of the process; callers' connections get most of them (default: the system's limit)",
    },
    Spec {
        flag: "memory-mb",
        value: "MB",
        default: "",
        help: "memory of the process, which bounds callers' connections (default: not limited)",
    },
    Spec {
        flag: "drain-timeout-ms",
        value: "MS",
        default: "600000",
        help: "longest wait for requests in flight when stopping",
    },
    Spec {
        flag: "stop-least-ms",
        value: "MS",
        default: "500",
        help: "shortest time for which callers are still served when stopping",
    },
    Spec {
        flag: "apply-within-ms",
        value: "MS",
        default: "15000",
        help: "time within which an accepted version is to be in force everywhere",
    },
    Spec {
        flag: "retry-percent",
        value: "PERCENT",
        default: "10",
        help: "retries of a service's requests, in percent of the first attempts",
    },
    Spec {
        flag: "link-kbit-per-s",
        value: "KBIT",
        default: "",
        help: "rate of the VM's link, by which large bodies are let in (default: fast)",
    },
    Spec {
        flag: "without",
        value: "NAME,...",
        default: "",
        help: "mechanisms to switch off in an emergency, see docs/reference/mechanisms.md",
    },
    Spec {
        flag: "log-format",
        value: "FORMAT",
        default: "text",
        help: "text or json",
    },
    Spec {
        flag: "log-level",
        value: "LEVEL",
        default: "info",
        help: "error, warn, info, debug or trace",
    },
];
