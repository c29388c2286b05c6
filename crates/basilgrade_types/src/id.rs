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

/// Bytes that are percent-encoded in ids of names that no id allows.
const ENCODED: &percent_encoding::AsciiSet = &percent_encoding::NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.');

/// The maximum length of a name that [`PoolId::encode`] accepts, in bytes.
pub const POOL_NAME_LIMIT: usize = 1024;

impl PoolId {
    /// Id of the pool that is named `name`, text of 1 to [`POOL_NAME_LIMIT`] bytes without a NUL
    /// character.
    ///
    /// A valid id is its own; any other name is percent-encoded, so that names and ids correspond.
    ///
    /// # Errors
    ///
    /// [`parse::ParseError`] if the name is empty, too long or contains a NUL character.
    pub fn encode(name: &str) -> Result<Self, parse::ParseError> {
        if name.is_empty() || name.len() > POOL_NAME_LIMIT || name.contains('\0') {
            return Err(parse::ParseError::new(
                name,
                "a name of 1 to 1024 bytes without a NUL character",
            ));
        }
        Ok(name.parse().unwrap_or_else(|_| {
            let encoded = percent_encoding::utf8_percent_encode(name, ENCODED);
            Self(encoded.collect())
        }))
    }

    /// Reads an id that [`PoolId::encode`] returned.
    ///
    /// # Errors
    ///
    /// [`parse::ParseError`] if `text` is no such id.
    pub fn decode(text: &str) -> Result<Self, parse::ParseError> {
        let name = percent_encoding::percent_decode_str(text).decode_utf8_lossy();
        let id = Self::encode(&name)?;
        if id.as_str() != text {
            return Err(parse::ParseError::new(text, "the id of a pool"));
        }
        Ok(id)
    }
}
