//! Streams of the log service, stored in memory.

use std::collections;
use std::time;

use indexmap::IndexMap;
use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
pub(super) struct Record {
    offset: u64,
    body: String,
}

#[derive(Debug, Serialize)]
pub(super) struct Batch {
    first: u64,
    next: u64,
    records: Vec<Record>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: collections::VecDeque<String>,
}

/// Records of all streams, with limits on the records per stream and on the appends per second.
#[derive(Debug)]
pub(super) struct LogStore {
    retention: usize,
    rate: u64,
    streams: IndexMap<String, Stream>,
    /// Start of the current window of 1 s and number of appends in it.
    window: (time::Instant, u64),
}

impl LogStore {
    pub(super) fn new(retention: usize, rate: u64) -> Self {
        Self {
            retention: retention.max(1),
            rate,
            streams: IndexMap::new(),
            window: (time::Instant::now(), 0),
        }
    }

    /// Counts an append and returns whether the rate limit permits it.
    pub(super) fn admit(&mut self, now: time::Instant) -> bool {
        if self.rate == 0 {
            return true;
        }
        if now.duration_since(self.window.0) >= time::Duration::from_secs(1) {
            self.window = (now, 0);
        }
        self.window.1 += 1;
        self.window.1 <= self.rate
    }

    /// Appends a record and returns its offset. Removes the oldest record if the stream is full.
    pub(super) fn append(&mut self, name: &str, body: String) -> u64 {
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.records.push_back(body);
        if stream.records.len() > self.retention {
            stream.records.pop_front();
            stream.first += 1;
        }
        stream.first + stream.records.len() as u64 - 1
    }

    /// Removes the records before offset `first`.
    pub(super) fn expire(&mut self, name: &str, first: u64) {
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        while stream.first < first && stream.records.pop_front().is_some() {
            stream.first += 1;
        }
    }

    /// Reads at most `max` records, starting at `from` or at the first retained record.
    pub(super) fn read(&self, name: &str, from: u64, max: usize) -> Batch {
        let Some(stream) = self.streams.get(name) else {
            return Batch {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        let end = stream.first + stream.records.len() as u64;
        let start = from.clamp(stream.first, end);
        let records: Vec<Record> = stream
            .records
            .iter()
            .zip(stream.first..)
            .skip((start - stream.first) as usize)
            .take(max)
            .map(|(body, offset)| Record {
                offset,
                body: body.clone(),
            })
            .collect();
        Batch {
            first: stream.first,
            next: start + records.len() as u64,
            records,
        }
    }

    /// Returns the bodies of all retained records of a stream.
    pub(super) fn bodies(&self, name: &str) -> Vec<String> {
        let stream = self.streams.get(name);
        stream.map_or_else(Vec::new, |stream| stream.records.iter().cloned().collect())
    }
}
