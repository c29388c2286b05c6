//! What a deployment values.

use serde::Deserialize;
use serde::Serialize;

/// Weights of deadline attainment against cost; both at least 0 and not both 0.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Price in millionths of the currency that one missed deadline is worth.
    pub attainment: f64,
    /// Factor on every price paid.
    pub cost: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            attainment: 1000.0,
            cost: 1.0,
        }
    }
}
