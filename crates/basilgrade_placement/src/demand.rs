//! Demand for a model and the replicas that it needs.

use basilgrade_types::clock;
use basilgrade_types::rate;

/// Highest share of a replica's calls at once that is planned for, even without a deadline.
const UTILISATION_LIMIT: f64 = 0.8;

/// Lowest share; below it the deadline is hardly reachable and more replicas do not help.
const UTILISATION_FLOOR: f64 = 0.3;

/// Demand for one model in a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Calls a second.
    pub rate: rate::RequestRate,
    /// Time of one call on an engine without waiting.
    pub service_time: clock::Millis,
    /// Time that the stage may take.
    pub deadline: clock::Millis,
    /// Calls that one replica works on at once.
    pub capacity: u32,
}

impl Demand {
    /// The replicas that serve the demand within the deadline.
    ///
    /// By Little's law `rate × service` calls are in progress. With `c` calls at once, a replica
    /// with utilisation `u` makes a call wait about `service × u / (1 - u) / c`, which has to fit
    /// into `deadline - service`; this bounds `u`.
    pub fn replicas(&self) -> u32 {
        let capacity = f64::from(self.capacity.max(1));
        let service_time = self.service_time.as_f64().max(1.0);
        let busy = self.rate.0.max(0.0) * service_time / 1000.0;
        let slack = (self.deadline.as_f64() / service_time - 1.0).max(0.0) * capacity;
        let bound = slack / (1.0 + slack);
        let utilisation = bound.clamp(UTILISATION_FLOOR, UTILISATION_LIMIT);
        (busy / (capacity * utilisation)).ceil() as u32
    }
}
