//! A version of the configuration.

use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;

use crate::model::customer;
use crate::model::limits;
use crate::model::pool;
use crate::model::route;

/// Everything that operators declare, as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Grows with each publication, in uneven steps.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub hosts: IndexMap<CompactString, Vec<route::Route>>,
    /// Pools of upstreams.
    pub pools: IndexMap<id::PoolId, pool::Pool>,
    /// Limits on what callers send.
    pub limits: limits::Limits,
    /// Customers by API key; `None` when the deployment has no customers.
    pub customers: Option<IndexMap<CompactString, customer::Customer>>,
}

impl Configuration {
    /// Adds a route; routes of a host stay ordered by length of prefix.
    pub fn add_route(&mut self, route: route::Route) {
        let host = CompactString::new(route.host.to_ascii_lowercase());
        let routes = self.hosts.entry(host).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, route);
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&route::Route> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }
}
