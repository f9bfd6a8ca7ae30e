//! Checks of routes: hosts, paths, methods and targets.

use toml::Spanned;

use super::super::raw::{RawRoute, RawService, RawWeightedTarget};
use super::super::{WEIGHT_MAX, line_at};
use super::Checker;
use crate::core::configuration::{RouteRecord, Target, WeightedTarget};
use crate::core::names::{HostName, ResourceName, ServiceName, is_name};

/// Whether a request can match both lists of methods. An empty list matches all methods.
fn methods_overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}

impl Checker<'_> {
    pub(super) fn check_path(&mut self, path: &Spanned<String>) {
        let offset = path.span().start;
        let path = path.get_ref();
        if !path.starts_with('/') {
            self.add_finding(
                offset,
                format!("path `{path}` does not start with `/`"),
                "write the path from the root, such as \"/prices\"",
            );
        }
        if path.contains(|c: char| c == '?' || c == '#' || c.is_whitespace() || c.is_control()) {
            self.add_finding(
                offset,
                format!("path `{path}` contains a character that is not allowed in a path"),
                "remove query, fragment and white space; a route matches only the path",
            );
        }
    }

    pub(super) fn route(
        &mut self,
        service: &str,
        raw: &RawService,
        route: &Spanned<RawRoute>,
    ) -> RouteRecord {
        let offset = route.span().start;
        let route = route.get_ref();
        self.check_path(&route.path);
        if let Some(host) = &route.host {
            self.check_host(host);
        }
        for method in &route.methods {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                self.add_finding(
                    offset,
                    format!("`{method}` is not an HTTP method"),
                    "write methods in upper case, such as \"GET\"",
                );
            }
        }
        let target = Target {
            service: ServiceName::new(route.service.as_deref().unwrap_or(service)),
            resource: ResourceName::new(&route.resource),
        };
        self.check_own_target(service, raw, &target, offset);
        let weighted_targets = route.split.iter();
        let split = weighted_targets
            .map(|weighted| self.weighted_target(service, raw, &target, weighted))
            .collect();
        RouteRecord {
            host: route
                .host
                .as_ref()
                .map(|host| HostName::new(host.get_ref())),
            methods: route.methods.iter().cloned().collect(),
            path: route.path.get_ref().clone(),
            target,
            split,
            public: route.public,
        }
    }

    /// Converts one target of a split route. A service or resource that it leaves out is that of the
    /// route.
    fn weighted_target(
        &mut self,
        service: &str,
        raw: &RawService,
        route_target: &Target,
        weighted: &Spanned<RawWeightedTarget>,
    ) -> WeightedTarget {
        let offset = weighted.span().start;
        let weighted = weighted.get_ref();
        let weight = self.check_range("weight", &weighted.weight, 1, WEIGHT_MAX);
        let target = Target {
            service: weighted
                .service
                .as_ref()
                .map_or_else(|| route_target.service.clone(), ServiceName::new),
            resource: weighted
                .resource
                .as_ref()
                .map_or_else(|| route_target.resource.clone(), ResourceName::new),
        };
        self.check_own_target(service, raw, &target, offset);
        WeightedTarget { target, weight }
    }

    /// Checks that the target exists if it is a resource of the same service. References to other
    /// services are checked once all team files are known.
    fn check_own_target(
        &mut self,
        service: &str,
        raw: &RawService,
        target: &Target,
        offset: usize,
    ) {
        let own = target.service.as_str() == service;
        if own && !raw.resource.contains_key(target.resource.as_str()) {
            self.add_finding(
                offset,
                format!(
                    "route refers to resource `{}`, which service `{service}` does not have",
                    target.resource
                ),
                format!("add [service.{service}.resource.{}]", target.resource),
            );
        }
    }

    fn check_host(&mut self, host: &Spanned<String>) {
        let name = host.get_ref();
        let is_valid = name.split('.').all(is_name);
        if !is_valid {
            self.add_finding(
                host.span().start,
                format!("host `{name}` is not a valid host name"),
                "write names separated by dots, without a port, such as \"precios.example\"",
            );
        }
    }

    /// Reports routes that match the same requests. Their order would decide which of them applies,
    /// and the treatment of a payment must not depend on that.
    pub(super) fn check_duplicate_routes(&mut self, routes: &[Spanned<RawRoute>]) {
        for (position, route) in routes.iter().enumerate() {
            let offset = route.span().start;
            let route = route.get_ref();
            let matches_same_requests = |other: &&Spanned<RawRoute>| {
                let other = other.get_ref();
                let host =
                    |route: &RawRoute| route.host.as_ref().map(|host| host.get_ref().clone());
                host(other) == host(route)
                    && other.path.get_ref() == route.path.get_ref()
                    && methods_overlap(&other.methods, &route.methods)
            };
            let Some(earlier) = routes[..position].iter().find(matches_same_requests) else {
                continue;
            };
            let line = line_at(self.text, earlier.span().start);
            self.add_finding(
                offset,
                format!(
                    "route `{}` matches the same requests as the route in line {line}",
                    route.path.get_ref()
                ),
                "remove one of the two routes, or give them different methods",
            );
        }
    }
}
