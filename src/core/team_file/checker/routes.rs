//! Checks of routes: hosts, paths, methods, targets.

use toml::Spanned;

use super::super::raw::{RawRoute, RawService, RawShare};
use super::super::{WEIGHT_MAX, line_of};
use super::Checker;
use crate::core::configuration::{RouteRecord, Share, Target};
use crate::core::names::{HostName, ResourceName, ServiceName, is_name};

/// An empty list matches all methods.
fn methods_overlap(a: &[String], b: &[String]) -> bool {
    a.is_empty() || b.is_empty() || a.iter().any(|method| b.contains(method))
}

impl Checker<'_> {
    pub(super) fn path(&mut self, path: &Spanned<String>) {
        let at = path.span().start;
        let path = path.get_ref();
        if !path.starts_with('/') {
            self.add(
                at,
                format!("path `{path}` does not start with `/`"),
                "write the path from the root, such as \"/prices\"",
            );
        }
        if path.contains(|c: char| c == '?' || c == '#' || c.is_whitespace() || c.is_control()) {
            self.add(
                at,
                format!("path `{path}` holds a character that no request path has"),
                "leave out query, fragment and blanks; a route matches the path alone",
            );
        }
    }

    pub(super) fn route(
        &mut self,
        service: &str,
        raw: &RawService,
        route: &Spanned<RawRoute>,
    ) -> RouteRecord {
        let at = route.span().start;
        let route = route.get_ref();
        self.path(&route.path);
        if let Some(host) = &route.host {
            self.host(host);
        }
        for method in &route.methods {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                self.add(
                    at,
                    format!("`{method}` is not a method"),
                    "write methods in capitals, such as \"GET\"",
                );
            }
        }
        let target = Target {
            service: ServiceName::new(route.service.as_deref().unwrap_or(service)),
            resource: ResourceName::new(&route.resource),
        };
        self.own_target(service, raw, &target, at);
        let shares = route.split.iter();
        let split = shares
            .map(|share| self.share(service, raw, &target, share))
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
        }
    }

    /// One part of a split route; what it leaves open is as in the route itself.
    fn share(
        &mut self,
        service: &str,
        raw: &RawService,
        whole: &Target,
        share: &Spanned<RawShare>,
    ) -> Share {
        let at = share.span().start;
        let share = share.get_ref();
        let weight = self.range("weight", &share.weight, 1, WEIGHT_MAX);
        let target = Target {
            service: share
                .service
                .as_ref()
                .map_or_else(|| whole.service.clone(), ServiceName::new),
            resource: share
                .resource
                .as_ref()
                .map_or_else(|| whole.resource.clone(), ResourceName::new),
        };
        self.own_target(service, raw, &target, at);
        Share { target, weight }
    }

    /// References to other services are checked with the whole set.
    fn own_target(&mut self, service: &str, raw: &RawService, target: &Target, at: usize) {
        let own = target.service.as_str() == service;
        if own && !raw.resource.contains_key(target.resource.as_str()) {
            self.add(
                at,
                format!(
                    "route points at resource `{}`, which service `{service}` does not have",
                    target.resource
                ),
                format!("add [service.{service}.resource.{}]", target.resource),
            );
        }
    }

    fn host(&mut self, host: &Spanned<String>) {
        let name = host.get_ref();
        let right = name.split('.').all(is_name);
        if !right {
            self.add(
                host.span().start,
                format!("host `{name}` is not a host name"),
                "write names with dots between them and no port, such as \"precios.example\"",
            );
        }
    }

    /// Two routes that match the same request: which one wins would depend on their order, and the
    /// treatment of a payment must not.
    pub(super) fn same_routes(&mut self, routes: &[Spanned<RawRoute>]) {
        for (position, route) in routes.iter().enumerate() {
            let at = route.span().start;
            let route = route.get_ref();
            let same = |other: &&Spanned<RawRoute>| {
                let other = other.get_ref();
                let host =
                    |route: &RawRoute| route.host.as_ref().map(|host| host.get_ref().clone());
                host(other) == host(route)
                    && other.path.get_ref() == route.path.get_ref()
                    && methods_overlap(&other.methods, &route.methods)
            };
            let Some(first) = routes[..position].iter().find(same) else {
                continue;
            };
            let line = line_of(self.text, first.span().start);
            self.add(
                at,
                format!(
                    "route `{}` matches the same requests as the one in line {line}",
                    route.path.get_ref()
                ),
                "remove one of the two, or give them different methods",
            );
        }
    }
}
