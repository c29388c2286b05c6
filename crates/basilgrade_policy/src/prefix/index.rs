//! Index of which upstreams have which blocks in their prefix cache.

use std::sync::atomic;

use basilgrade_types::clock;

use crate::prefix::change;
use crate::prefix::prefix_hits;

/// Slots per set; a lookup reads one cache line per block.
const WAYS: usize = 8;

/// Milliseconds per tick, the unit of an entry's time.
const TICK_MS: u64 = 128;

/// Mask of 24 bits, the width of the tag and of the tick in an entry.
const FIELD_MASK: u64 = (1 << 24) - 1;

/// Lifetime of an entry in ticks: two minutes.
const LIFETIME_TICKS: u64 = 120_000 / TICK_MS;

/// Lifetime of an entry in ticks when removals may have been missed: 30 s.
///
/// It applies to upstreams whose cache events are not read, and to entries older than a gap in the
/// events.
const UNCONFIRMED_TICKS: u64 = 30_000 / TICK_MS;

/// A set-associative table of (block, upstream) pairs with bounded memory.
///
/// Entries come from this daemon's own calls and from the cache events of upstreams. Each entry is
/// one atomic word (tag, upstream, tick), so readers and writers never block; a lost update loses
/// only one hint. When a set is full, its oldest entry is replaced.
#[derive(Debug)]
pub struct PrefixIndex {
    sets: Vec<[atomic::AtomicU64; WAYS]>,
    streams: Vec<EventStream>,
}

/// Number of missing events from which the older entries of an upstream count as unconfirmed.
///
/// One missing event concerns one block among several hundred. Treating every missing event as a
/// gap cost a third of the hits at 1% event loss.
const GAP_EVENTS: u64 = 64;

/// Progress in reading the cache events of one upstream.
#[derive(Debug, Default)]
struct EventStream {
    /// Number of the next expected event plus one; 0 before the first event.
    next: atomic::AtomicU64,
    /// Number of events missed since the last gap.
    missed: atomic::AtomicU64,
    /// Tick of the last gap plus one; 0 if there was none.
    gap_tick: atomic::AtomicU64,
}

/// Entry in unpacked form.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Entry {
    tag: u64,
    upstream: u32,
    tick: u64,
}

impl Entry {
    /// Unpacks the entry in `word`, or returns `None` for 0, which marks an empty slot.
    fn unpack(word: u64) -> Option<Self> {
        (word != 0).then_some(Self {
            tag: word >> 40,
            upstream: (word >> 24 & 0xFFFF) as u32,
            tick: word & FIELD_MASK,
        })
    }

    fn pack(self) -> u64 {
        self.tag << 40 | u64::from(self.upstream) << 24 | self.tick
    }

    /// Ticks since the entry was written. The tick counter wraps after 24 days.
    fn age(self, now: u64) -> u64 {
        now.wrapping_sub(self.tick) & FIELD_MASK
    }
}

impl PrefixIndex {
    /// An index of at most `bytes` bytes for `upstreams` upstreams, of which there can be 65,536.
    pub fn new(bytes: usize, upstreams: usize) -> Self {
        let sets = (bytes / (WAYS * size_of::<u64>())).max(1);
        // The set is selected by the low bits of the hash, so the number of sets is a power of two.
        let sets = 1 << sets.ilog2();
        Self {
            sets: (0..sets)
                .map(|_| [const { atomic::AtomicU64::new(0) }; WAYS])
                .collect(),
            streams: (0..upstreams).map(|_| EventStream::default()).collect(),
        }
    }

    /// Records that a call with `blocks` was sent to `upstream`, which will therefore cache them.
    pub fn record(&self, now: clock::Millis, upstream: u32, blocks: &[u64]) {
        for hash in blocks {
            self.insert(ticks(now), upstream, *hash);
        }
    }

    /// Applies the cache event with sequence number `number` of `upstream`.
    ///
    /// Events that were already applied are ignored. When too many numbers are missing, the older
    /// entries of the upstream count as unconfirmed.
    pub fn apply(
        &self,
        now: clock::Millis,
        upstream: u32,
        number: u64,
        change: change::CacheChange,
    ) {
        let Some(stream) = self.streams.get(upstream as usize) else {
            return;
        };
        let next = stream.next.load(atomic::Ordering::Relaxed);
        // Numbers near the maximum are rejected, because the next number could not be stored.
        if number > u64::MAX - 2 || next > number + 1 {
            return;
        }
        if next != 0 {
            let missing = number + 1 - next;
            let missed = stream.missed.fetch_add(missing, atomic::Ordering::Relaxed) + missing;
            if missed >= GAP_EVENTS {
                stream.missed.store(0, atomic::Ordering::Relaxed);
                stream
                    .gap_tick
                    .store(ticks(now) + 1, atomic::Ordering::Relaxed);
            }
        }
        stream.next.store(number + 2, atomic::Ordering::Relaxed);
        match change {
            change::CacheChange::Added(hash) => self.insert(ticks(now), upstream, hash),
            change::CacheChange::Removed(hash) => self.remove(upstream, hash),
        }
    }

    /// Resets the event stream of `upstream`, which has restarted and numbers its events from the
    /// start.
    ///
    /// Older entries of the upstream count as unconfirmed until a call or an event renews them.
    pub fn restart(&self, now: clock::Millis, upstream: u32) {
        let Some(stream) = self.streams.get(upstream as usize) else {
            return;
        };
        stream.next.store(0, atomic::Ordering::Relaxed);
        stream.missed.store(0, atomic::Ordering::Relaxed);
        stream
            .gap_tick
            .store(ticks(now) + 1, atomic::Ordering::Relaxed);
    }

    /// Collects in `hits` the upstreams that are expected to have leading blocks of the prompt
    /// cached.
    ///
    /// An entry for one block implies that the blocks before it are cached as well, because caches
    /// evict prefixes from the end. The entries of the earlier blocks are not required: blocks that
    /// many prompts share are cached on more upstreams than a set can hold.
    pub fn lookup(&self, now: clock::Millis, blocks: &[u64], hits: &mut prefix_hits::Hits) {
        let now = ticks(now);
        hits.found.clear();
        for (depth, hash) in blocks.iter().enumerate().rev() {
            for slot in self.set(*hash) {
                let entry = Entry::unpack(slot.load(atomic::Ordering::Relaxed));
                let Some(entry) = entry.filter(|entry| entry.tag == tag(*hash)) else {
                    continue;
                };
                let known = hits.found.iter().any(|hit| hit.upstream == entry.upstream);
                if !known && self.is_valid(now, entry) {
                    hits.found.push(prefix_hits::Hit {
                        upstream: entry.upstream,
                        blocks: depth as u32 + 1,
                    });
                }
            }
        }
    }

    /// Whether `entry` is younger than its lifetime, which is shorter if removals may have been
    /// missed.
    fn is_valid(&self, now: u64, entry: Entry) -> bool {
        let Some(stream) = self.streams.get(entry.upstream as usize) else {
            return false;
        };
        let unread = stream.next.load(atomic::Ordering::Relaxed) == 0;
        let gap_tick = stream.gap_tick.load(atomic::Ordering::Relaxed);
        let age = entry.age(now);
        let precedes_gap = gap_tick != 0 && age > now.wrapping_sub(gap_tick - 1) & FIELD_MASK;
        let missed = unread || precedes_gap;
        age < if missed {
            UNCONFIRMED_TICKS
        } else {
            LIFETIME_TICKS
        }
    }

    fn set(&self, hash: u64) -> &[atomic::AtomicU64; WAYS] {
        &self.sets[hash as usize & (self.sets.len() - 1)]
    }

    fn insert(&self, tick: u64, upstream: u32, hash: u64) {
        let set = self.set(hash);
        let mut oldest = (0, 0);
        for (way, slot) in set.iter().enumerate() {
            let Some(entry) = Entry::unpack(slot.load(atomic::Ordering::Relaxed)) else {
                // An empty slot is preferred to any entry, unless a later slot holds the same pair.
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
            tick: tick & FIELD_MASK,
        };
        set[oldest.0].store(entry.pack(), atomic::Ordering::Relaxed);
    }

    fn remove(&self, upstream: u32, hash: u64) {
        for slot in self.set(hash) {
            let word = slot.load(atomic::Ordering::Relaxed);
            let matches = Entry::unpack(word)
                .is_some_and(|entry| entry.tag == tag(hash) && entry.upstream == upstream);
            if matches {
                // If the slot has changed in the meantime, it holds a newer entry, which is kept.
                let _ = slot.compare_exchange(
                    word,
                    0,
                    atomic::Ordering::Relaxed,
                    atomic::Ordering::Relaxed,
                );
            }
        }
    }
}

/// Upper bits of the hash, which tell blocks of one set apart. The tag is never 0, because a word
/// of 0 marks an empty slot.
fn tag(hash: u64) -> u64 {
    (hash >> 40).max(1)
}

fn ticks(now: clock::Millis) -> u64 {
    (now.0 / TICK_MS) & FIELD_MASK
}
