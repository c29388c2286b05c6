//! Replay of log entries with arbitrary bytes, arbitrary grants and truncated records.

use std::sync::Arc;

use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::replayer::Replayer;
use basilgrade_types::clock::Millis;
use basilgrade_types::offset::Offset;
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

fn config_with_fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    }
}

fn grant_json() -> impl Strategy<Value = String> {
    let node = |n: u8| format!(r#"{{"vm":"vm{n}","incarnation":{n}}}"#);
    (any::<u8>(), any::<u8>(), any::<u64>(), any::<u64>(), 0..4_u64, any::<bool>()).prop_map(
        move |(slot, vm, floor, ceiling, prev, kept)| {
            let history = if kept { "kept" } else { "lost" };
            format!(
                r#"{{"type":"grants","id":"00000000-0000-0000-0000-000000000000","grants":[{{"slot":{slot},"prev":{prev},"domain":"d0","primary":{},"backup":{},"floor":{floor},"ceiling":{ceiling},"history":"{history}"}}]}}"#,
                node(vm % 3),
                node(vm / 3 % 3),
            )
        },
    )
}

fn entry_body() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        grant_json().prop_map(String::into_bytes),
        // A truncated record.
        (grant_json(), 0..100_usize).prop_map(|(text, end)| text.as_bytes()[..end].to_vec()),
    ]
}

proptest! {
    #![proptest_config(config_with_fixed_seed(300))]

    /// Guards against a panic, an entry that stops replay, and a slot number of 64 or above in the
    /// state, whatever bytes the stream contains.
    #[test]
    fn arbitrary_entries_do_not_stop_replay(
        bodies in proptest::collection::vec(entry_body(), 0..20)
    ) {
        let mut replayer: Replayer<ControlState> = Replayer::new(Arc::new(()));
        let entries: Vec<_> = bodies
            .into_iter()
            .enumerate()
            .map(|(at, body)| Entry { offset: Offset(at as u64), body: Bytes::from(body) })
            .collect();
        let next = Offset(entries.len() as u64);
        let chunk = Chunk { from: Offset(0), first: Offset(0), next, entries };

        replayer.replay_chunk(Millis(1), &chunk);

        prop_assert_eq!(replayer.next(), next);
        prop_assert!(replayer.state().slots().all(|(slot, _)| slot.number() < 64));
    }
}
