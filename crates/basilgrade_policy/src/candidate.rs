//! What a daemon knows of an upstream when it chooses.

use basilgrade_types::clock;

/// One upstream that could serve a call. Numbers only, so that 1,200 of them can be scanned in a
/// few microseconds; names are looked up by `index` after the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Position in the list of upstreams of the configuration in force.
    pub index: u32,
    /// Position of its region in the list of regions.
    pub region: u16,
    /// Calls it can work on at once.
    pub capacity: u32,
    /// Calls running as last reported, by all daemons.
    pub running: u32,
    /// Calls waiting as last reported, by all daemons.
    pub queued: u32,
    /// When the report was made.
    pub reported: clock::Millis,
    /// Calls this daemon has sent since the report and that are not finished.
    pub sent: u32,
    /// Calls of this daemon in flight.
    pub inflight: u32,
    /// Most calls of this daemon in flight that the adaptive limit allows.
    pub limit: u32,
    /// Time of one call without waiting, in milliseconds, without tokens.
    pub service_time: f32,
    /// Time per prompt token that is not cached, in milliseconds.
    pub prefill: f32,
    /// Time per generated token, in milliseconds.
    pub decode: f32,
    /// Prompt tokens of this call expected in its cache.
    pub cached_tokens: u32,
    /// Weight from 0 (ejected) to 1 (healthy).
    pub weight: f32,
    /// Price of one call, in millionths of the currency.
    pub price: f32,
}
