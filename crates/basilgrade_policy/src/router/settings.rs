//! Settings of the scored router.

use basilgrade_config::model::weights;
use basilgrade_types::clock;

use crate::router::score;

/// Weights and corrections of the scored router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreSettings {
    /// Price that one missed deadline is worth, in millionths of the currency.
    pub attainment: f32,
    /// Factor applied to every price.
    pub cost: f32,
    /// Calls that all daemons are assumed to have sent since the load report for each call that
    /// this daemon has sent since then; 0 ignores the calls of this daemon.
    pub sent_factor: f32,
    /// Number of daemons that send to the same upstreams, including this one.
    ///
    /// When a load report is old, the load is estimated as this number times the own calls in
    /// flight.
    pub daemons: f32,
    /// Age of a load report at which it counts half; at twice this age it is ignored.
    pub half_age: clock::Millis,
}

impl Default for ScoreSettings {
    fn default() -> Self {
        Self::new(weights::ObjectiveWeights::default())
    }
}

impl ScoreSettings {
    /// Settings for a deployment with the given `weights`.
    pub fn new(weights: weights::ObjectiveWeights) -> Self {
        Self {
            attainment: weights.attainment as f32,
            cost: weights.cost as f32,
            sent_factor: 1.0,
            daemons: 1.0,
            half_age: clock::Millis(3000),
        }
    }

    /// Weighted sum of a price in millionths of the currency and `time_ms` of the `left_ms`
    /// milliseconds until the deadline; the lowest is best.
    pub fn weighted_cost(&self, price: f32, time_ms: f32, left_ms: f32) -> f32 {
        score::weighted_cost(
            self.cost,
            self.attainment,
            price,
            time_ms / left_ms.max(1.0),
        )
    }
}
