//! Weights of deadline attainment and cost in routing decisions.

use serde::Deserialize;
use serde::Serialize;

/// Weights of deadline attainment and cost; each is at least 0, and at least one is above 0.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWeights {
    /// The cost of one missed deadline, in millionths of the currency.
    pub attainment: f64,
    /// The factor by which prices of calls and traffic are multiplied.
    pub cost: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            attainment: 1000.0,
            cost: 1.0,
        }
    }
}
