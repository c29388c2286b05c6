//! Customer that an API key identifies.

use std::convert;
use std::fmt;
use std::str;

use compact_str::CompactString;

use crate::model::allowed_regions;

/// Name of a customer, any text that operators choose.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct CustomerName(CompactString);

impl CustomerName {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CustomerName {
    /// Writes the name as one word of a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_word =
            |text: &str| !text.contains(|c: char| c.is_whitespace() || c.is_control() || c == '"');
        if !self.0.is_empty() && is_word(&self.0) {
            return f.write_str(&self.0);
        }
        write!(f, "{:?}", self.0)
    }
}

impl str::FromStr for CustomerName {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(CompactString::new(text)))
    }
}

impl From<CompactString> for CustomerName {
    fn from(text: CompactString) -> Self {
        Self(text)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer; upstreams receive it in place of the key.
    pub name: CustomerName,
    /// Priority of the customer's requests, 0 the highest; it outranks the priority of the route.
    pub priority: Option<u8>,
    /// Regions in which the customer's requests may be served.
    pub regions: allowed_regions::AllowedRegions,
}
