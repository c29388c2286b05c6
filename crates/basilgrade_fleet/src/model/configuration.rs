//! One version of the deployment's configuration.

use std::fmt;

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
    /// Version number; increases with each publication, not necessarily by one.
    pub version: u64,
    /// Routes by host name in lower case; the routes of a host are ordered by prefix, longest
    /// first.
    pub hosts: IndexMap<CompactString, Vec<route::Route>>,
    pub pools: IndexMap<id::PoolId, pool::Pool>,
    pub limits: limits::Limits,
    /// Customers by API key; `None` if the deployment does not authenticate callers.
    pub customers: Option<IndexMap<CompactString, customer::Customer>>,
    /// Entries that were left out.
    pub unreadable: Vec<UnreadableEntry>,
}

/// Entry of a configuration that cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableEntry {
    /// List and index of the entry.
    pub entry: CompactString,
    pub reason: String,
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.entry, self.reason)
    }
}

impl Configuration {
    /// Adds a route to its host, keeping the routes ordered by length of prefix.
    pub fn add_route(&mut self, route: route::Route) {
        let host = CompactString::new(route.host.to_ascii_lowercase());
        let routes = self.hosts.entry(host).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, route);
    }

    /// The route of `host` with the longest prefix that matches `path`; a port in `host` is
    /// ignored.
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
