//! ScoreSettings of the scored router.

use basilgrade_config::model::weights;
use basilgrade_types::clock;

use crate::router::score;

/// What the scored router weighs and which corrections it applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreSettings {
    /// Price in millionths of the currency that one missed deadline is worth.
    pub attainment: f32,
    /// Factor on every price paid.
    pub cost: f32,
    /// Calls assumed to have been sent by all daemons for each own call since the report; 0 ignores
    /// own calls.
    pub sent_factor: f32,
    /// Daemons that send to the same upstreams, this one included.
    ///
    /// Own calls in flight times this number stand in for the load when its report is old.
    pub daemons: f32,
    /// Age of a load report at which it counts half; at twice this age it counts nothing.
    pub half_age: clock::Millis,
}

impl Default for ScoreSettings {
    fn default() -> Self {
        Self::new(weights::Weights::default())
    }
}

impl ScoreSettings {
    /// ScoreSettings for a deployment that values `weights`.
    pub fn new(weights: weights::Weights) -> Self {
        Self {
            attainment: weights.attainment as f32,
            cost: weights.cost as f32,
            sent_factor: 1.0,
            daemons: 1.0,
            half_age: clock::Millis(3000),
        }
    }

    /// What a price in millionths of the currency and `time` of the `left` milliseconds are worth
    /// together; the lowest is best.
    pub fn weighted_cost(&self, price: f32, time: f32, left: f32) -> f32 {
        score::weighted_cost(self.cost, self.attainment, price, time / left.max(1.0))
    }
}
