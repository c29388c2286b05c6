//! Checks of routes.

use std::collections::HashMap;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::check::finding::Finding;
use crate::check::stages;
use crate::model::entries;
use crate::model::pool;
use crate::model::route;

/// Services by id.
pub(super) type Pools<'a> = HashMap<&'a id::PoolId, &'a pool::Pool>;

/// Reports routes that match no request, that lead nowhere, or whose limits contradict each other.
pub(super) fn check(entries: &entries::Entries) -> Vec<Finding> {
    let pools = entries.pools.iter().map(|listed| &listed.value);
    let pools: Pools<'_> = pools.map(|(id, pool)| (id, pool)).collect();
    let mut first_places: HashMap<(String, &str), &str> = HashMap::new();
    let mut findings = Vec::new();
    for listed in &entries.routes {
        let (place, route) = (listed.place.as_str(), &listed.value);
        let mut problems = Problems::default();
        let matched = (
            route.host.to_ascii_lowercase().into(),
            route.prefix.as_str(),
        );
        if let Some(first) = first_places.get(&matched) {
            let problem = format!("{first} has the same host and prefix and gets all requests");
            problems.add(problem, "remove one of them or give it another prefix");
        } else {
            first_places.insert(matched, place);
        }
        check_match(route, &mut problems);
        let is_readable = !entries.unreadable.iter().any(|entry| entry.entry == place);
        if is_readable {
            check_targets(route, &pools, &mut problems);
            check_limits(route, &mut problems);
            stages::check(route, &pools, &mut problems);
        }
        findings.extend(problems.0.into_iter().map(|(problem, remedy)| {
            Finding::new(place, format!("route `{}`: {problem}", route.name), remedy)
        }));
    }
    findings
}

/// Problems of one route with their remedies.
#[derive(Default)]
pub(super) struct Problems(Vec<(String, &'static str)>);

impl Problems {
    pub(super) fn add(&mut self, problem: impl Into<String>, remedy: &'static str) {
        self.0.push((problem.into(), remedy));
    }
}

fn check_match(route: &route::Route, problems: &mut Problems) {
    let is_foreign = |c: char| matches!(c, ':' | '/' | '*') || c.is_whitespace();
    if route.host.is_empty() || route.host.contains(is_foreign) {
        let problem = format!("no request has the host `{}`", route.host);
        problems.add(
            problem,
            "give a host name without scheme, port and wildcard",
        );
    }
    if !route.prefix.starts_with('/') {
        let problem = format!("no path starts with `{}`", route.prefix);
        problems.add(problem, "begin the prefix with `/`");
    }
}

fn check_targets(route: &route::Route, pools: &Pools<'_>, problems: &mut Problems) {
    if route.targets.is_empty() {
        problems.add("it leads to no service", "name a service or a split");
    } else if route.pools().next().is_none() {
        let problem = "all weights of the split are 0, so the last service gets all requests";
        problems.add(problem, "give one of them a positive weight");
    }
    for target in &route.targets {
        if !pools.contains_key(&target.pool) {
            let problem = format!("service `{}` does not exist", target.pool);
            problems.add(problem, "list the service or correct its name");
        }
    }
}

fn check_limits(route: &route::Route, problems: &mut Problems) {
    let timeout = route.timeout;
    if timeout == clock::Millis::ZERO {
        problems.add(
            "the timeout of 0 ends every request",
            "give a positive time",
        );
        return;
    }
    let others = [
        ("target latency", route.target_latency),
        ("target gap", route.event_gap),
    ];
    for (name, target) in others.into_iter().filter(|(_, target)| *target > timeout) {
        let problem = format!("the timeout of {timeout} is below the {name} of {target}");
        problems.add(problem, "raise the timeout or lower the target");
    }
}
