//! A configuration compiled for lookup: which request goes to which resource.
//!
//! [`RouteTable::compile`] is also the closure check: it refuses a configuration in which a route
//! or a call points at something that the configuration does not hold. A table therefore never
//! has a dangling route, and a node that holds a table can serve every route in it.

use std::collections::HashMap;

use snafu::{OptionExt, Snafu, ensure};

use crate::core::configuration::{Configuration, RouteRecord, Target, Treatment};
use crate::core::names::{ResourceName, ServiceName, TeamName};

/// Result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a configuration cannot be enforced. None of it is.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A route or call names a service that no team offers.
    #[snafu(display("team `{team}` refers to service `{service}`, which no team offers"))]
    NoSuchService {
        /// Team of the reference.
        team: TeamName,
        /// The missing service.
        service: ServiceName,
    },
    /// A route or call names a resource that its service does not have.
    #[snafu(display(
        "team `{team}` refers to resource `{resource}`, which service `{service}` does not have"
    ))]
    NoSuchResource {
        /// Team of the reference.
        team: TeamName,
        /// The service.
        service: ServiceName,
        /// The missing resource.
        resource: ResourceName,
    },
    /// Two teams offer one service.
    #[snafu(display("service `{service}` is offered by both `{first}` and `{second}`"))]
    OfferedTwice {
        /// The service.
        service: ServiceName,
        /// One team.
        first: TeamName,
        /// The other.
        second: TeamName,
    },
}

/// One compiled route.
#[derive(Clone, Debug)]
pub struct Route {
    /// As published.
    pub record: RouteRecord,
    /// Treatment of the target, found at compile time.
    pub treatment: Treatment,
}

/// All routes of a configuration, by the service that a request names.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_service: HashMap<ServiceName, Vec<Route>>,
}

impl RouteTable {
    /// Compiles `configuration`, or says which reference does not close.
    pub fn compile(configuration: &Configuration) -> Result<Self> {
        check_single_owner(configuration)?;
        check_calls(configuration)?;
        let mut by_service = HashMap::new();
        for (team, record) in &configuration.teams {
            for (service, offered) in &record.services {
                let mut routes = Vec::with_capacity(offered.routes.len());
                for route in &offered.routes {
                    let treatment = resolve(configuration, team, &route.target)?.clone();
                    routes.push(Route {
                        record: route.clone(),
                        treatment,
                    });
                }
                // Longest path first, so the first match is the most specific.
                routes.sort_by_key(|route| std::cmp::Reverse(route.record.path.len()));
                by_service.insert(service.clone(), routes);
            }
        }
        Ok(Self { by_service })
    }

    /// Whether the table knows the service.
    pub fn has_service(&self, service: &str) -> bool {
        self.by_service.contains_key(service)
    }

    /// The most specific route for a request, if any.
    pub fn find(&self, service: &str, method: &str, path: &str) -> Option<&Route> {
        let routes = self.by_service.get(service)?;
        routes
            .iter()
            .find(|route| matches(&route.record, method, path))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
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

fn check_single_owner(configuration: &Configuration) -> Result<()> {
    let mut owner: HashMap<&ServiceName, &TeamName> = HashMap::new();
    for (team, record) in &configuration.teams {
        for service in record.services.keys() {
            if let Some(first) = owner.insert(service, team) {
                return OfferedTwiceSnafu {
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

fn check_calls(configuration: &Configuration) -> Result<()> {
    for (team, record) in &configuration.teams {
        for (service, resources) in &record.calls {
            for resource in resources {
                let target = Target {
                    service: service.clone(),
                    resource: resource.clone(),
                };
                resolve(configuration, team, &target)?;
            }
        }
    }
    Ok(())
}

fn resolve<'a>(
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
