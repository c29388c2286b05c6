//! Stored answers of finished claims.

use std::collections::VecDeque;

use basilgrade_types::slot;
use bytes::Bytes;
use indexmap::IndexMap;

use crate::claim_key;

type AnswerKey = (slot::Slot, claim_key::TableKey);

/// Answers of finished claims, bounded in total bytes; the oldest are evicted first.
#[derive(Debug, Default)]
pub struct AnswerStore {
    answers: IndexMap<AnswerKey, Bytes>,
    /// Keys in order of insertion; may contain keys whose answers were removed.
    order: VecDeque<AnswerKey>,
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

    /// The total size of the stored answers, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The answer of the claim on `key`; `None` if it was evicted or never stored.
    pub fn get(&self, slot: slot::Slot, key: claim_key::TableKey) -> Option<&Bytes> {
        self.answers.get(&(slot, key))
    }

    /// Stores an answer, and evicts the oldest answers while the total size exceeds the limit.
    pub fn put(&mut self, slot: slot::Slot, key: claim_key::TableKey, answer: &Bytes) {
        self.remove(slot, key);
        self.bytes += answer.len();
        // The answer is copied, because a slice would keep the whole receive buffer in memory.
        self.answers
            .insert((slot, key), Bytes::copy_from_slice(answer));
        self.order.push_back((slot, key));
        while self.bytes > self.limit {
            let Some((slot, key)) = self.order.pop_front() else {
                break;
            };
            self.remove(slot, key);
        }
        // Removed answers leave their keys in `order`; it is compacted before it grows to more than
        // about twice the number of answers.
        if self.order.len() > 2 * self.answers.len() + 64 {
            let answers = &self.answers;
            self.order.retain(|entry| answers.contains_key(entry));
        }
    }

    pub fn remove(&mut self, slot: slot::Slot, key: claim_key::TableKey) {
        if let Some(answer) = self.answers.swap_remove(&(slot, key)) {
            self.bytes -= answer.len();
        }
    }

    /// Removes all answers of a slot.
    pub fn remove_slot(&mut self, slot: slot::Slot) {
        self.answers.retain(|entry, _| entry.0 != slot);
        self.order.retain(|entry| entry.0 != slot);
        self.bytes = self.answers.values().map(Bytes::len).sum();
    }
}
