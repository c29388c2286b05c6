//! The index from blocks to upstreams.

use std::sync::atomic;

use basilgrade_types::clock;

use crate::prefix::cache_change;
use crate::prefix::prefix_hits;

/// Entries that share a place in the table; a lookup reads one cache line per block.
const WAYS: usize = 8;

/// Milliseconds in the unit of an entry's time.
const TICK: u64 = 128;

/// Bits of an entry's time and of its tag.
const FIELD: u64 = (1 << 24) - 1;

/// Ticks for which an entry is believed: two minutes.
const LIFETIME: u64 = 120_000 / TICK;

/// Ticks for which an entry is believed when removals may have been missed: 30 s.
///
/// This holds for upstreams whose events are not read, and for entries older than a gap in the
/// events.
const DOUBTFUL: u64 = 30_000 / TICK;

/// A bounded table of (block, upstream) pairs.
///
/// Evidence is this daemon's own calls and the upstreams' cache events. Each entry is one atomic
/// word (tag, upstream, time), so readers and writers never wait; a lost update loses one hint.
/// When a set is full, its oldest entry is replaced.
#[derive(Debug)]
pub struct PrefixIndex {
    sets: Vec<[atomic::AtomicU64; WAYS]>,
    upstreams: Vec<Events>,
}

/// Missing events after which an upstream's older entries are doubtful.
///
/// A missing event concerns one block of several hundred, so a few of them say little; treating each
/// gap as doubtful cost a third of the hits at 1% loss.
const GAP: u64 = 64;

/// What is known of the event stream of one upstream.
#[derive(Debug, Default)]
struct Events {
    /// Number of the next event, plus one; 0 before the first.
    next: atomic::AtomicU64,
    /// Events missed since the last gap.
    missed: atomic::AtomicU64,
    /// Tick of the last gap, plus one; 0 without one.
    gap: atomic::AtomicU64,
}

/// One entry, unpacked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Entry {
    tag: u64,
    upstream: u32,
    tick: u64,
}

impl Entry {
    /// The entry in `word`, if there is one; 0 is an empty place.
    fn unpack(word: u64) -> Option<Self> {
        (word != 0).then_some(Self {
            tag: word >> 40,
            upstream: (word >> 24 & 0xFFFF) as u32,
            tick: word & FIELD,
        })
    }

    fn pack(self) -> u64 {
        self.tag << 40 | u64::from(self.upstream) << 24 | self.tick
    }

    /// Ticks since the entry was written; the counter wraps after 24 days.
    fn age(self, now: u64) -> u64 {
        now.wrapping_sub(self.tick) & FIELD
    }
}

impl PrefixIndex {
    /// An index of at most `bytes` bytes for `upstreams` upstreams (at most 65,536).
    pub fn new(bytes: usize, upstreams: usize) -> Self {
        let sets = (bytes / (WAYS * size_of::<u64>())).max(1);
        // The set is taken from the low bits of the hash.
        let sets = 1 << sets.ilog2();
        Self {
            sets: (0..sets)
                .map(|_| [const { atomic::AtomicU64::new(0) }; WAYS])
                .collect(),
            upstreams: (0..upstreams).map(|_| Events::default()).collect(),
        }
    }

    /// Records that a call with these blocks was sent to `upstream`, which will cache them.
    pub fn record(&self, now: clock::Millis, upstream: u32, blocks: &[u64]) {
        for hash in blocks {
            self.insert(ticks(now), upstream, *hash);
        }
    }

    /// Applies event number `number` of `upstream`.
    ///
    /// Events that were already applied are ignored; missing numbers make the older entries of the
    /// upstream doubtful.
    pub fn apply(
        &self,
        now: clock::Millis,
        upstream: u32,
        number: u64,
        change: cache_change::CacheChange,
    ) {
        let Some(events) = self.upstreams.get(upstream as usize) else {
            return;
        };
        let next = events.next.load(atomic::Ordering::Relaxed);
        // The greatest numbers are left out, so that the next one can be counted.
        if number > u64::MAX - 2 || next > number + 1 {
            return;
        }
        if next != 0 {
            let missing = number + 1 - next;
            let missed = events.missed.fetch_add(missing, atomic::Ordering::Relaxed) + missing;
            if missed >= GAP {
                events.missed.store(0, atomic::Ordering::Relaxed);
                events.gap.store(ticks(now) + 1, atomic::Ordering::Relaxed);
            }
        }
        events.next.store(number + 2, atomic::Ordering::Relaxed);
        match change {
            cache_change::CacheChange::Added(hash) => self.insert(ticks(now), upstream, hash),
            cache_change::CacheChange::Removed(hash) => self.remove(upstream, hash),
        }
    }

    /// Begins to read the events of `upstream` anew, because it has restarted and counts from the
    /// start again.
    ///
    /// What it had cached is doubtful until the next call or event confirms it.
    pub fn restart(&self, now: clock::Millis, upstream: u32) {
        let Some(events) = self.upstreams.get(upstream as usize) else {
            return;
        };
        events.next.store(0, atomic::Ordering::Relaxed);
        events.missed.store(0, atomic::Ordering::Relaxed);
        events.gap.store(ticks(now) + 1, atomic::Ordering::Relaxed);
    }

    /// Finds the upstreams that are expected to have the first blocks, in `hits`.
    ///
    /// A block is evidence for all blocks before it, because caches evict the ends of prefixes
    /// first. Blocks that many prompts share are on more upstreams than a set can hold, so they are
    /// not required.
    pub fn lookup(&self, now: clock::Millis, blocks: &[u64], hits: &mut prefix_hits::Hits) {
        let now = ticks(now);
        hits.found.clear();
        for (depth, hash) in blocks.iter().enumerate().rev() {
            for place in self.set(*hash) {
                let entry = Entry::unpack(place.load(atomic::Ordering::Relaxed));
                let Some(entry) = entry.filter(|entry| entry.tag == tag(*hash)) else {
                    continue;
                };
                let known = hits.found.iter().any(|hit| hit.upstream == entry.upstream);
                if !known && self.believed(now, entry) {
                    hits.found.push(prefix_hits::Hit {
                        upstream: entry.upstream,
                        blocks: depth as u32 + 1,
                    });
                }
            }
        }
    }

    fn believed(&self, now: u64, entry: Entry) -> bool {
        let Some(events) = self.upstreams.get(entry.upstream as usize) else {
            return false;
        };
        let unread = events.next.load(atomic::Ordering::Relaxed) == 0;
        let gap = events.gap.load(atomic::Ordering::Relaxed);
        let age = entry.age(now);
        let before_gap = gap != 0 && age > now.wrapping_sub(gap - 1) & FIELD;
        let missed = unread || before_gap;
        age < if missed { DOUBTFUL } else { LIFETIME }
    }

    fn set(&self, hash: u64) -> &[atomic::AtomicU64; WAYS] {
        &self.sets[hash as usize & (self.sets.len() - 1)]
    }

    fn insert(&self, tick: u64, upstream: u32, hash: u64) {
        let set = self.set(hash);
        let mut oldest = (0, 0);
        for (way, place) in set.iter().enumerate() {
            let Some(entry) = Entry::unpack(place.load(atomic::Ordering::Relaxed)) else {
                // An empty place is older than any entry, but the pair may follow in a later one.
                oldest = (way, u64::MAX);
                continue;
            };
            if entry.tag == tag(hash) && entry.upstream == upstream {
                oldest = (way, u64::MAX);
                break;
            }
            if entry.age(tick) >= oldest.1 {
                oldest = (way, entry.age(tick));
            }
        }
        let entry = Entry {
            tag: tag(hash),
            upstream,
            tick: tick & FIELD,
        };
        set[oldest.0].store(entry.pack(), atomic::Ordering::Relaxed);
    }

    fn remove(&self, upstream: u32, hash: u64) {
        for place in self.set(hash) {
            let word = place.load(atomic::Ordering::Relaxed);
            let matches = Entry::unpack(word)
                .is_some_and(|entry| entry.tag == tag(hash) && entry.upstream == upstream);
            if matches {
                // A place that changed meanwhile holds newer evidence.
                let _ = place.compare_exchange(
                    word,
                    0,
                    atomic::Ordering::Relaxed,
                    atomic::Ordering::Relaxed,
                );
            }
        }
    }
}

/// The bits that tell blocks of one set apart; never 0, which marks an empty place.
fn tag(hash: u64) -> u64 {
    (hash >> 40).max(1)
}

fn ticks(now: clock::Millis) -> u64 {
    (now.0 / TICK) & FIELD
}
