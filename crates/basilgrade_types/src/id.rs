//! Ids of the parts of a deployment, which are names that operators choose.

use std::borrow;
use std::fmt;
use std::str;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The maximum length of a name, in bytes.
///
/// Names are bounded because log lines, metrics and gossip messages repeat them.
pub const NAME_LIMIT: usize = 64;

fn parse_name(text: &str) -> Result<CompactString, parse::ParseError> {
    let is_allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > NAME_LIMIT || !text.chars().all(is_allowed) {
        return Err(parse::ParseError::new(
            text,
            "a name of 1 to 64 bytes of letters, digits, `-`, `_` or `.`",
        ));
    }
    Ok(CompactString::new(text))
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.0.as_str())
            }
        }

        impl str::FromStr for $name {
            type Err = parse::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_name(text).map(Self)
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.0.as_str()
            }
        }
    };
}

name_id!(
    /// The id of a customer of the deployment.
    CustomerId
);
name_id!(
    /// The id of a failure domain.
    DomainId
);
name_id!(
    /// The id of a model, adapter or model version that an engine can serve.
    ModelId
);
name_id!(
    /// The id of a pipeline.
    PipelineId
);
name_id!(
    /// The id of a pool of upstreams that serve the same stage or service.
    PoolId
);
name_id!(
    /// The id of a region; traffic between regions is slow and billed.
    RegionId
);
name_id!(
    /// The id of a stage of a pipeline.
    StageId
);
name_id!(
    /// The id of an upstream.
    UpstreamId
);
name_id!(
    /// The id of a VM of the deployment.
    VmId
);
