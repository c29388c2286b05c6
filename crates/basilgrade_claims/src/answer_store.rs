//! Stored answers of finished claims.

use std::collections::VecDeque;

use basilgrade_types::slot;
use bytes::Bytes;
use indexmap::IndexMap;

use crate::claim_key;

type Place = (slot::Slot, claim_key::TableKey);

/// Answers by claim, bounded in bytes; the oldest are evicted first.
#[derive(Debug, Default)]
pub struct AnswerStore {
    answers: IndexMap<Place, Bytes>,
    order: VecDeque<Place>,
    bytes: usize,
    limit: usize,
}

impl AnswerStore {
    /// A store of at most `limit` bytes of answers.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Bytes of answers stored.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The answer of a claim, if it is still stored.
    pub fn get(&self, slot: slot::Slot, key: claim_key::TableKey) -> Option<&Bytes> {
        self.answers.get(&(slot, key))
    }

    /// Stores an answer and evicts the oldest ones beyond the limit.
    pub fn put(&mut self, slot: slot::Slot, key: claim_key::TableKey, answer: &Bytes) {
        self.remove(slot, key);
        self.bytes += answer.len();
        // A copy of its own, so that a stored answer does not keep a whole receive buffer alive.
        self.answers
            .insert((slot, key), Bytes::copy_from_slice(answer));
        self.order.push_back((slot, key));
        while self.bytes > self.limit {
            let Some((slot, key)) = self.order.pop_front() else {
                break;
            };
            self.remove(slot, key);
        }
        // Removed answers leave their place in `order`; it is rebuilt before it doubles.
        if self.order.len() > 2 * self.answers.len() + 64 {
            let answers = &self.answers;
            self.order.retain(|place| answers.contains_key(place));
        }
    }

    /// Removes the answer of a claim.
    pub fn remove(&mut self, slot: slot::Slot, key: claim_key::TableKey) {
        if let Some(answer) = self.answers.swap_remove(&(slot, key)) {
            self.bytes -= answer.len();
        }
    }

    /// Removes the answers of a slot.
    pub fn remove_slot(&mut self, slot: slot::Slot) {
        self.answers.retain(|place, _| place.0 != slot);
        self.order.retain(|place| place.0 != slot);
        self.bytes = self.answers.values().map(Bytes::len).sum();
    }
}
