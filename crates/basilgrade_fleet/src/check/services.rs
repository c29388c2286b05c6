//! Checks of services.

use indexmap::IndexMap;

use crate::check::finding::Finding;
use crate::model::entries;
use crate::model::pool;

/// Reports services that are listed twice or have no capacity.
pub(super) fn check(entries: &entries::Entries) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut known = IndexMap::new();
    for listed in &entries.pools {
        let (id, pool) = &listed.value;
        let place = listed.place.as_str();
        if let Some(other) = known.insert(id, place) {
            let problem =
                format!("service `{id}` is also listed in {other}; the last entry counts");
            findings.push(Finding::new(place, problem, "remove one of them"));
        }
        let has_capacity = match &pool.work {
            pool::Work::Service => true,
            pool::Work::Engine(engine) => engine.slots > 0 && engine.kv_capacity.0 > 0,
            pool::Work::Pieces(profile) => profile.slots > 0 && profile.batch > 0,
        };
        if !has_capacity {
            let problem = format!("upstreams of service `{id}` have no capacity");
            findings.push(Finding::new(place, problem, "give positive numbers"));
        }
    }
    findings
}
