//! Checks of allowed regions.

use basilgrade_types::id;

use crate::check::finding::Finding;
use crate::model::allowed_regions;
use crate::model::entries;

/// Number of customers that one finding names.
const MAX_NAMED: usize = 5;

/// Reports allowed regions that the deployment does not have, and routes that share no allowed region
/// with a customer.
pub(super) fn check(entries: &entries::Entries, regions: Option<&[id::RegionId]>) -> Vec<Finding> {
    let routes = entries.routes.iter();
    let routes = routes.map(|listed| (listed.place.as_str(), &listed.value.regions));
    let customers = entries.customers.iter().flatten();
    let customers = customers.map(|listed| (listed.place.as_str(), &listed.value.0.regions));
    let restricted = routes
        .chain(customers)
        .filter(|(_, allowed)| allowed.is_restricted());
    let mut findings: Vec<_> = restricted
        .filter_map(|(place, allowed)| check_names(place, allowed, regions))
        .collect();
    findings.extend(entries.routes.iter().filter_map(|listed| {
        let allowed = &listed.value.regions;
        check_customers(entries, &listed.place, allowed, regions)
    }));
    findings
}

/// Whether `allowed` has a region that the deployment may have.
fn has_any(allowed: &allowed_regions::AllowedRegions, regions: Option<&[id::RegionId]>) -> bool {
    !allowed.is_restricted()
        || allowed
            .iter()
            .any(|name| regions.is_none_or(|regions| regions.contains(name)))
}

fn check_names(
    place: &str,
    allowed: &allowed_regions::AllowedRegions,
    regions: Option<&[id::RegionId]>,
) -> Option<Finding> {
    let is_unknown = |name: &&id::RegionId| regions.is_some_and(|known| !known.contains(name));
    let unknown: Vec<_> = allowed.iter().filter(is_unknown).collect();
    let effect = if !has_any(allowed, regions) {
        "the requests are served nowhere"
    } else if unknown.is_empty() {
        return None;
    } else {
        "the other names count"
    };
    let names: Vec<_> = unknown.iter().map(|name| format!("`{name}`")).collect();
    let problem = if names.is_empty() {
        format!("no allowed region has a valid name, so {effect}")
    } else {
        let names = names.join(", ");
        format!("the deployment has no allowed region {names}; {effect}")
    };
    Some(Finding::new(place, problem, "correct or remove the names"))
}

fn check_customers(
    entries: &entries::Entries,
    place: &str,
    allowed: &allowed_regions::AllowedRegions,
    regions: Option<&[id::RegionId]>,
) -> Option<Finding> {
    // Restrictions that allow nothing by themselves are reported on their own.
    let excluded: Vec<_> = entries
        .customers
        .iter()
        .flatten()
        .filter(|listed| {
            let other = &listed.value.0.regions;
            has_any(allowed, regions)
                && has_any(other, regions)
                && !has_any(&allowed.and(other), regions)
        })
        .map(|listed| format!("{} ({})", listed.value.0.name, listed.place))
        .collect();
    let names = excluded.iter().take(MAX_NAMED);
    let names: Vec<_> = names.map(String::as_str).collect();
    (!excluded.is_empty()).then(|| {
        let problem = format!(
            "the route shares no allowed region with {} customers, whose requests it refuses: {}",
            excluded.len(),
            names.join(", ")
        );
        Finding::new(place, problem, "allow a common region")
    })
}
