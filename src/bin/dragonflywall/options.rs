//! Options shared by several commands, such as the addresses of the platform and of nodes.

use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dragonflywall::core::names::{TeamName, is_name};
use dragonflywall::core::version::Version;
use dragonflywall::ops::operator_client::OperatorEndpoint;
use dragonflywall::store::http::HttpStore;
use dragonflywall::store::retrying::Retrying;
use lexopt::{Parser, ValueExt};
use serde::Serialize;

use crate::cli::{Failure, Result, mesh_token};

/// Help text of `--platform`; the constants that follow are the help texts of other shared options.
pub(crate) const PLATFORM_HELP: &str =
    "\x20 --platform URL       the platform [DRAGONFLYWALL_PLATFORM]\n";
pub(crate) const NODE_HELP: &str = "\x20 --node ADDR          operator address of any node [DRAGONFLYWALL_NODE]; the mesh's secret\n\
     \x20                      comes from DRAGONFLYWALL_MESH_TOKEN alone\n";
pub(crate) const NODES_HELP: &str = "\x20 --node ADDR,...      operator addresses of nodes [DRAGONFLYWALL_NODE]. One is enough; one in\n\
     \x20                      each data centre gives its figures some seconds earlier. The mesh's\n\
     \x20                      secret comes from DRAGONFLYWALL_MESH_TOKEN alone\n";
pub(crate) const JSON_HELP: &str = "\x20 --json               for scripts\n";
pub(crate) const OPERATOR_HELP: &str =
    "\x20 --operator NAME      who does it, for the audit trail [DRAGONFLYWALL_OPERATOR, USER]\n";
pub(crate) const LIMIT_HELP: &str =
    "\x20 --wait-limit-ms MS   longest wait [DRAGONFLYWALL_WAIT_LIMIT_MS, default 60000]\n";

/// Default of `--wait-limit-ms`. A configuration must be enforced everywhere within 15 s, so a
/// longer wait indicates a fault, and the limit reports it to the operator within a minute.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Options shared by several commands. Flags override environment variables.
#[derive(Debug)]
pub(crate) struct CommonOptions {
    platform: Option<String>,
    node: Option<String>,
    operator: Option<String>,
    wait_limit_ms: Option<String>,
    pub(crate) json: bool,
}

impl CommonOptions {
    pub(crate) fn from_environment() -> Self {
        let variable = |name: &str| std::env::var(name).ok();
        Self {
            platform: variable("DRAGONFLYWALL_PLATFORM"),
            node: variable("DRAGONFLYWALL_NODE"),
            operator: variable("DRAGONFLYWALL_OPERATOR").or_else(|| variable("USER")),
            wait_limit_ms: variable("DRAGONFLYWALL_WAIT_LIMIT_MS"),
            json: false,
        }
    }

    /// Parses the value of the flag `name`, or returns a usage error if it is not a shared option.
    pub(crate) fn parse_flag(&mut self, name: &str, parser: &mut Parser) -> Result {
        let option = match name {
            "json" => {
                self.json = true;
                return Ok(());
            }
            "platform" => &mut self.platform,
            "node" => &mut self.node,
            "operator" => &mut self.operator,
            "wait-limit-ms" => &mut self.wait_limit_ms,
            _ => return Err(Failure::Usage(format!("--{name} is not an option"))),
        };
        *option = Some(parser.value()?.string()?);
        Ok(())
    }

    pub(crate) fn platform(&self) -> Result<Retrying<HttpStore>> {
        let url = require("platform", self.platform.as_deref())?;
        if !url.starts_with("http://") {
            let text = format!("--platform `{url}` does not start with http://");
            return Err(Failure::Usage(text));
        }
        Ok(Retrying(HttpStore::new(url, None)))
    }

    pub(crate) fn node(&self) -> Result<OperatorEndpoint> {
        Ok(OperatorEndpoint {
            address: parse_value("node", require("node", self.node.as_deref())?)?,
            token: mesh_token()?,
        })
    }

    /// Parses the comma-separated addresses of one or more nodes.
    pub(crate) fn nodes(&self) -> Result<Vec<OperatorEndpoint>> {
        let token = mesh_token()?;
        let addresses = require("node", self.node.as_deref())?.split(',');
        let endpoints = addresses.map(|address| {
            Ok(OperatorEndpoint {
                address: parse_value("node", address.trim())?,
                token: token.clone(),
            })
        });
        endpoints.collect()
    }

    /// The name of the operator. It is required because the audit trail must record who made each
    /// change.
    pub(crate) fn operator(&self) -> Result<&str> {
        require("operator", self.operator.as_deref())
    }

    pub(crate) fn wait_limit(&self) -> Result<Duration> {
        match &self.wait_limit_ms {
            None => Ok(WAIT_LIMIT),
            Some(text) => parse_value("wait-limit-ms", text).map(Duration::from_millis),
        }
    }
}

fn require<'a>(flag: &str, value: Option<&'a str>) -> Result<&'a str> {
    value.ok_or_else(|| Failure::Usage(format!("--{flag} is required")))
}

fn parse_value<T: FromStr>(flag: &str, text: &str) -> Result<T>
where
    T::Err: std::fmt::Display,
{
    let value = text.parse();
    value.map_err(|error| Failure::Usage(format!("invalid value `{text}` for --{flag}: {error}")))
}

/// Reads and parses the value of a flag.
pub(crate) fn value<T: FromStr>(flag: &str, parser: &mut Parser) -> Result<T>
where
    T::Err: std::fmt::Display,
{
    parse_value(flag, &parser.value()?.string()?)
}

/// Reads the value of a flag that is a version number.
pub(crate) fn version(flag: &str, parser: &mut Parser) -> Result<Version> {
    value(flag, parser).map(Version)
}

/// Reads the value of a flag that is a team name.
pub(crate) fn team(flag: &str, parser: &mut Parser) -> Result<TeamName> {
    let name: String = value(flag, parser)?;
    if !is_name(&name) {
        let text = format!("--{flag} `{name}` is not a valid name");
        return Err(Failure::Usage(text));
    }
    Ok(TeamName::new(name))
}

/// Prints `value` as indented JSON.
pub(crate) fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("printed values always encode as JSON");
    println!("{text}");
}

/// Prints `value` as one line of JSON, for commands that print several values.
pub(crate) fn print_json_line(value: &impl Serialize) {
    let text = serde_json::to_string(value).expect("printed values always encode as JSON");
    println!("{text}");
}

/// The current time in milliseconds since the epoch.
pub(crate) fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
