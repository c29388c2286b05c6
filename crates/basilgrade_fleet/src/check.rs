//! Checks of a configuration before it is published.

mod customers;
pub mod finding;
mod regions;
mod routes;
mod services;
mod stages;

use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;

use crate::model::entries;

/// Checks a configuration; `regions` are those of the deployment, if they are known.
pub fn check(
    entries: &entries::Entries,
    regions: Option<&[id::RegionId]>,
) -> Vec<finding::Finding> {
    let unreadable = entries.unreadable.iter().map(|entry| {
        let remedy = "correct the entry; a line and column are counted from its start";
        finding::Finding::new(&entry.entry, entry.reason.as_str(), remedy)
    });
    let mut findings: Vec<_> = unreadable.collect();
    findings.extend(routes::check(entries));
    findings.extend(services::check(entries));
    findings.extend(check_limits(entries));
    findings.extend(customers::check(entries));
    findings.extend(regions::check(entries, regions));
    findings
}

/// Checks whether daemons take the configuration `new` over while `old` is in force.
pub fn check_successor(old: &entries::Entries, new: &entries::Entries) -> Option<finding::Finding> {
    let (old, new) = (old.version, new.version);
    (new <= old).then(|| {
        let problem = format!(
            "version {new} does not follow version {old}, which is in force and remains so"
        );
        finding::Finding::new("version", problem, "give a greater number")
    })
}

fn check_limits(entries: &entries::Entries) -> Option<finding::Finding> {
    let listed = entries.limits.as_ref()?;
    let limits = &listed.value;
    let is_zero = [limits.max_head, limits.max_body].contains(&size::ByteCount(0))
        || [limits.header_timeout, limits.idle_timeout].contains(&clock::Millis::ZERO);
    is_zero.then(|| {
        let remedy = "give positive numbers";
        finding::Finding::new(&listed.place, "a limit of 0 refuses all requests", remedy)
    })
}
