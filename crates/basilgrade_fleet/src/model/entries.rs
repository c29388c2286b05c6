//! Entries of a configuration before those that replace each other are merged.

use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;

use crate::model::configuration;
use crate::model::customer;
use crate::model::limits;
use crate::model::listed::Listed;
use crate::model::pool;
use crate::model::route;

/// A customer with its API keys.
pub type KeyHolder = (customer::Customer, Vec<CompactString>);

/// The entries of one version of the configuration, in the order of their lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entries {
    pub version: u64,
    /// Routes; an unreadable one whose host and prefix are known has no targets.
    pub routes: Vec<Listed<route::Route>>,
    pub pools: Vec<Listed<(id::PoolId, pool::Pool)>>,
    pub limits: Option<Listed<limits::Limits>>,
    /// Customers; `None` if the deployment does not authenticate callers.
    pub customers: Option<Vec<Listed<KeyHolder>>>,
    pub unreadable: Vec<configuration::UnreadableEntry>,
}

impl From<Entries> for configuration::Configuration {
    /// Merges the entries: of several routes with one host and prefix the first counts, of several
    /// pools or customers with one id or API key the last.
    fn from(entries: Entries) -> Self {
        let mut merged = Self {
            version: entries.version,
            pools: entries.pools.into_iter().map(|pool| pool.value).collect(),
            limits: entries
                .limits
                .map(|limits| limits.value)
                .unwrap_or_default(),
            customers: entries.customers.map(|customers| {
                let mut by_key = IndexMap::new();
                for (customer, keys) in customers.into_iter().map(|listed| listed.value) {
                    by_key.extend(keys.into_iter().map(|key| (key, customer.clone())));
                }
                by_key
            }),
            unreadable: entries.unreadable,
            ..Self::default()
        };
        for route in entries.routes {
            merged.add_route(route.value);
        }
        merged
    }
}
