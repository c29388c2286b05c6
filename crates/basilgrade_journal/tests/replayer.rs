//! Replay of both streams: acceptance, snapshots, retention and malformed entries.

use std::sync::Arc;

use basilgrade_journal::chunk;
use basilgrade_journal::config_record;
use basilgrade_journal::config_state;
use basilgrade_journal::encode;
use basilgrade_journal::entry;
use basilgrade_journal::merge;
use basilgrade_journal::publication;
use basilgrade_journal::replayer;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::revision;
use bytes::Bytes;
use uuid::Uuid;

const NOW: clock::Millis = clock::Millis(1_000_000);

struct AppendMerge;

impl merge::Merge for AppendMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, merge::MergeError> {
        if delta.is_empty() {
            return Err(merge::MergeError::Invalid("empty".into()));
        }
        Ok(format!("{text}{delta}"))
    }
}

type ConfigFold = replayer::Replayer<config_state::ConfigState>;

fn new_fold() -> ConfigFold {
    let merger: Arc<dyn merge::Merge> = Arc::new(AppendMerge);
    replayer::Replayer::new(merger)
}

fn publish(id: u128, base: u64, delta: &str) -> Bytes {
    let change = config_record::Change::Delta(delta.into());
    publication::Publication::new(Uuid::from_u128(id), revision::Revision(base), change).1
}

fn read(log: &[Bytes], first: u64, from: u64, max: usize) -> chunk::Chunk {
    let start = from.max(first).min(log.len() as u64);
    let entries: Vec<_> = (start..log.len() as u64)
        .take(max)
        .map(|at| entry::Entry {
            offset: offset::Offset(at),
            body: log[at as usize].clone(),
        })
        .collect();
    chunk::Chunk {
        from: offset::Offset(from),
        first: offset::Offset(first),
        next: offset::Offset(start + entries.len() as u64),
        entries,
    }
}

fn replay(fold: &mut ConfigFold, log: &[Bytes], first: u64) -> Vec<config_state::ConfigEvent> {
    let mut events = Vec::new();
    for _ in 0..2 * log.len() + 2 {
        events.extend(fold.replay_chunk(NOW, &read(log, first, fold.read_offset().0, 2)));
    }
    events
}

/// Guards against a second publication against the same base taking effect.
#[test]
fn first_offset_wins_per_base() {
    let log = [publish(1, 0, "a"), publish(2, 0, "b"), publish(3, 1, "c")];
    let mut fold = new_fold();

    replay(&mut fold, &log, 0);

    assert_eq!(fold.state().revision(), revision::Revision(2));
    assert_eq!(fold.state().text(), "ac");
}

/// Guards against replaying a chunk twice, or one that leaves a gap.
#[test]
fn repeated_and_detached_chunks_have_no_effect() {
    let log = [publish(1, 0, "a"), publish(2, 1, "b"), publish(3, 2, "c")];
    let mut fold = new_fold();
    fold.replay_chunk(NOW, &read(&log, 0, 0, 1));

    let mut events = fold.replay_chunk(NOW, &read(&log, 0, 0, 1));
    events.extend(fold.replay_chunk(NOW, &read(&log, 0, 2, 1)));

    assert_eq!(events, []);
    assert_eq!(fold.state().text(), "a");
    assert_eq!(fold.next(), offset::Offset(1));
}

/// Guards against a cold reader starting in the middle of the stream without a snapshot.
#[test]
fn cold_reader_needs_a_snapshot() {
    let log = [publish(1, 0, "a"), publish(2, 1, "b"), publish(3, 2, "c")];
    let mut fold = new_fold();

    replay(&mut fold, &log, 1);

    assert!(!fold.is_current());
    assert_eq!(fold.state().revision(), revision::Revision(0));
}

/// Guards against losing the records between a snapshot's `through` and its own offset.
#[test]
fn cold_reader_replays_from_after_through() {
    let mut source = new_fold();
    let mut log = vec![publish(1, 0, "a"), publish(2, 1, "b")];
    replay(&mut source, &log, 0);
    let snapshot = encode::json_line(&source.snapshot(NOW).expect("current"));
    log.extend([publish(3, 2, "c"), snapshot, publish(4, 3, "d")]);
    let mut fold = new_fold();

    replay(&mut fold, &log, 2);

    assert!(fold.is_current());
    assert_eq!(fold.state().text(), "abcd");
    assert_eq!(fold.state().revision(), revision::Revision(4));
}

/// Guards against starting from a snapshot whose following record has been removed.
#[test]
fn expired_snapshot_is_not_used() {
    let mut source = new_fold();
    let mut log = vec![publish(1, 0, "a"), publish(2, 1, "b")];
    replay(&mut source, &log, 0);
    let snapshot = encode::json_line(&source.snapshot(NOW).expect("current"));
    log.extend([publish(3, 2, "c"), snapshot, publish(4, 3, "d")]);
    let mut fold = new_fold();

    replay(&mut fold, &log, 3);

    assert!(!fold.is_current());
}

/// Guards against a stale snapshot, or a peer that is behind, lowering the revision.
#[test]
fn revision_never_falls() {
    let mut old = new_fold();
    let mut log = vec![publish(1, 0, "a")];
    replay(&mut old, &log, 0);
    let stale = encode::json_line(&old.snapshot(NOW).expect("current"));
    log.extend([publish(2, 1, "b"), stale.clone(), publish(3, 2, "c")]);
    let mut fold = new_fold();
    replay(&mut fold, &log, 0);

    let imported = fold.import(NOW, old.export().expect("current"));
    log.extend([publish(9, 9, "x"), stale, publish(9, 9, "x")]);
    replay(&mut fold, &log, 5);

    assert!(!imported);
    assert_eq!(fold.state().revision(), revision::Revision(3));
    assert_eq!(fold.state().text(), "abc");
}

/// Guards against a false snapshot, such as one by a faulty reader, lowering the revision of a
/// reader that missed records.
#[test]
fn snapshot_of_a_lower_revision_is_not_used() {
    let mut log = vec![publish(1, 0, "a"), publish(2, 1, "b")];
    let mut fold = new_fold();
    replay(&mut fold, &log, 0);
    let lower = config_record::ConfigRecord::Snapshot {
        revision: revision::Revision(1),
        through: offset::Offset(2),
        at: NOW,
        text: "a".into(),
        recent: Vec::new(),
    };
    log.extend([
        publish(3, 2, "c"),
        encode::json_line(&lower),
        publish(4, 3, "d"),
    ]);

    replay(&mut fold, &log, 3);

    assert_eq!(fold.state().revision(), revision::Revision(2));
    assert!(!fold.is_current());
}

/// Guards against a foreign or malformed entry stopping replay or hiding the records after it.
#[test]
fn malformed_entries_are_skipped_and_counted() {
    let log = [
        Bytes::from_static(b"\xff\xfe"),
        publish(1, 0, "a"),
        Bytes::from_static(b"{\"type\":\"future\"}"),
        publish(2, 1, ""),
        publish(3, 1, "b"),
    ];
    let mut fold = new_fold();

    let events = replay(&mut fold, &log, 0);

    assert_eq!(fold.skipped(), 2);
    assert_eq!(fold.state().text(), "ab");
    assert!(events.iter().any(|event| matches!(
        event,
        config_state::ConfigEvent::Rejected {
            reason: config_state::Rejection::Merge(_),
            ..
        }
    )));
}

/// Guards against a lost append answer being reported as the wrong outcome.
#[test]
fn lost_append_answer_is_resolved_by_id() {
    let change = || config_record::Change::Delta("x".into());
    let (mut first, body) =
        publication::Publication::new(Uuid::from_u128(1), revision::Revision(0), change());
    let (mut second, other) =
        publication::Publication::new(Uuid::from_u128(2), revision::Revision(0), change());
    first.appended(publication::AppendResult::Unknown);
    second.appended(publication::AppendResult::Unknown);
    let mut fold = new_fold();

    let before = first.outcome(fold.state(), fold.next());
    replay(&mut fold, &[body, other], 0);

    assert_eq!(before, publication::Outcome::Pending);
    assert_eq!(
        first.outcome(fold.state(), fold.next()),
        publication::Outcome::Accepted(revision::Revision(1))
    );
    assert_eq!(
        second.outcome(fold.state(), fold.next()),
        publication::Outcome::Conflict(revision::Revision(1))
    );
}
