//! Pools of upstreams.

use std::fmt;
use std::str;

use basilgrade_types::id;
use basilgrade_types::parse;
use basilgrade_types::price;
use serde::Deserialize;
use serde::Serialize;

/// The function of the upstreams of a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Encodes input as embedding vectors.
    Encoder,
    /// Generates tokens with a language model.
    Engine,
    /// Sorts retrieved items by relevance.
    Reranker,
    /// Searches for items that match a query.
    Retriever,
    /// Serves plain HTTP requests.
    Service,
}

/// Whether engines reject placement orders with an outdated fencing number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Orders with an outdated fencing number are rejected.
    Checked,
    /// Fencing numbers are not checked.
    Ignored,
}

/// Whether upstreams run a call at most once per request key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKeys {
    /// A repeated call with the same request key has no further effect.
    Honoured,
    /// Request keys are not checked; every repeated call takes effect.
    Ignored,
}

/// A group of interchangeable upstreams that serve the same stages or the same service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub id: id::PoolId,
    /// The function of the upstreams.
    pub kind: Kind,
    /// Whether the upstreams check fencing numbers.
    pub fencing: Fencing,
    /// Whether the upstreams deduplicate calls by request key.
    pub keys: RequestKeys,
    /// The number of models that one engine of the pool can hold at once.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// The price of one call, in millionths of the currency.
    pub price: price::Price,
}

const fn one_slot() -> u32 {
    1
}

impl Kind {
    /// The value as written in a configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encoder => "encoder",
            Self::Engine => "engine",
            Self::Reranker => "reranker",
            Self::Retriever => "retriever",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Kind {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "encoder" => Ok(Self::Encoder),
            "engine" => Ok(Self::Engine),
            "reranker" => Ok(Self::Reranker),
            "retriever" => Ok(Self::Retriever),
            "service" => Ok(Self::Service),
            _ => Err(parse::ParseError::new(
                text,
                "`encoder`, `engine`, `reranker`, `retriever` or `service`",
            )),
        }
    }
}

impl Fencing {
    /// The value as written in a configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Checked => "checked",
            Self::Ignored => "ignored",
        }
    }
}

impl fmt::Display for Fencing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for Fencing {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "checked" => Ok(Self::Checked),
            "ignored" => Ok(Self::Ignored),
            _ => Err(parse::ParseError::new(text, "`checked` or `ignored`")),
        }
    }
}

impl RequestKeys {
    /// The value as written in a configuration.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Honoured => "honoured",
            Self::Ignored => "ignored",
        }
    }
}

impl fmt::Display for RequestKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for RequestKeys {
    type Err = parse::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "honoured" => Ok(Self::Honoured),
            "ignored" => Ok(Self::Ignored),
            _ => Err(parse::ParseError::new(text, "`honoured` or `ignored`")),
        }
    }
}
