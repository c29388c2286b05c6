//! The simulated log service.

use basilgrade_journal::chunk;
use basilgrade_journal::entry;
use basilgrade_types::offset;
use bytes::Bytes;

/// An append-only stream whose oldest records expire. Each entry has its time in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: Vec<(u64, Bytes)>,
    /// The index of the oldest entry that has not expired.
    first: usize,
}

impl Log {
    pub(crate) fn append(&mut self, now: u64, body: Bytes) -> offset::Offset {
        self.entries.push((now, body));
        offset::Offset(self.entries.len() as u64 - 1)
    }

    /// Removes records that are older than `retention` milliseconds.
    pub(crate) fn expire(&mut self, now: u64, retention: u64) {
        while self.first < self.entries.len() && self.entries[self.first].0 + retention < now {
            self.first += 1;
        }
    }

    pub(crate) fn read(&self, from: offset::Offset, max: usize) -> chunk::Chunk {
        let start = (from.0 as usize).max(self.first).min(self.entries.len());
        let end = (start + max).min(self.entries.len());
        chunk::Chunk {
            from,
            first: offset::Offset(self.first as u64),
            next: offset::Offset(end as u64),
            entries: (start..end)
                .map(|position| entry::Entry {
                    offset: offset::Offset(position as u64),
                    body: self.entries[position].1.clone(),
                })
                .collect(),
        }
    }
}
