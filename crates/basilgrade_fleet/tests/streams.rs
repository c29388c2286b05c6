//! Tests of what is known about the software versions at which streams began.

mod common;

use std::sync;

use basilgrade_fleet::directory;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::streams;
use basilgrade_types::clock;

const START: clock::Millis = clock::Millis(1_000_000);
const LONGEST: clock::Millis = clock::Millis(20_000);

fn version(text: &str) -> upstream::Version {
    upstream::Version(text.into())
}

/// An upstream with the software version `text` that started at `started_at`.
fn engine(number: u16, text: &str, started_at: clock::Millis) -> upstream::Upstream {
    upstream::Upstream {
        version: version(text),
        started_at: Some(started_at),
        ..common::upstream(number, "a")
    }
}

fn directory(engines: &[upstream::Upstream]) -> directory::Directory {
    let mut known = directory::Directory::default();
    for engine in engines {
        known.put(engine.clone());
    }
    known
}

fn attempt(id: &str) -> streams::AttemptId {
    streams::AttemptId::new(id)
}

/// What a daemon shares at the time `at`.
fn shared(at: clock::Millis, lifetime: clock::Millis, batch: streams::Batch) -> streams::Shared {
    streams::Shared {
        at,
        lifetime,
        batch,
    }
}

/// Passes all that one daemon has to share to another.
fn share(now: clock::Millis, from: &mut streams::Streams, to: &mut streams::Streams) {
    let batch = from.take_unshared(now, 1000);
    to.merge(now, shared(now, from.lifetime(), batch));
}

/// Guards against a daemon that joins a stream it did not begin to another version.
#[test]
fn shared_stream_goes_on_at_its_version() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let known = directory(&engines);
    let pool = engines[0].pool.clone();
    let (mut one, mut other) = <(streams::Streams, streams::Streams)>::default();
    one.observe(START, &known, LONGEST);
    other.observe(START, &known, LONGEST);
    one.record(START, attempt("first"), &engines[1]);

    share(START, &mut one, &mut other);

    let find = |id| other.origin(START, attempt(id), &pool, &known);
    assert_eq!(find("first"), streams::Origin::Version(version("v2")));
    assert_eq!(find("another"), streams::Origin::Unknown);
}

/// Guards against streams that began before a second version came and are not shared afterwards.
#[test]
fn earlier_streams_are_shared_once_a_second_version_serves() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let mut known = streams::Streams::default();
    known.observe(START, &directory(&engines[..1]), LONGEST);
    known.record(START, attempt("first"), &engines[0]);
    let before = known.take_unshared(START, 1000);

    let is_new = known.observe(START, &directory(&engines), LONGEST);

    let batch = known.take_unshared(START, 1000);
    assert!(before.is_empty() && is_new);
    assert_eq!(batch[&engines[0].pool][&version("v1")], [attempt("first")]);
    assert!(known.take_unshared(START, 1000).is_empty());
    known.restore(&batch);
    assert_eq!(known.take_unshared(START, 1000), batch);
}

/// Guards against a stream of a version that has just left and goes on at the one that remains.
#[test]
fn version_counts_while_its_streams_can_last() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let pool = engines[0].pool.clone();
    let left = directory(&engines[1..]);
    let mut known = streams::Streams::default();
    known.observe(START, &directory(&engines), LONGEST);
    let soon = START.plus(LONGEST);
    let late = soon.plus(LONGEST);

    known.observe(soon, &left, LONGEST);
    let origin_soon = known.origin(soon, attempt("lost"), &pool, &left);
    known.observe(late, &left, LONGEST);
    let origin_late = known.origin(late, attempt("lost"), &pool, &left);

    assert_eq!(origin_soon, streams::Origin::Unknown);
    assert_eq!(origin_late, streams::Origin::Version(version("v2")));
}

/// Guards against a daemon without memory that takes a version for the only one, although it replaced
/// another while no daemon was running.
#[test]
fn version_that_has_just_started_may_have_replaced_another() {
    let now = START.plus(LONGEST).plus(LONGEST);
    let mut known = streams::Streams::default();
    let (new, old) = (engine(1, "v2", now), engine(2, "v2", START));
    let pool = new.pool.clone();

    let only_new = directory(std::slice::from_ref(&new));
    known.observe(now, &only_new, LONGEST);
    let replaced = known.origin(now, attempt("lost"), &pool, &only_new);
    let with_old = directory(&[new, old]);
    let served = known.origin(now, attempt("lost"), &pool, &with_old);

    assert_eq!(replaced, streams::Origin::Unknown);
    assert_eq!(served, streams::Origin::Version(version("v2")));
}

/// Guards against a daemon without memory that overlooks a version of which only the log tells.
#[test]
fn version_in_the_log_counts_like_one_in_the_directory() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let pool = engines[0].pool.clone();
    let now = START.plus(LONGEST).plus(LONGEST);
    let left = directory(&engines[1..]);
    let (mut before, mut after) = <(streams::Streams, streams::Streams)>::default();
    before.observe(now, &directory(&engines), LONGEST);
    after.observe(now, &left, LONGEST);

    share(now, &mut before, &mut after);

    let origin = after.origin(now, attempt("lost"), &pool, &left);
    assert_eq!(origin, streams::Origin::Unknown);
}

/// Guards against a version that is taken for the only one without a look at the shared streams,
/// although another may have come and gone unread.
#[test]
fn only_version_needs_registrations_without_a_gap() {
    let engine = engine(1, "v1", START);
    let all = directory(std::slice::from_ref(&engine));
    let mut known = streams::Streams::default();
    known.observe(START, &all, LONGEST);
    let lifetime = known.lifetime();
    let (soon, late) = (START.plus(clock::Millis(1)), START.plus(lifetime));
    known.observe(late, &all, LONGEST);
    let find =
        |known: &streams::Streams, now| known.observed_origin(now, attempt("lost"), &engine.pool);

    let origin_soon = find(&known, soon);
    let origin_late = find(&known, late);
    known.record_gap(late);
    let origin_after_gap = find(&known, late);

    assert_eq!(origin_soon, None);
    assert_eq!(origin_late, Some(streams::Origin::Version(version("v1"))));
    assert_eq!(origin_after_gap, None);
}

/// Guards against a stream that goes on in a pool that did not begin it.
#[test]
fn stream_does_not_go_on_in_another_pool() {
    let engine = engine(1, "v1", START);
    let mut known = streams::Streams::default();
    known.record(START, attempt("first"), &engine);

    let other = "another-pool".parse().expect("valid name");
    let found = known.known_origin(attempt("first"), &other);

    assert_eq!(found, Some(streams::Origin::OtherPool));
}

/// Guards against memory that grows with the number of streams.
#[test]
fn streams_are_forgotten_when_they_can_no_longer_be_taken_up() {
    let engine = sync::Arc::new(engine(1, "v1", START));
    let known_engines = directory(&[upstream::Upstream::clone(&engine)]);
    let mut known = streams::Streams::default();
    for number in 0..1000 {
        known.record(START, attempt(&number.to_string()), &engine);
    }

    known.observe(START.plus(LONGEST).plus(LONGEST), &known_engines, LONGEST);

    assert_eq!(known.known_origin(attempt("1"), &engine.pool), None);
}

/// Guards against a stream that is remembered for ever because the record that shares it lies in the
/// future.
#[test]
fn stream_of_a_future_record_is_forgotten() {
    let engine = engine(1, "v1", START);
    let known = directory(std::slice::from_ref(&engine));
    let mut streams = streams::Streams::default();
    streams.observe(START, &known, LONGEST);
    let versions = [(version("v1"), vec![attempt("first")])];
    let batch = [(engine.pool.clone(), versions.into_iter().collect())];

    let batch = batch.into_iter().collect();
    streams.merge(START, shared(clock::Millis::MAX, streams.lifetime(), batch));

    let find = |streams: &streams::Streams| streams.known_origin(attempt("first"), &engine.pool);
    assert_eq!(
        find(&streams),
        Some(streams::Origin::Version(version("v1")))
    );
    streams.observe(START.plus(streams.lifetime()), &known, LONGEST);
    assert_eq!(find(&streams), None);
}

/// Guards against copies of streams that leave out one, or that are kept for longer than a stream
/// can last.
#[test]
fn copies_of_streams_tell_their_version_and_age() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let known = directory(&engines);
    let pool = engines[0].pool.clone();
    let (mut one, mut keeper) = <(streams::Streams, streams::Streams)>::default();
    one.observe(START, &known, LONGEST);
    keeper.observe(START, &known, LONGEST);
    one.record(START, attempt("first"), &engines[0]);
    one.record(START.plus(LONGEST), attempt("second"), &engines[1]);
    let sent_at = START.plus(LONGEST).plus(clock::Millis(1000));

    let (first_batch, next) = one.begun_since(sent_at, 0, 1);
    let (second_batch, end) = one.begun_since(sent_at, next, 1);
    keeper.keep(sent_at, first_batch);
    keeper.keep(sent_at, second_batch);

    let find = |keeper: &streams::Streams, id| keeper.known_origin(attempt(id), &pool);
    let origin = |text| Some(streams::Origin::Version(version(text)));
    assert_eq!((next, end), (1, 2));
    assert_eq!(find(&keeper, "first"), origin("v1"));
    assert_eq!(find(&keeper, "second"), origin("v2"));
    keeper.observe(sent_at.plus(clock::Millis(5000)), &known, LONGEST);
    assert_eq!(find(&keeper, "first"), None, "the copy outlasts the stream");
    assert_eq!(find(&keeper, "second"), origin("v2"));
}

/// Guards against streams that are counted wrongly, and so never copied, once old ones are
/// forgotten.
#[test]
fn streams_are_copied_after_older_ones_are_forgotten() {
    let engine = engine(1, "v1", START);
    let known = directory(std::slice::from_ref(&engine));
    let mut streams = streams::Streams::default();
    streams.observe(START, &known, LONGEST);
    streams.record(START, attempt("first"), &engine);
    let (_, next) = streams.begun_since(START, 0, 10);
    let later = START.plus(LONGEST).plus(clock::Millis(5001));
    streams.observe(later, &known, LONGEST);
    assert!(!streams.has_begun());

    streams.record(later, attempt("second"), &engine);

    let (copies, end) = streams.begun_since(later, next, 10);
    let ids = copies
        .values()
        .flat_map(|versions| versions.values())
        .flatten();
    let ids: Vec<_> = ids.map(|(id, _)| *id).collect();
    assert_eq!(ids, [attempt("second")]);
    assert_eq!((end, streams.begun_count()), (2, 2));
}

/// Guards against a copy that replaces what the daemon itself knows of a stream, and against a
/// stream of another pool that is taken for one of this pool.
#[test]
fn copies_do_not_replace_own_streams() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let pool = engines[0].pool.clone();
    let (mut one, mut other) = <(streams::Streams, streams::Streams)>::default();
    one.record(START, attempt("first"), &engines[0]);
    other.record(START, attempt("first"), &engines[1]);

    let copies = other.copies(START, &[attempt("first"), attempt("unknown")]);
    one.keep(START, copies);

    let origin = one.known_origin(attempt("first"), &pool);
    assert_eq!(origin, Some(streams::Origin::Version(version("v1"))));
    assert!(!one.contains(attempt("unknown")));
    let elsewhere = one.known_origin(attempt("first"), &common::pool_id("elsewhere"));
    assert_eq!(elsewhere, Some(streams::Origin::OtherPool));
}

/// Guards against memory that grows for as long as no upstream comes or goes, both of a daemon that
/// begins streams and of one that keeps copies.
#[test]
fn streams_are_forgotten_although_the_directory_does_not_change() {
    let engine = engine(1, "v1", START);
    let (mut one, mut keeper) = <(streams::Streams, streams::Streams)>::default();
    one.observe(START, &directory(std::slice::from_ref(&engine)), LONGEST);
    keeper.observe(START, &directory(std::slice::from_ref(&engine)), LONGEST);
    one.record(START, attempt("first"), &engine);
    keeper.keep(START, one.begun_since(START, 0, 10).0);
    let later = START.plus(one.lifetime());

    one.record(later, attempt("second"), &engine);
    keeper.keep(later, one.begun_since(later, 1, 10).0);

    for known in [&one, &keeper] {
        assert!(!known.contains(attempt("first")));
        assert!(known.contains(attempt("second")));
    }
    assert_eq!(one.begun_count(), 2);
}

/// Guards against streams that are forgotten, by their daemon, its keepers and the log, when a
/// time-out is lowered after they have begun.
#[test]
fn streams_outlast_a_time_out_that_is_lowered() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let known = directory(&engines);
    let pool = engines[0].pool.clone();
    let lowered = clock::Millis(8000);
    let [mut one, mut keeper, mut reader] = <[streams::Streams; 3]>::default();
    for streams in [&mut one, &mut keeper, &mut reader] {
        streams.observe(START, &known, LONGEST);
    }
    one.record(START, attempt("first"), &engines[0]);
    keeper.keep(START, one.begun_since(START, 0, 10).0);
    let batch = one.take_unshared(START, 10);
    let record = shared(START, one.lifetime(), batch);
    let changed_at = START.plus(clock::Millis(4000));
    let (soon, late) = (START.plus(LONGEST), changed_at.plus(one.lifetime()));

    for streams in [&mut one, &mut keeper, &mut reader] {
        streams.observe(changed_at, &known, lowered);
        streams.observe(soon, &known, lowered);
    }
    reader.merge(soon, record);

    let origin = Some(streams::Origin::Version(version("v1")));
    let (copies, _) = one.begun_since(soon, 0, 10);
    assert_eq!(copies.len(), 1, "the copies of a lost keeper are not sent");
    for streams in [&mut one, &mut keeper, &mut reader] {
        assert_eq!(streams.known_origin(attempt("first"), &pool), origin);
        streams.observe(late, &known, lowered);
        assert_eq!(streams.known_origin(attempt("first"), &pool), None);
        assert!(streams.lifetime() < LONGEST);
    }
}

/// Guards against streams that are lost at a daemon which has started after a time-out was lowered,
/// and against one that takes a version for the only one as it forgets others too early.
#[test]
fn daemon_that_starts_after_a_time_out_was_lowered_learns_it_from_others() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let known = directory(&engines);
    let pool = engines[0].pool.clone();
    let lowered = clock::Millis(1000);
    let mut one = streams::Streams::default();
    one.observe(START, &known, LONGEST);
    one.record(START, attempt("first"), &engines[0]);
    let batch = one.take_unshared(START, 10);
    let record = shared(START, one.lifetime(), batch);
    let soon = START.plus(LONGEST);
    one.observe(START, &known, lowered);
    one.observe(soon, &known, lowered);
    let [mut asking, mut reading] = <[streams::Streams; 2]>::default();
    let left = directory(&engines[1..]);
    for streams in [&mut asking, &mut reading] {
        streams.observe(soon, &left, lowered);
    }

    asking.keep(soon, one.copies(soon, &[attempt("first")]));
    reading.merge(soon, record);

    let origin = Some(streams::Origin::Version(version("v1")));
    assert_eq!(asking.known_origin(attempt("first"), &pool), origin);
    assert_eq!(reading.known_origin(attempt("first"), &pool), origin);
    let lost = reading.origin(soon, attempt("lost"), &pool, &left);
    assert_eq!(lost, streams::Origin::Unknown);
}

/// Guards against streams that are forgotten while they go on in one take-up after the other, all of
/// which name the first attempt.
#[test]
fn stream_that_is_taken_up_lasts_on() {
    let engines = [engine(1, "v1", START), engine(2, "v2", START)];
    let known = directory(&engines);
    let pool = engines[0].pool.clone();
    let [mut first, mut second, mut keeper, mut reader] = <[streams::Streams; 4]>::default();
    for streams in [&mut first, &mut second, &mut keeper, &mut reader] {
        streams.observe(START, &known, LONGEST);
    }
    first.record(START, attempt("first"), &engines[0]);
    keeper.keep(START, first.begun_since(START, 0, 10).0);
    share(START, &mut first, &mut reader);
    let taken_up_at = START.plus(LONGEST);
    second.record(taken_up_at, attempt("first"), &engines[0]);

    keeper.keep(taken_up_at, second.begun_since(taken_up_at, 0, 10).0);
    share(taken_up_at, &mut second, &mut reader);

    let later = taken_up_at.plus(LONGEST);
    for streams in [&mut second, &mut keeper, &mut reader] {
        streams.observe(later, &known, LONGEST);
        let origin = streams.known_origin(attempt("first"), &pool);
        assert_eq!(origin, Some(streams::Origin::Version(version("v1"))));
    }
}
