//! Tests of the prediction which upstreams have a prefix cached.

use basilgrade_policy::prefix::blocks;
use basilgrade_policy::prefix::change;
use basilgrade_policy::prefix::index;
use basilgrade_policy::prefix::preferred;
use basilgrade_policy::prefix::prefix_hits;
use basilgrade_policy::prefix::transfer;
use basilgrade_policy::router::settings;
use basilgrade_types::clock;

const NOW: clock::Millis = clock::Millis(1_000_000);

fn later(seconds: u64) -> clock::Millis {
    NOW + clock::Millis::from_secs(seconds)
}

/// Hashes of the first `count` blocks of a prompt that consists of the number `prompt`, repeated.
fn hashes(prompt: u64, count: usize) -> Vec<u64> {
    blocks::hashes(&prompt.to_le_bytes().repeat(count), 8, count)
}

/// Number of leading blocks of `hashes` that the index expects at `upstream`.
fn cached_blocks(
    index: &index::PrefixIndex,
    now: clock::Millis,
    hashes: &[u64],
    upstream: u32,
) -> u32 {
    let mut hits = prefix_hits::Hits::default();
    index.lookup(now, hashes, &mut hits);
    hits.blocks(upstream)
}

/// Equal blocks must have equal hashes, and blocks after a difference must have different hashes.
#[test]
fn prompts_share_hashes_up_to_their_first_difference() {
    let first = blocks::hashes(b"aaaabbbbcccc", 4, 8);
    let second = blocks::hashes(b"aaaaBBBBccccdd", 4, 8);

    assert_eq!(first.len(), 3);
    assert_eq!(second.len(), 3);
    assert_eq!(first[0], second[0]);
    assert_ne!(first[1], second[1]);
    assert_ne!(first[2], second[2]);
}

/// The index must remember where this daemon sent a prefix.
#[test]
fn own_calls_are_recorded_as_cached() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let hashes = hashes(1, 6);

    index.record(NOW, 2, &hashes[..4]);

    assert_eq!(cached_blocks(&index, later(1), &hashes, 2), 4);
    assert_eq!(cached_blocks(&index, later(1), &hashes, 1), 0);
}

/// Calls must not be sent to an upstream for a prefix that the upstream has evicted.
#[test]
fn removal_event_removes_the_entry() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let hashes = hashes(1, 3);
    index.record(NOW, 0, &hashes);

    index.apply(NOW, 0, 0, change::CacheChange::Removed(hashes[2]));

    assert_eq!(cached_blocks(&index, NOW, &hashes, 0), 2);
}

/// An old event must not be applied again when events are read repeatedly.
#[test]
fn repeated_event_is_ignored() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let hashes = hashes(1, 1);
    index.apply(NOW, 0, 5, change::CacheChange::Removed(hashes[0]));
    index.apply(NOW, 0, 6, change::CacheChange::Added(hashes[0]));

    index.apply(NOW, 0, 5, change::CacheChange::Removed(hashes[0]));

    assert_eq!(cached_blocks(&index, NOW, &hashes, 0), 1);
}

/// Events must not be ignored when an upstream restarts and numbers its events from the start.
#[test]
fn events_after_a_restart_are_applied() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let (old, new) = (hashes(1, 1), hashes(2, 1));
    index.apply(NOW, 0, 900, change::CacheChange::Added(old[0]));

    index.restart(later(1), 0);
    index.apply(later(2), 0, 0, change::CacheChange::Added(new[0]));

    assert_eq!(cached_blocks(&index, later(60), &new, 0), 1);
    assert_eq!(cached_blocks(&index, later(60), &old, 0), 0);
}

/// Older entries must not be trusted for the full lifetime when removals may have been missed in a
/// gap.
#[test]
fn gap_in_events_shortens_the_lifetime_of_older_entries() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let (before, after) = (hashes(1, 1), hashes(2, 1));
    index.apply(NOW, 0, 0, change::CacheChange::Added(before[0]));
    index.apply(later(1), 0, 1, change::CacheChange::Added(before[0]));
    let before_gap = cached_blocks(&index, later(60), &before, 0);

    index.apply(later(2), 0, 500, change::CacheChange::Added(after[0]));

    assert_eq!(before_gap, 1);
    assert_eq!(cached_blocks(&index, later(60), &before, 0), 0);
    assert_eq!(cached_blocks(&index, later(60), &after, 0), 1);
}

/// Own calls must not be trusted for the full lifetime at an upstream whose events are not read.
#[test]
fn entries_without_events_expire_early() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let hashes = hashes(1, 2);
    index.record(NOW, 1, &hashes);

    assert_eq!(cached_blocks(&index, later(5), &hashes, 1), 2);
    assert_eq!(cached_blocks(&index, later(60), &hashes, 1), 0);
}

/// The index must not grow without bounds, and a new entry must find a slot in a full table.
#[test]
fn new_entries_replace_the_oldest() {
    let index = index::PrefixIndex::new(1 << 10, 4);
    for prompt in 0..10_000 {
        index.record(later(prompt / 5000), 0, &hashes(prompt, 1));
    }
    let hashes = hashes(99_999, 1);

    index.record(later(3), 3, &hashes);

    let entries_left = (0..10_000)
        .filter(|prompt| cached_blocks(&index, later(3), &self::hashes(*prompt, 1), 0) > 0)
        .count();
    assert_eq!(cached_blocks(&index, later(3), &hashes, 3), 1);
    assert!(
        entries_left <= 128,
        "{entries_left} entries are left, but the index has 128 slots"
    );
}

/// When one upstream leaves, the prefixes of the other upstreams must not move.
#[test]
fn only_the_prefixes_of_a_leaving_upstream_move() {
    let before: Vec<_> = (0..500)
        .map(|last| preferred::preferred(last, 0..10))
        .collect();
    let after = (0..500).map(|last| preferred::preferred(last, 0..9));

    let moved = before.iter().zip(after).filter(|(old, new)| *old != new);
    let from_removed = before.iter().filter(|old| **old == Some(9)).count();

    assert_eq!(moved.count(), from_removed);
    assert!((20..100).contains(&from_removed), "{from_removed}");
}

/// A prefix of 4,000 tokens on an engine of the same region.
fn same_region() -> transfer::Transfer {
    transfer::Transfer {
        tokens: 4000,
        token_bytes: 65_536.0,
        text_bytes: 16_384.0,
        prefill: 0.5,
        bandwidth: 1_000_000.0,
        latency: 0.5,
        extra_wait: 5000.0,
        link_price: 0.0,
        left_ms: 8000.0,
    }
}

/// A prefix must be imported over a fast link instead of recomputed, but 250 MiB of KV cache must
/// not be sent over a link that is billed.
#[test]
fn source_of_a_prefix_depends_on_the_link() {
    let settings = settings::ScoreSettings::default();
    let idle = transfer::Transfer {
        extra_wait: 0.0,
        ..same_region()
    };
    let other_region = transfer::Transfer {
        link_price: 400.0,
        bandwidth: 50_000.0,
        ..same_region()
    };
    let short_prefix = transfer::Transfer {
        tokens: 20,
        ..same_region()
    };

    assert_eq!(same_region().best(&settings), transfer::Source::Import);
    assert_eq!(idle.best(&settings), transfer::Source::Reroute);
    assert_eq!(other_region.best(&settings), transfer::Source::Recompute);
    assert_eq!(short_prefix.best(&settings), transfer::Source::Import);
}
