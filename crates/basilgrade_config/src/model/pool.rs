//! Pools of upstreams.

use std::fmt;
use std::str;

use basilgrade_types::id;
use basilgrade_types::parse;
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
pub enum RequestKeys {
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
    pub keys: RequestKeys,
    /// Models that one of its engines can hold at once.
    #[serde(default = "one")]
    pub slots: u32,
    /// Price of one call.
    pub price: price::Price,
}

const fn one() -> u32 {
    1
}

impl Kind {
    /// The text in a configuration.
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
    /// The text in a configuration.
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
    /// The text in a configuration.
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
