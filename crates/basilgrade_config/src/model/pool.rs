//! Pools of upstreams.

use basilgrade_types::id;
use basilgrade_types::price;
use serde::Deserialize;
use serde::Serialize;

/// What the upstreams of a pool do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Turns input into vectors.
    Encoder,
    /// Generates tokens.
    Engine,
    /// Orders retrieved items.
    Reranker,
    /// Finds items.
    Retriever,
    /// A plain service.
    Service,
}

/// Whether upstreams refuse an order with an old fencing number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Old numbers are refused.
    Checked,
    /// The number is ignored.
    Ignored,
}

/// Whether upstreams run a call at most once per request key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Keys {
    /// A repeated call with the same key has no second effect.
    Honoured,
    /// Each call has an effect.
    Ignored,
}

/// Upstreams that serve the same stage or service and can stand in for each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name of the pool.
    pub id: id::PoolId,
    /// What its upstreams do.
    pub kind: Kind,
    /// Whether its upstreams check fencing numbers.
    pub fencing: Fencing,
    /// Whether its upstreams honour request keys.
    pub keys: Keys,
    /// Price of one call.
    pub price: price::Price,
}
