//! Demand for a model and the number of replicas that the demand needs.

use basilgrade_types::clock;
use basilgrade_types::rate;

/// Highest utilisation of a replica's concurrent calls that is planned for, even when no deadline
/// bounds the utilisation.
const MAX_UTILISATION: f64 = 0.8;

/// Lowest utilisation of a replica that is planned for. A deadline that needs less is so close to
/// the service time that more replicas do not help.
const MIN_UTILISATION: f64 = 0.3;

/// Demand for one model in a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Arrival rate of calls, per second.
    pub rate: rate::RequestRate,
    /// Time that an engine needs for one call, without queueing.
    pub service_time: clock::Millis,
    /// Time that the stage may take, including queueing.
    pub deadline: clock::Millis,
    /// Number of calls that one replica processes concurrently.
    pub capacity: u32,
}

impl Demand {
    /// Number of replicas that serve the demand within the deadline.
    ///
    /// By Little's law, `rate × service_time` calls are in progress. With `c` concurrent calls, a
    /// replica with utilisation `u` makes a call wait about `service_time × u / (1 - u) / c`. The
    /// wait must fit into `deadline - service_time`, which bounds `u`.
    pub fn replicas(&self) -> u32 {
        let capacity = f64::from(self.capacity.max(1));
        let service_time = self.service_time.as_f64().max(1.0);
        let calls_in_progress = self.rate.0.max(0.0) * service_time / 1000.0;
        let slack = (self.deadline.as_f64() / service_time - 1.0).max(0.0) * capacity;
        let bound = slack / (1.0 + slack);
        let utilisation = bound.clamp(MIN_UTILISATION, MAX_UTILISATION);
        (calls_in_progress / (capacity * utilisation)).ceil() as u32
    }
}
