//! Replay of the configuration stream: acceptance, snapshots, retention and malformed entries.

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

/// Applies a delta by appending it to the text; an empty delta does not apply.
struct AppendMerge;

impl merge::Merge for AppendMerge {
    fn merge(&self, text: &str, delta: &str) -> Result<String, merge::MergeError> {
        if delta.is_empty() {
            return Err(merge::MergeError::Invalid("empty".into()));
        }
        Ok(format!("{text}{delta}"))
    }
}

type ConfigReplayer = replayer::Replayer<config_state::ConfigState>;

fn new_replayer() -> ConfigReplayer {
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

fn replay(
    replayer: &mut ConfigReplayer,
    log: &[Bytes],
    first: u64,
) -> Vec<config_state::ConfigEvent> {
    let mut events = Vec::new();
    for _ in 0..2 * log.len() + 2 {
        events.extend(replayer.replay_chunk(NOW, &read(log, first, replayer.read_offset().0, 2)));
    }
    events
}

/// Guards against a second publication against the same base taking effect.
#[test]
fn first_publication_per_base_is_accepted() {
    let log = [publish(1, 0, "a"), publish(2, 0, "b"), publish(3, 1, "c")];
    let mut replayer = new_replayer();

    replay(&mut replayer, &log, 0);

    assert_eq!(replayer.state().revision(), revision::Revision(2));
    assert_eq!(replayer.state().text(), "ac");
}

/// Guards against replaying a chunk twice, or one that leaves a gap.
#[test]
fn repeated_and_non_contiguous_chunks_have_no_effect() {
    let log = [publish(1, 0, "a"), publish(2, 1, "b"), publish(3, 2, "c")];
    let mut replayer = new_replayer();
    replayer.replay_chunk(NOW, &read(&log, 0, 0, 1));

    let mut events = replayer.replay_chunk(NOW, &read(&log, 0, 0, 1));
    events.extend(replayer.replay_chunk(NOW, &read(&log, 0, 2, 1)));

    assert_eq!(events, []);
    assert_eq!(replayer.state().text(), "a");
    assert_eq!(replayer.next(), offset::Offset(1));
}

/// Guards against a new reader starting in the middle of the stream without a snapshot, after the
/// log removed the first records.
#[test]
fn truncated_stream_without_snapshot_is_not_replayed() {
    let log = [publish(1, 0, "a"), publish(2, 1, "b"), publish(3, 2, "c")];
    let mut replayer = new_replayer();

    replay(&mut replayer, &log, 1);

    assert!(!replayer.is_current());
    assert_eq!(replayer.state().revision(), revision::Revision(0));
}

/// Guards against losing the records between a snapshot's `through` and its own offset.
#[test]
fn replay_resumes_after_last_record_of_snapshot() {
    let mut source = new_replayer();
    let mut log = vec![publish(1, 0, "a"), publish(2, 1, "b")];
    replay(&mut source, &log, 0);
    let snapshot = encode::json_line(
        &source
            .snapshot(NOW)
            .expect("expected the state to be current"),
    );
    log.extend([publish(3, 2, "c"), snapshot, publish(4, 3, "d")]);
    let mut replayer = new_replayer();

    replay(&mut replayer, &log, 2);

    assert!(replayer.is_current());
    assert_eq!(replayer.state().text(), "abcd");
    assert_eq!(replayer.state().revision(), revision::Revision(4));
}

/// Guards against starting from a snapshot whose following record has been removed.
#[test]
fn expired_snapshot_is_not_used() {
    let mut source = new_replayer();
    let mut log = vec![publish(1, 0, "a"), publish(2, 1, "b")];
    replay(&mut source, &log, 0);
    let snapshot = encode::json_line(
        &source
            .snapshot(NOW)
            .expect("expected the state to be current"),
    );
    log.extend([publish(3, 2, "c"), snapshot, publish(4, 3, "d")]);
    let mut replayer = new_replayer();

    replay(&mut replayer, &log, 3);

    assert!(!replayer.is_current());
}

/// Guards against a stale snapshot, or a peer that is behind, lowering the revision.
#[test]
fn revision_never_decreases() {
    let mut old = new_replayer();
    let mut log = vec![publish(1, 0, "a")];
    replay(&mut old, &log, 0);
    let stale = encode::json_line(&old.snapshot(NOW).expect("expected the state to be current"));
    log.extend([publish(2, 1, "b"), stale.clone(), publish(3, 2, "c")]);
    let mut replayer = new_replayer();
    replay(&mut replayer, &log, 0);

    let imported = replayer.import(NOW, old.export().expect("expected the state to be current"));
    log.extend([publish(9, 9, "x"), stale, publish(9, 9, "x")]);
    replay(&mut replayer, &log, 5);

    assert!(!imported);
    assert_eq!(replayer.state().revision(), revision::Revision(3));
    assert_eq!(replayer.state().text(), "abc");
}

/// Guards against an invalid snapshot, such as one by a faulty reader, lowering the revision of a
/// reader that missed records.
#[test]
fn snapshot_of_a_lower_revision_is_not_used() {
    let mut log = vec![publish(1, 0, "a"), publish(2, 1, "b")];
    let mut replayer = new_replayer();
    replay(&mut replayer, &log, 0);
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

    replay(&mut replayer, &log, 3);

    assert_eq!(replayer.state().revision(), revision::Revision(2));
    assert!(!replayer.is_current());
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
    let mut replayer = new_replayer();

    let events = replay(&mut replayer, &log, 0);

    assert_eq!(replayer.skipped(), 2);
    assert_eq!(replayer.state().text(), "ab");
    assert!(events.iter().any(|event| matches!(
        event,
        config_state::ConfigEvent::Rejected {
            reason: config_state::Rejection::Merge(_),
            ..
        }
    )));
}

/// Guards against a wrong outcome being reported when the response to an append was lost.
#[test]
fn outcome_is_resolved_by_id_after_lost_append_response() {
    let change = || config_record::Change::Delta("x".into());
    let (mut first, body) =
        publication::Publication::new(Uuid::from_u128(1), revision::Revision(0), change());
    let (mut second, other) =
        publication::Publication::new(Uuid::from_u128(2), revision::Revision(0), change());
    first.appended(publication::AppendResult::Unknown);
    second.appended(publication::AppendResult::Unknown);
    let mut replayer = new_replayer();

    let before = first.outcome(replayer.state(), replayer.next());
    replay(&mut replayer, &[body, other], 0);

    assert_eq!(before, publication::Outcome::Pending);
    assert_eq!(
        first.outcome(replayer.state(), replayer.next()),
        publication::Outcome::Accepted(revision::Revision(1))
    );
    assert_eq!(
        second.outcome(replayer.state(), replayer.next()),
        publication::Outcome::Conflict(revision::Revision(1))
    );
}
