//! Checks of customers and their API keys.

use indexmap::IndexMap;

use crate::check::finding::Finding;
use crate::model::entries;

/// Reports API keys that are listed twice, and customers without one. Keys are secrets, so findings
/// name them by their position.
pub(super) fn check(entries: &entries::Entries) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut known = IndexMap::new();
    for listed in entries.customers.iter().flatten() {
        let (customer, keys) = &listed.value;
        let place = listed.place.as_str();
        if keys.is_empty() {
            let problem = format!("customer {} has no API key", customer.name);
            findings.push(Finding::new(
                place,
                problem,
                "add a key or remove the entry",
            ));
        }
        for (index, key) in keys.iter().enumerate() {
            if let Some(other) = known.insert(key, place) {
                let problem = format!(
                    "API key {} of customer {} is also listed in {other}; the last entry counts",
                    index + 1,
                    customer.name
                );
                findings.push(Finding::new(place, problem, "remove one of them"));
            }
        }
    }
    findings
}
