//! Names that operators give to the parts of a deployment.

use std::borrow;
use std::fmt;
use std::str;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// The longest name, in bytes; names are repeated in logs, metrics and gossip.
pub const NAME_LIMIT: usize = 64;

fn check_name(text: &str) -> Result<CompactString, parse::ParseError> {
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > NAME_LIMIT || !text.chars().all(allowed) {
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
            /// The name as text.
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
                check_name(text).map(Self)
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
    /// A customer of the deployment.
    CustomerId
);
name_id!(
    /// A failure domain.
    DomainId
);
name_id!(
    /// A model, adapter or model version that an engine can serve.
    ModelId
);
name_id!(
    /// A pipeline.
    PipelineId
);
name_id!(
    /// A pool of upstreams that serve the same stage or service.
    PoolId
);
name_id!(
    /// A region; links between regions are slow and billed.
    RegionId
);
name_id!(
    /// A stage of a pipeline.
    StageId
);
name_id!(
    /// An upstream.
    UpstreamId
);
name_id!(
    /// A VM of the system.
    VmId
);
