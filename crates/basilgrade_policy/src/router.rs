//! Choice of an upstream for one call.

use basilgrade_types::clock;
use rand::Rng;

use crate::candidate;
use crate::refusal;

mod baseline;
pub mod eligible;
pub mod least_outstanding;
pub mod random;
pub mod round_robin;
pub mod score;
pub mod scored;
pub mod settings;
pub mod two_choices;

/// Properties of a call that influence the choice of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct CallShape {
    /// Position of the region that holds the input.
    pub region: u16,
    /// Bytes of the input and of the expected output that are transferred.
    pub bytes: u32,
    /// Price of 1 MiB from the input's region to each region, in millionths of the currency.
    pub prices: Vec<f32>,
    /// One-way latency from the input's region to each region, in milliseconds.
    pub latencies: Vec<f32>,
    /// Prompt tokens; 0 for calls that are not generations.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub output: u32,
    /// Instant by which the stage has to be finished.
    pub deadline: clock::Millis,
    /// Positions of upstreams that must not be chosen, such as those that were already tried.
    pub excluded: Vec<u32>,
}

/// The chosen upstream, its expected time and price, and the reason for the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Position in the list of upstreams of the configuration in force.
    pub index: u32,
    /// Expected time until the call finishes, in milliseconds.
    pub finish_ms: f32,
    /// Expected price in millionths of the currency, traffic included.
    pub cost: f32,
    /// Reason for the choice, as written to logs.
    pub reason: &'static str,
}

/// A strategy for choosing an upstream.
pub trait Router: Send + Sync {
    /// Chooses one of `candidates` for `call`.
    ///
    /// # Errors
    ///
    /// The reason why no candidate is suitable. Nothing has been sent.
    fn choose(
        &self,
        now: clock::Millis,
        call: &CallShape,
        candidates: &[candidate::Candidate],
        rng: &mut dyn Rng,
    ) -> Result<Choice, refusal::Refusal>;
}
