//! Which upstreams are expected to have a prefix cached.

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

fn chain(prompt: u64, count: usize) -> Vec<u64> {
    blocks::hashes(&prompt.to_le_bytes().repeat(count), 8, count)
}

/// Blocks found for `chain` at `upstream`.
fn found(index: &index::PrefixIndex, now: clock::Millis, chain: &[u64], upstream: u32) -> u32 {
    let mut hits = prefix_hits::Hits::default();
    index.lookup(now, chain, &mut hits);
    hits.blocks(upstream)
}

/// Guards against naming equal blocks differently, or different prefixes equally.
#[test]
fn prompts_share_hashes_up_to_their_first_difference() {
    let one = blocks::hashes(b"aaaabbbbcccc", 4, 8);
    let other = blocks::hashes(b"aaaaBBBBccccdd", 4, 8);

    assert_eq!(one.len(), 3);
    assert_eq!(other.len(), 3);
    assert_eq!(one[0], other[0]);
    assert_ne!(one[1], other[1]);
    assert_ne!(one[2], other[2]);
}

/// Guards against forgetting where own calls went.
#[test]
fn own_calls_are_evidence() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let chain = chain(1, 6);

    index.record(NOW, 2, &chain[..4]);

    assert_eq!(found(&index, later(1), &chain, 2), 4);
    assert_eq!(found(&index, later(1), &chain, 1), 0);
}

/// Guards against sending for a prefix that the upstream has evicted.
#[test]
fn a_removal_event_ends_the_evidence() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let chain = chain(1, 3);
    index.record(NOW, 0, &chain);

    index.apply(NOW, 0, 0, change::CacheChange::Removed(chain[2]));

    assert_eq!(found(&index, NOW, &chain, 0), 2);
}

/// Guards against applying an old event again after a repeated read.
#[test]
fn a_repeated_event_is_ignored() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let chain = chain(1, 1);
    index.apply(NOW, 0, 5, change::CacheChange::Removed(chain[0]));
    index.apply(NOW, 0, 6, change::CacheChange::Added(chain[0]));

    index.apply(NOW, 0, 5, change::CacheChange::Removed(chain[0]));

    assert_eq!(found(&index, NOW, &chain, 0), 1);
}

/// Guards against ignoring all events of an upstream that restarted and counts from the start again.
#[test]
fn events_after_a_restart_are_applied() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let (old, new) = (chain(1, 1), chain(2, 1));
    index.apply(NOW, 0, 900, change::CacheChange::Added(old[0]));

    index.restart(later(1), 0);
    index.apply(later(2), 0, 0, change::CacheChange::Added(new[0]));

    assert_eq!(found(&index, later(60), &new, 0), 1);
    assert_eq!(found(&index, later(60), &old, 0), 0);
}

/// Guards against trusting evidence for long when the removals in a gap were missed.
#[test]
fn a_gap_shortens_the_life_of_older_evidence() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let (before, after) = (chain(1, 1), chain(2, 1));
    index.apply(NOW, 0, 0, change::CacheChange::Added(before[0]));
    index.apply(later(1), 0, 1, change::CacheChange::Added(before[0]));
    let whole = found(&index, later(60), &before, 0);

    index.apply(later(2), 0, 500, change::CacheChange::Added(after[0]));

    assert_eq!(whole, 1);
    assert_eq!(found(&index, later(60), &before, 0), 0);
    assert_eq!(found(&index, later(60), &after, 0), 1);
}

/// Guards against trusting own calls for long at an upstream whose events are not read.
#[test]
fn evidence_decays() {
    let index = index::PrefixIndex::new(1 << 16, 4);
    let chain = chain(1, 2);
    index.record(NOW, 1, &chain);

    assert_eq!(found(&index, later(5), &chain, 1), 2);
    assert_eq!(found(&index, later(60), &chain, 1), 0);
}

/// Guards against unbounded memory, and against new evidence that finds no place in a full table.
#[test]
fn new_evidence_replaces_the_oldest() {
    let index = index::PrefixIndex::new(1 << 10, 4);
    for prompt in 0..10_000 {
        index.record(later(prompt / 5000), 0, &chain(prompt, 1));
    }
    let chain = chain(99_999, 1);

    index.record(later(3), 3, &chain);

    let kept = (0..10_000)
        .filter(|prompt| found(&index, later(3), &self::chain(*prompt, 1), 0) > 0)
        .count();
    assert_eq!(found(&index, later(3), &chain, 3), 1);
    assert!(kept <= 128, "{kept} entries in room for 128");
}

/// Guards against moving every prefix when one upstream leaves.
#[test]
fn only_the_prefixes_of_a_leaving_upstream_move() {
    let before: Vec<_> = (0..500)
        .map(|last| preferred::preferred(last, 0..10))
        .collect();
    let after = (0..500).map(|last| preferred::preferred(last, 0..9));

    let moved = before.iter().zip(after).filter(|(old, new)| *old != new);
    let lost = before.iter().filter(|old| **old == Some(9)).count();

    assert_eq!(moved.count(), lost);
    assert!((20..100).contains(&lost), "{lost}");
}

/// A prefix of 4,000 tokens on an engine of the same region.
fn near() -> transfer::Transfer {
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

/// Guards against recomputing what a fast link brings sooner, and against moving 250 MiB over a
/// link that is billed.
#[test]
fn the_link_decides_how_a_prefix_is_used() {
    let settings = settings::ScoreSettings::default();
    let idle = transfer::Transfer {
        extra_wait: 0.0,
        ..near()
    };
    let far = transfer::Transfer {
        link_price: 400.0,
        bandwidth: 50_000.0,
        ..near()
    };
    let short = transfer::Transfer {
        tokens: 20,
        ..near()
    };

    assert_eq!(near().best(&settings), transfer::Source::Import);
    assert_eq!(idle.best(&settings), transfer::Source::Reroute);
    assert_eq!(far.best(&settings), transfer::Source::Recompute);
    assert_eq!(short.best(&settings), transfer::Source::Import);
}
