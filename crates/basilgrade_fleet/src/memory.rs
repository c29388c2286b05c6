//! Memory of a model engine for the prompts and outputs of the requests that it holds.
//!
//! An engine fails if the requests of all daemons exceed its memory. The bound is kept without
//! messages: each daemon keeps to its part of the memory of an engine, may always have one request
//! there, and leaves room for what the others hold by the average of its own requests. Requests of
//! which an engine has room for fewer than there are daemons go to engines that are drawn for each
//! daemon, unless they are small and prefer an engine for a shared part.

use basilgrade_types::clock;
use indexmap::IndexMap;

use crate::model::prompt;

/// Time over which the tokens that a daemon holds at an engine are averaged: about the time of two
/// generations, so that a daemon with a request now and then knows its average.
const AVERAGE_TIME: clock::Millis = clock::Millis(4000);

/// Room for requests of other daemons beyond the expected ones, in standard deviations.
const DEVIATIONS: f64 = 2.0;

/// Part of an engine's memory that is used even if single requests are large against it.
const MIN_USABLE: f64 = 0.3;

/// Part of an engine's memory for requests of drawn daemons; other requests take the rest.
const DRAWN_PART: f64 = 0.5;

/// Requests of which fewer fit into an engine go to drawn engines whatever they share.
const MIN_FITTING: u64 = 16;

/// Memory that a request takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Tokens that only this request takes: the rest of its prompt and its output.
    pub own: u64,
    /// Parts that other prompts may share; they take memory once.
    shared: Vec<prompt::Part>,
}

impl Need {
    /// Memory for a request with `prompt`.
    pub fn new(prompt: &prompt::Prompt) -> Self {
        let mut left = prompt.tokens;
        let count = prompt.parts.len().saturating_sub(1);
        let mut shared = Vec::with_capacity(count);
        for part in &prompt.parts[..count] {
            let tokens = part.tokens.min(left);
            left -= tokens;
            shared.push(prompt::Part { tokens, ..*part });
        }
        let own = left.saturating_add(prompt.max_output);
        Self { own, shared }
    }

    /// Memory of the request at an engine that holds no other.
    pub fn total(&self) -> u64 {
        let shared = self.shared.iter().map(|part| part.tokens);
        shared.fold(self.own, u64::saturating_add)
    }
}

/// What the other daemons may hold at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Daemons that send requests to the engine, including this one.
    pub daemons: usize,
    /// Tokens that this daemon holds at an engine of the pool on average.
    pub mean: f64,
    /// Number in 0..1 that is drawn for this daemon and the engine, always the same.
    pub draw: f64,
}

impl Fleet {
    /// Whether requests with `need` may go to the engine, as it is drawn for this daemon or each
    /// daemon may have one there.
    pub fn is_drawn(&self, need: &Need, capacity: u64) -> bool {
        let (own, capacity) = (need.own.max(1) as f64, capacity as f64);
        let is_free = !need.shared.is_empty() && own * MIN_FITTING as f64 <= capacity;
        let daemons = self.daemons as f64;
        is_free || own * daemons <= capacity || self.draw * daemons < capacity * DRAWN_PART / own
    }
}

/// Requests of this daemon that an engine holds.
#[derive(Debug, Default)]
pub struct EngineMemory {
    own: u64,
    /// Shared parts with the number of requests that have them.
    shared: IndexMap<prompt::PartId, (u64, u32)>,
    /// Moving average of `own` until `averaged_at`.
    average: f64,
    averaged_at: clock::Millis,
}

impl EngineMemory {
    /// Tokens that only one request each of this daemon takes.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Tokens of all requests of this daemon, shared parts counted once.
    pub fn total(&self) -> u64 {
        let shared = self.shared.values().map(|(tokens, _)| *tokens);
        shared.fold(self.own, u64::saturating_add)
    }

    /// Adds a request unless the requests of this daemon would exceed `capacity`; `false` if they
    /// would.
    #[must_use]
    pub fn try_begin(&mut self, now: clock::Millis, need: &Need, capacity: u64) -> bool {
        if self.with(need) > capacity {
            return false;
        }
        self.update_average(now);
        self.own = self.own.saturating_add(need.own);
        for part in &need.shared {
            let (tokens, count) = self.shared.entry(part.id).or_default();
            *tokens = (*tokens).max(part.tokens);
            *count += 1;
        }
        true
    }

    /// Removes a request that was added.
    pub fn end(&mut self, now: clock::Millis, need: &Need) {
        self.update_average(now);
        self.own = self.own.saturating_sub(need.own);
        for part in &need.shared {
            if let Some((_, count)) = self.shared.get_mut(&part.id) {
                *count -= 1;
                if *count == 0 {
                    self.shared.swap_remove(&part.id);
                }
            }
        }
    }

    /// Whether an engine with `capacity` has room for another request of this daemon, as far as this
    /// daemon's requests tell.
    ///
    /// Daemons that have sent nothing for a while may all send one request at the same moment; with
    /// more daemons than requests that fit, the engine may get more than it has room for.
    pub fn has_room(&self, now: clock::Millis, need: &Need, capacity: u64, fleet: Fleet) -> bool {
        let total = self.with(need);
        if total > capacity || !fleet.is_drawn(need, capacity) {
            return false;
        }
        let capacity = capacity as f64;
        let daemons = fleet.daemons.max(1) as f64;
        let own = self.own.saturating_add(need.own) as f64;
        // The other daemons send requests with the same shared parts to this engine.
        let shared = total as f64 - own;
        let is_within_part = own * daemons + shared <= capacity;
        // The requests of the others vary like independent events.
        let deviation = (capacity * need.own.max(1) as f64).sqrt();
        let usable = (capacity - DEVIATIONS * deviation).max(capacity * MIN_USABLE);
        let expected = (daemons - 1.0) * fleet.mean.max(self.average(now));
        (is_within_part || self.own == 0) && (expected == 0.0 || expected + total as f64 <= usable)
    }

    /// Tokens of all requests of this daemon with another one.
    fn with(&self, need: &Need) -> u64 {
        let added = need.shared.iter().map(|part| {
            let held = self.shared.get(&part.id).map_or(0, |(tokens, _)| *tokens);
            part.tokens.saturating_sub(held)
        });
        let own = self.total().saturating_add(need.own);
        added.fold(own, u64::saturating_add)
    }

    fn average(&self, now: clock::Millis) -> f64 {
        let span = (now - self.averaged_at).as_f64();
        let weight = (-span / AVERAGE_TIME.as_f64()).exp();
        self.average * weight + self.own as f64 * (1.0 - weight)
    }

    fn update_average(&mut self, now: clock::Millis) {
        self.average = self.average(now);
        self.averaged_at = self.averaged_at.max(now);
    }
}
