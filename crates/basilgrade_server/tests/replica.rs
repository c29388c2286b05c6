//! Tests of the replay of a log stream by transfers between peers.

use std::sync;

use basilgrade_journal::chunk;
use basilgrade_journal::config_merge;
use basilgrade_journal::config_record;
use basilgrade_journal::config_state;
use basilgrade_journal::entry;
use basilgrade_journal::merge;
use basilgrade_journal::publication;
use basilgrade_server::journal::replica;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::revision;
use proptest::prelude::*;

type Replica = replica::Replica<config_state::ConfigState>;

fn replica() -> Replica {
    let merge: sync::Arc<dyn merge::Merge> = sync::Arc::new(config_merge::ConfigMerge);
    Replica::new(merge)
}

fn record(number: u64) -> entry::Entry {
    let change = config_record::Change::Text(format!("text {number}"));
    let id = uuid::Uuid::from_u128(u128::from(number) + 1);
    let (_, body) = publication::Publication::new(id, revision::Revision(number), change);
    entry::Entry {
        offset: offset::Offset(number),
        body,
    }
}

fn chunk(from: u64, to: u64) -> chunk::Chunk {
    chunk::Chunk {
        from: offset::Offset(from),
        first: offset::Offset(0),
        next: offset::Offset(to),
        entries: (from..to).map(record).collect(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: prop::test_runner::RngSeed::Fixed(22),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against transfers that leave a gap, return an older state, or are empty although the
    /// peer lags behind, also if transfers are repeated or reordered.
    #[test]
    fn peer_that_pulls_reaches_the_state_of_its_source(
        steps in prop::collection::vec((1_u64..400, any::<bool>(), any::<bool>()), 1..8),
    ) {
        let now = clock::Millis(1);
        let (source, peer) = (replica(), replica());
        let mut end = 0;
        let mut old = None;
        for (length, pulls, repeats) in steps {
            source.apply_chunk(now, &chunk(end, end + length));
            end += length;
            if pulls {
                let transfer = source.transfer(peer.next());
                peer.apply_transfer(now, transfer.clone());
                if repeats && let Some(old) = old.take() {
                    peer.apply_transfer(now, old);
                }
                prop_assert_eq!(peer.next(), source.next());
                old = Some(transfer);
            }
        }
        peer.apply_transfer(now, source.transfer(peer.next()));
        let held = |replica: &Replica| replica.with(|replayer| replayer.state().clone());
        prop_assert_eq!(held(&peer), held(&source));
        prop_assert!(peer.is_current());
    }
}
