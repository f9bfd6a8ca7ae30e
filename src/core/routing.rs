//! The route table: a configuration compiled for looking up the targets of a request.
//!
//! [`RouteTable::compile`] also checks referential integrity: it rejects a configuration in which a
//! route or a call refers to a service or resource that the configuration does not contain. A
//! compiled table therefore has no route without a target.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, Ordering};

use snafu::{OptionExt, Snafu, ensure};

use crate::core::configuration::{Configuration, RouteRecord, Target, Treatment};
use crate::core::names::{OrganisationName, ResourceName, ServiceName, TeamName};
use crate::core::organisation::{Conflict, OrganisationTable};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a configuration was rejected. No part of a rejected configuration is enforced.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A route or call names a service that no team offers.
    #[snafu(display("team `{team}` refers to service `{service}`, which no team offers"))]
    NoSuchService {
        /// The team whose record contains the reference.
        team: TeamName,
        /// The missing service.
        service: ServiceName,
    },
    /// A route or call names a resource that its service does not have.
    #[snafu(display(
        "team `{team}` refers to resource `{resource}`, which service `{service}` does not have"
    ))]
    NoSuchResource {
        /// The team whose record contains the reference.
        team: TeamName,
        /// The service that lacks the resource.
        service: ServiceName,
        /// The missing resource.
        resource: ResourceName,
    },
    /// Two teams offer the same service.
    #[snafu(display("service `{service}` is offered by both `{first}` and `{second}`"))]
    DuplicateService {
        /// The service that both teams offer.
        service: ServiceName,
        /// One of the two teams.
        first: TeamName,
        /// The other team.
        second: TeamName,
    },
    /// Two routes match the same requests.
    #[snafu(display("team `{team}` has a route for {host}{path} that duplicates another route"))]
    DuplicateRoute {
        /// Team of the second route.
        team: TeamName,
        /// Host name that both routes match.
        host: String,
        /// Path prefix that both routes match.
        path: String,
    },
    /// Two teams define an organisation of the same name.
    #[snafu(display(
        "team `{team}` defines organisation `{organisation}`, which another team defines too"
    ))]
    DuplicateOrganisation {
        /// Team of the second definition.
        team: TeamName,
        /// Name of the organisation.
        organisation: OrganisationName,
    },
    /// Two organisations have the same key.
    #[snafu(display("organisations `{first}` and `{second}` share the key with digest {key}.."))]
    SharedKey {
        /// One of the organisations.
        first: OrganisationName,
        /// The other organisation.
        second: OrganisationName,
        /// First digits of the key's digest.
        key: String,
    },
    /// Two teams set the limits for callers.
    #[snafu(display("caller limits are set by both `{first}` and `{second}`"))]
    DuplicateCallerLimits {
        /// One of the two teams.
        first: TeamName,
        /// The other team.
        second: TeamName,
    },
}

impl From<Conflict> for Error {
    fn from(conflict: Conflict) -> Self {
        match conflict {
            Conflict::Name { organisation, team } => {
                Self::DuplicateOrganisation { team, organisation }
            }
            Conflict::Key { key, first, second } => Self::SharedKey { first, second, key },
        }
    }
}

/// A route whose targets have been resolved.
#[derive(Debug)]
pub struct Route {
    /// The route as published.
    pub record: RouteRecord,
    /// Targets among which the requests are divided; never empty.
    pub targets: Vec<ResolvedTarget>,
    /// Number of the next request. It starts at a random value, so that the nodes do not choose
    /// targets in the same sequence.
    request_counter: AtomicU32,
}

impl Route {
    /// Counts a request and returns its number, by which [`crate::decide::split`] chooses a target.
    pub fn next_request_number(&self) -> u32 {
        self.request_counter.fetch_add(1, Ordering::Relaxed)
    }
}

/// A target of a route with the treatment of its resource.
#[derive(Clone, Debug)]
pub struct ResolvedTarget {
    /// The service that executes the requests.
    pub service: ServiceName,
    /// The resource of that service.
    pub resource: ResourceName,
    /// Share of the route's requests, relative to the weights of its other targets.
    pub weight: u32,
    /// Treatment of the resource, looked up when the table is compiled.
    pub treatment: Treatment,
}

/// All routes of a configuration, indexed by host name.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Route>>,
    organisations: Option<OrganisationTable>,
}

impl RouteTable {
    /// Compiles `configuration`. The error names the first invalid reference or duplicate.
    pub fn compile(configuration: &Configuration) -> Result<Self> {
        check_duplicate_services(configuration)?;
        check_duplicate_caller_limits(configuration)?;
        check_calls(configuration)?;
        check_duplicate_routes(configuration)?;
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for (team, record) in &configuration.teams {
            for (service, service_record) in &record.services {
                // A service without routes gets an entry as well, so that a request to it is refused
                // with "no route" instead of "no service".
                by_host.entry(service.as_str().to_owned()).or_default();
                for route in &service_record.routes {
                    let compiled = Route {
                        record: route.clone(),
                        targets: resolve_targets(configuration, team, route)?,
                        request_counter: AtomicU32::new(rand::random()),
                    };
                    let host = host_of(service, route);
                    by_host.entry(host.to_owned()).or_default().push(compiled);
                }
            }
        }
        for routes in by_host.values_mut() {
            // With the longest path first, the first match is the most specific one.
            routes.sort_by_key(|route| std::cmp::Reverse(route.record.path.len()));
        }
        Ok(Self {
            by_host,
            organisations: OrganisationTable::compile(configuration)?,
        })
    }

    /// The organisations whose keys requests need; `None` if requests need no key.
    pub fn organisations(&self) -> Option<&OrganisationTable> {
        self.organisations.as_ref()
    }

    /// Whether the table contains `host`, which is the name of a service or the host of a route.
    pub fn has_host(&self, host: &str) -> bool {
        self.by_host.contains_key(host)
    }

    /// Finds the most specific route that matches a request.
    pub fn find(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        routes
            .iter()
            .find(|route| matches(&route.record, method, path))
    }

    /// Number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether no host has a route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn host_of<'a>(service: &'a ServiceName, route: &'a RouteRecord) -> &'a str {
    match &route.host {
        Some(host) => host.as_str(),
        None => service.as_str(),
    }
}

fn resolve_targets(
    configuration: &Configuration,
    team: &TeamName,
    route: &RouteRecord,
) -> Result<Vec<ResolvedTarget>> {
    let resolved_target = |target: &Target, weight| {
        Ok(ResolvedTarget {
            service: target.service.clone(),
            resource: target.resource.clone(),
            weight,
            treatment: find_treatment(configuration, team, target)?.clone(),
        })
    };
    if route.split.is_empty() {
        return Ok(vec![resolved_target(&route.target, 1)?]);
    }
    let weighted_targets = route.split.iter();
    weighted_targets
        .map(|weighted| resolved_target(&weighted.target, weighted.weight))
        .collect()
}

fn matches(record: &RouteRecord, method: &str, path: &str) -> bool {
    let method_matches = record.methods.is_empty() || record.methods.contains(method);
    method_matches && path_matches(&record.path, path)
}

fn path_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

fn check_duplicate_services(configuration: &Configuration) -> Result<()> {
    let mut owners: HashMap<&ServiceName, &TeamName> = HashMap::new();
    for (team, record) in &configuration.teams {
        for service in record.services.keys() {
            if let Some(first) = owners.insert(service, team) {
                return DuplicateServiceSnafu {
                    service: service.clone(),
                    first: first.clone(),
                    second: team.clone(),
                }
                .fail();
            }
        }
    }
    Ok(())
}

fn check_duplicate_caller_limits(configuration: &Configuration) -> Result<()> {
    let teams = configuration.teams.iter();
    let mut teams_with_limits = teams.filter(|(_, record)| record.caller_limits.is_some());
    let (Some((first, _)), Some((second, _))) =
        (teams_with_limits.next(), teams_with_limits.next())
    else {
        return Ok(());
    };
    DuplicateCallerLimitsSnafu {
        first: first.clone(),
        second: second.clone(),
    }
    .fail()
}

/// Rejects two routes for all methods that name the same host and path. The order of the teams would
/// decide which of the two applies, and the treatment of a payment must not depend on that. Routes
/// with a list of methods are compared only within one file, where the order of methods is known.
fn check_duplicate_routes(configuration: &Configuration) -> Result<()> {
    let mut seen: HashSet<(&str, &str)> = HashSet::new();
    for (team, record) in &configuration.teams {
        for (service, service_record) in &record.services {
            let routes_with_host = service_record
                .routes
                .iter()
                .filter(|route| route.host.is_some());
            for route in routes_with_host.filter(|route| route.methods.is_empty()) {
                let host = host_of(service, route);
                let is_new = seen.insert((host, &route.path));
                ensure!(
                    is_new,
                    DuplicateRouteSnafu {
                        team: team.clone(),
                        host,
                        path: &route.path,
                    }
                );
            }
        }
    }
    Ok(())
}

fn check_calls(configuration: &Configuration) -> Result<()> {
    for (team, record) in &configuration.teams {
        for (service, resources) in &record.calls {
            for resource in resources {
                let target = Target {
                    service: service.clone(),
                    resource: resource.clone(),
                };
                find_treatment(configuration, team, &target)?;
            }
        }
    }
    Ok(())
}

fn find_treatment<'a>(
    configuration: &'a Configuration,
    team: &TeamName,
    target: &Target,
) -> Result<&'a Treatment> {
    let service = configuration
        .service(&target.service)
        .context(NoSuchServiceSnafu {
            team: team.clone(),
            service: target.service.clone(),
        })?;
    let treatment = service.resources.get(&target.resource);
    ensure!(
        treatment.is_some(),
        NoSuchResourceSnafu {
            team: team.clone(),
            service: target.service.clone(),
            resource: target.resource.clone(),
        }
    );
    Ok(treatment.expect("checked above"))
}
