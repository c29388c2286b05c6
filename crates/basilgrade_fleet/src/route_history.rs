//! Pools to which routes have lately led, before a configuration changed that.

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::model::configuration;
use crate::model::route;

/// Host in lower case and prefix of a route.
type RouteKey = (CompactString, CompactString);

/// Former pools of the paths below each prefix, with the time until which the path led to them.
#[derive(Clone, Debug, Default)]
pub struct RouteHistory(IndexMap<RouteKey, IndexMap<id::PoolId, clock::Millis>>);

fn pools(route: Option<&route::Route>) -> IndexSet<&id::PoolId> {
    route.into_iter().flat_map(route::Route::pools).collect()
}

fn routes_by_key(
    configuration: &configuration::Configuration,
) -> IndexMap<RouteKey, &route::Route> {
    let routes = configuration
        .hosts
        .iter()
        .flat_map(|(host, routes)| routes.iter().map(move |route| (host, route)));
    routes
        .map(|(host, route)| ((host.clone(), route.prefix.clone()), route))
        .collect()
}

impl RouteHistory {
    /// Records that the configuration `new` replaces `old` at the time `now`.
    pub fn record_change(
        &mut self,
        now: clock::Millis,
        old: &configuration::Configuration,
        new: &configuration::Configuration,
    ) {
        let (old_routes, new_routes) = (routes_by_key(old), routes_by_key(new));
        for key in old_routes.keys().chain(new_routes.keys()) {
            let (host, prefix) = key;
            // Without a route of its own, the prefix belongs to a shorter one.
            let find = |routes: &IndexMap<_, &_>, whole: &configuration::Configuration| {
                let known = routes.get(key).copied();
                pools(known.or_else(|| whole.route(host, prefix)))
                    .into_iter()
                    .cloned()
                    .collect::<IndexSet<_>>()
            };
            let before = find(&old_routes, old);
            if before != find(&new_routes, new) {
                let known = self.0.entry(key.clone()).or_default();
                known.extend(before.into_iter().map(|pool| (pool, now)));
            }
        }
    }

    /// Forgets what ended at `earliest` or before.
    pub fn forget(&mut self, earliest: clock::Millis) {
        self.0.retain(|_, pools| {
            pools.retain(|_, until| *until > earliest);
            !pools.is_empty()
        });
    }

    /// The only pool to which `path`, which belongs to `route`, leads and has led; `None` if there
    /// are several.
    pub fn only_pool<'a>(&self, route: &'a route::Route, path: &str) -> Option<&'a id::PoolId> {
        let mut current = route.pools();
        let only = current.next()?;
        let host = route.host.to_ascii_lowercase();
        let is_match = |key: &RouteKey| key.0 == host && path.starts_with(key.1.as_str());
        let former = self.0.iter().filter(|(key, _)| is_match(key));
        let mut former = former.flat_map(|(_, pools)| pools.keys());
        let is_only = current.all(|pool| pool == only) && former.all(|pool| pool == only);
        is_only.then_some(only)
    }
}
