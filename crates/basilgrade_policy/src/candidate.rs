//! State of an upstream on which the choice among upstreams is based.

use basilgrade_types::clock;

/// One upstream that could serve a call.
///
/// The struct holds numbers only, so that 1,200 candidates can be scanned in a few microseconds.
/// The name of the chosen upstream is looked up by `index`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Position in the list of upstreams of the configuration in force.
    pub index: u32,
    /// Position of the upstream's region in the list of regions.
    pub region: u16,
    /// Calls that the upstream can process at the same time.
    pub capacity: u32,
    /// Calls of all daemons that the upstream was processing when it reported its load.
    pub running: u32,
    /// Calls of all daemons that were queued at the upstream when it reported its load.
    pub queued: u32,
    /// Instant at which the upstream reported its load.
    pub reported: clock::Millis,
    /// Calls that this daemon has sent since the load report and that are still in flight.
    pub sent: u32,
    /// Calls of this daemon that are in flight.
    pub inflight: u32,
    /// Adaptive limit on the calls of this daemon in flight.
    pub limit: u32,
    /// Time of one call at an idle upstream, without the time for tokens, in milliseconds.
    pub service_time: f32,
    /// Time per prompt token that is not cached, in milliseconds.
    pub prefill: f32,
    /// Time per generated token, in milliseconds.
    pub decode: f32,
    /// Prompt tokens of this call that are expected in the upstream's prefix cache.
    pub cached_tokens: u32,
    /// Health weight from 0 (ejected) to 1 (healthy).
    pub weight: f32,
    /// Price of one call, in millionths of the currency.
    pub price: f32,
}
