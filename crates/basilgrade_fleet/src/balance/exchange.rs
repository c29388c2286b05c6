//! Messages by which daemons tell each other of their work at upstreams.
//!
//! The upstreams are divided into a few shards. Each daemon reports to the aggregating daemon of its
//! failure domain for each shard, which replies with the work of the others. The aggregating daemons
//! of a shard send each other the sums of their failure domains.

use std::sync;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::balance;
use crate::balance::speed_floor;
use crate::directory::upstream;
use crate::ranking;

/// Bytes that replies and sums of an aggregating daemon may take in a second; with its own reports it
/// sends about 4 KB.
const MAX_BYTES_PER_S: u64 = 3600;

/// Estimated size of a message without its entries: the header of the call and the framing.
const MESSAGE_BYTES: u64 = 60;

/// Encoded size of an [`Entry`].
const ENTRY_BYTES: u64 = 8;

/// Minimum interval between reports; a shorter one costs more processor time than the fresher
/// information is worth.
const MIN_INTERVAL: clock::Millis = clock::Millis(250);

/// Minimum number of entries of a message, so that a large deployment reports less often rather than
/// almost nothing.
const MIN_ENTRIES: u64 = 16;

/// Daemons of a failure domain for each of which one aggregates a shard; more shards spread the
/// replies over more daemons but need more messages.
const DAEMONS_PER_SHARD: usize = 4;

/// Maximum number of shards.
const MAX_SHARDS: usize = 8;

/// An aggregating daemon sends the sums once in so many intervals: most requests are served in the
/// failure domain in which they arrive.
pub const SUMS_INTERVALS: usize = 2;

/// A reply leaves at least this part of its entries to upstreams of other failure domains.
const LOCAL_DIVISOR: usize = 2;

/// Weight of a pace below which replies do not pass it on, as receivers would take it for new: that
/// of a pace without a sample for about 4 s.
const MIN_PACE_WEIGHT: f64 = 0.9;

/// Prompt tokens in a unit of [`Entry::tokens`].
const TOKENS_UNIT: f64 = 256.0;

/// Smallest time for a unit of work that [`Entry::pace`] encodes, in milliseconds.
const MIN_PACE: f64 = 0.002;

/// Steps of [`Entry::pace`] in a doubling.
const PACE_STEPS: f64 = 12.0;

/// Short name of a run of an upstream: three bytes of a hash. Two upstreams of 1,200 have the same
/// one with a probability of 4 in 100; their estimates are then mixed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key([u8; 3]);

impl Key {
    pub fn new(upstream: &upstream::Upstream) -> Self {
        let started = upstream.started_at.unwrap_or_default().0;
        let bytes = ranking::weight(started, upstream.id.as_str()).to_le_bytes();
        Self([bytes[0], bytes[1], bytes[2]])
    }

    /// Shard of the upstream among `shards`.
    pub fn shard(self, shards: usize) -> usize {
        usize::from(self.0[0]) % shards.max(1)
    }
}

/// Work at an upstream, and the samples of its speed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    pub key: Key,
    tokens: u8,
    active: u8,
    /// Number of samples of the speed; 0 if `pace` has no meaning.
    samples: u8,
    pace: u8,
    /// Low quantile of the time for a unit of work, encoded like `pace` and one more; 0 if unknown.
    floor: u8,
}

fn byte(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}

fn pace_byte(pace: f64) -> u8 {
    byte((pace.max(MIN_PACE) / MIN_PACE).log2() * PACE_STEPS)
}

fn pace_of(byte: u8) -> f64 {
    MIN_PACE * (f64::from(byte) / PACE_STEPS).exp2()
}

impl Entry {
    pub fn new(key: Key, work: balance::Work, samples: balance::Samples) -> Self {
        Self {
            key,
            tokens: byte(work.tokens / TOKENS_UNIT),
            active: byte(work.active),
            samples: byte(f64::from(samples.count)),
            pace: pace_byte(samples.pace),
            floor: 0,
        }
    }

    /// This entry with the low quantile of the time for a unit of work.
    #[must_use]
    pub fn with_floor(self, floor: Option<f64>) -> Self {
        Self {
            floor: floor.map_or(0, |pace| pace_byte(pace).saturating_add(1)),
            ..self
        }
    }

    pub fn work(&self) -> balance::Work {
        balance::Work {
            tokens: f64::from(self.tokens) * TOKENS_UNIT,
            active: f64::from(self.active),
        }
    }

    pub fn samples(&self) -> balance::Samples {
        balance::Samples {
            count: u32::from(self.samples),
            pace: pace_of(self.pace),
        }
    }

    /// Takes over the entry of a reply, whose work is that of `at`.
    pub fn apply(&self, at: clock::Millis, tracker: &mut balance::Tracker) {
        tracker.set_others(at, self.work());
        if self.samples > 0 {
            tracker.set_pace(at, self.samples().pace);
        }
        if self.floor > 0 {
            let floor = pace_of(self.floor - 1);
            tracker.set_floor(speed_floor::SpeedFloor::known(floor));
        }
    }

    /// Whether the entry tells nothing that its absence does not tell.
    pub fn is_empty(&self) -> bool {
        self.tokens == 0 && self.active == 0 && self.samples == 0
    }
}

/// What this daemon reports of `upstreams`: its work, and the samples since the last report.
pub fn entries<'a>(
    upstreams: impl Iterator<Item = &'a sync::Arc<upstream::Upstream>>,
) -> Vec<Entry> {
    let entries = upstreams.filter_map(|upstream| {
        let stats = &upstream.stats;
        let work = balance::Work {
            tokens: stats.pending_tokens() as f64,
            active: f64::from(stats.active()),
        };
        let samples = stats.tracker().take_samples();
        let is_idle = work == balance::Work::default() && samples.count == 0;
        (!is_idle).then(|| Entry::new(Key::new(upstream), work, samples))
    });
    entries.filter(|entry| !entry.is_empty()).collect()
}

/// Estimated size in bytes of a message with this number of entries.
pub fn message_size(entries: usize) -> u64 {
    MESSAGE_BYTES + entries as u64 * ENTRY_BYTES
}

/// How often messages are sent, and how much they hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Interval between the reports of a daemon.
    pub interval: clock::Millis,
    /// Maximum number of entries of a message.
    pub entries: usize,
    /// Number of shards of the upstreams.
    pub shards: usize,
}

impl Plan {
    /// Plan for `daemons` daemons in `domains` failure domains, by which none sends more than
    /// `MAX_BYTES_PER_S` as an aggregating daemon. All daemons compute the same plan.
    pub fn new(daemons: usize, domains: usize) -> Self {
        let members = daemons.div_ceil(domains.max(1));
        let sums = domains.saturating_sub(1).div_ceil(SUMS_INTERVALS);
        let messages = (members.saturating_sub(1) + sums).max(1) as u64;
        let least = messages * (MESSAGE_BYTES + MIN_ENTRIES * ENTRY_BYTES);
        let interval = MIN_INTERVAL.max(clock::Millis(least * 1000 / MAX_BYTES_PER_S));
        let bytes = interval.0 * MAX_BYTES_PER_S / 1000 / messages;
        Self {
            interval,
            entries: (bytes.saturating_sub(MESSAGE_BYTES) / ENTRY_BYTES) as usize,
            shards: (members / DAEMONS_PER_SHARD).clamp(1, MAX_SHARDS),
        }
    }
}

/// Message of an aggregating daemon.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    pub entries: Vec<Entry>,
    /// Mean age of the work in `entries`.
    pub age: clock::Millis,
}

/// Work of a daemon or a failure domain at an upstream, and its time.
type Table = IndexMap<Key, (clock::Millis, balance::Work)>;

/// State of an aggregating daemon for one shard.
#[derive(Clone, Debug, Default)]
pub struct Aggregator {
    /// Upstreams of the failure domain, of which each reply tells most, and all others.
    upstreams: [Vec<Key>; 2],
    /// Reports of the daemons of the failure domain.
    members: IndexMap<id::VmId, Table>,
    /// Sums of other failure domains.
    domains: IndexMap<id::DomainId, Table>,
    /// Speeds of all upstreams, from the samples of all daemons.
    trackers: IndexMap<Key, balance::Tracker>,
    /// Samples of this failure domain that its sums have not passed on.
    samples: IndexMap<Key, balance::Samples>,
    /// Sums over all tables with the sum of the ages of their entries, and their time.
    totals: (clock::Millis, IndexMap<Key, balance::Work>, clock::Millis),
    /// Numbers of entries that the messages have passed over so far, so that the next one goes on
    /// from there.
    passed: [usize; 3],
}

/// Elements of `keys`, beginning after the first `passed` ones.
fn rotate(keys: &[Key], passed: usize) -> impl Iterator<Item = &Key> {
    let (before, from) = keys.split_at(passed % keys.len().max(1));
    from.iter().chain(before)
}

impl Aggregator {
    /// Replaces the list of upstreams: those of the failure domain, and all others. What is known of
    /// other ones, and reports without weight, are forgotten.
    pub fn set_upstreams(&mut self, now: clock::Millis, local: Vec<Key>, others: Vec<Key>) {
        let known: IndexSet<_> = local.iter().chain(&others).copied().collect();
        self.trackers.retain(|key, _| known.contains(key));
        self.samples.retain(|key, _| known.contains(key));
        self.upstreams = [local, others];
        let tables = self.members.values_mut().chain(self.domains.values_mut());
        for table in tables {
            table.retain(|_, (at, _)| now - *at < balance::REPORT_TTL);
        }
        self.members.retain(|_, table| !table.is_empty());
        self.domains.retain(|_, table| !table.is_empty());
    }

    /// Records the report of a daemon of the failure domain, which holds all its work.
    pub fn record_member(&mut self, now: clock::Millis, member: &id::VmId, entries: &[Entry]) {
        for entry in entries.iter().filter(|entry| entry.samples > 0) {
            let samples = self.samples.entry(entry.key).or_default();
            samples.add(entry.samples());
        }
        let table = entries.iter().map(|entry| (entry.key, (now, entry.work())));
        self.members.insert(member.clone(), table.collect());
        self.merge_samples(now, entries);
    }

    /// Records the sums of another failure domain; those that the message lacks stay as they were.
    pub fn record_domain(&mut self, now: clock::Millis, domain: &id::DomainId, report: &Report) {
        let table = self.domains.entry(domain.clone()).or_default();
        let at = now - report.age;
        for entry in &report.entries {
            table.insert(entry.key, (at, entry.work()));
        }
        self.merge_samples(now, &report.entries);
    }

    fn merge_samples(&mut self, now: clock::Millis, entries: &[Entry]) {
        for entry in entries.iter().filter(|entry| entry.samples > 0) {
            let tracker = self.trackers.entry(entry.key).or_default();
            tracker.merge_pace(now, entry.samples());
        }
    }

    /// Sums up the reports, unless that was done at `now` before.
    fn add_up(&mut self, now: clock::Millis) {
        if self.totals.0 == now {
            return;
        }
        let (mut totals, mut ages, mut count) = (IndexMap::new(), 0, 0);
        for (key, (at, work)) in self.members.values().chain(self.domains.values()).flatten() {
            if now - *at < balance::REPORT_TTL {
                let total: &mut balance::Work = totals.entry(*key).or_default();
                total.tokens += work.tokens;
                total.active += work.active;
                ages += (now - *at).0;
                count += 1;
            }
        }
        self.totals = (now, totals, clock::Millis(ages / count.max(1)));
    }

    /// Work of all daemons but `member`, and the speeds of upstreams, in up to `limit` entries.
    pub fn reply(&mut self, now: clock::Millis, member: &id::VmId, limit: usize) -> Report {
        self.add_up(now);
        let own = self.members.get(member);
        let entry = |key: &Key| {
            let mut work = self.totals.1.get(key).copied().unwrap_or_default();
            if let Some((_, own)) = own.and_then(|own| own.get(key)) {
                work.tokens = (work.tokens - own.tokens).max(0.0);
                work.active = (work.active - own.active).max(0.0);
            }
            let tracker = self.trackers.get(key);
            let pace = tracker.and_then(|tracker| tracker.aged_pace(now));
            let pace = pace.filter(|(_, weight)| *weight > MIN_PACE_WEIGHT);
            let pace = pace.map(|(pace, _)| pace);
            let samples = balance::Samples {
                count: u32::from(pace.is_some()),
                pace: pace.unwrap_or_default(),
            };
            let floor = tracker.and_then(|tracker| tracker.floor().value());
            Entry::new(*key, work, samples).with_floor(floor)
        };
        let [local, others] = &self.upstreams;
        let local_count = local.len().min(limit.saturating_sub(limit / LOCAL_DIVISOR));
        let other_count = others.len().min(limit - local_count);
        let keys = rotate(local, self.passed[0])
            .take(local_count)
            .chain(rotate(others, self.passed[1]).take(other_count));
        let entries = keys.map(entry).collect();
        // Each reply goes to another daemon, so the rotation moves by a part of a reply only.
        let members = self.members.len().max(1);
        self.passed[0] += local_count.div_ceil(members);
        self.passed[1] += other_count.div_ceil(members);
        Report {
            entries,
            age: self.totals.2,
        }
    }

    /// Work of the daemons of the failure domain, with their samples since it was last passed on, in
    /// up to `limit` entries.
    pub fn sums(&mut self, now: clock::Millis, limit: usize) -> Report {
        let (mut sums, mut ages, mut count) = (IndexMap::new(), 0, 0);
        for (key, (at, work)) in self.members.values().flatten() {
            if now - *at < balance::REPORT_TTL {
                let sum: &mut balance::Work = sums.entry(*key).or_default();
                sum.tokens += work.tokens;
                sum.active += work.active;
                ages += (now - *at).0;
                count += 1;
            }
        }
        for key in self.samples.keys() {
            sums.entry(*key).or_default();
        }
        let keys: Vec<_> = sums.keys().copied().collect();
        let chosen = rotate(&keys, self.passed[2]).take(limit);
        let entries = chosen.map(|key| {
            let samples = self.samples.swap_remove(key).unwrap_or_default();
            Entry::new(*key, sums[key], samples)
        });
        let entries: Vec<_> = entries.collect();
        self.passed[2] += entries.len();
        Report {
            entries,
            age: clock::Millis(ages / count.max(1)),
        }
    }
}
