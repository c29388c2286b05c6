//! Tests of the detection of requests and prompt parts that crash engines.

mod common;

use basilgrade_fleet::model::fingerprint;
use basilgrade_fleet::model::prompt;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

const DEADLY: suspects::Suspect = suspects::Suspect::Part(prompt::PartId(1));
const SOUND: suspects::Suspect = suspects::Suspect::Part(prompt::PartId(2));

/// Time between two separate crashes.
const STEP: u64 = 1000;

fn name(text: &str) -> id::VmId {
    text.parse().expect("valid name")
}

/// Records that requests with `parts` broke at `count` engines, the first at engine `first`, with
/// `step` ms between them.
fn record_breaks(
    known: &mut suspects::Suspects,
    first: u16,
    count: u16,
    step: u64,
    parts: &[suspects::Suspect],
) {
    for number in first..first + count {
        let now = clock::Millis(10_000 + step * u64::from(number));
        let entry = common::upstream(number, "a");
        known.record_break(now, &entry, parts.iter().copied());
    }
}

/// Passes the changed evidence of the daemon named `daemon` to another.
fn share(from: &mut suspects::Suspects, daemon: &str, to: &mut suspects::Suspects) {
    let mut others = IndexMap::<_, IndexMap<_, _>>::new();
    for (part, evidence) in from.take_changed(&name(daemon)) {
        let known = others.entry(part).or_default();
        known.insert(name(daemon), evidence);
    }
    to.replace_others(others);
}

/// Guards against requests that crash one engine after the other.
#[test]
fn part_behind_three_crashes_is_blocked() {
    let mut known = suspects::Suspects::default();

    record_breaks(&mut known, 0, 2, STEP, &[DEADLY]);
    let after_two = known.is_blocked(&[DEADLY]);
    record_breaks(&mut known, 2, 1, STEP, &[DEADLY]);

    assert!(!after_two && known.is_blocked(&[DEADLY]));
}

/// Guards against the refusal of sound requests that ran beside those that crashed the engines.
#[test]
fn part_of_a_complete_answer_is_not_blocked() {
    let mut known = suspects::Suspects::default();

    record_breaks(&mut known, 0, 2, STEP, &[DEADLY, SOUND]);
    known.record_success(clock::Millis(12_500), [SOUND].into_iter());
    record_breaks(&mut known, 2, 2, STEP, &[DEADLY, SOUND]);

    assert!(known.is_blocked(&[DEADLY]) && !known.is_blocked(&[SOUND]));
}

/// Guards against a daemon that learns of a deadly part only from crashes of its own.
#[test]
fn evidence_of_another_daemon_counts_like_own() {
    let (mut one, mut other) = <(suspects::Suspects, suspects::Suspects)>::default();
    record_breaks(&mut one, 0, 2, STEP, &[DEADLY, SOUND]);
    record_breaks(&mut other, 5, 1, STEP, &[DEADLY, SOUND]);

    share(&mut one, "vm-1", &mut other);
    let before = other.is_blocked(&[DEADLY, SOUND]);
    other.record_success(clock::Millis(20_000), [SOUND].into_iter());
    share(&mut other, "vm-2", &mut one);

    assert!(before);
    assert!(one.is_blocked(&[DEADLY]) && !one.is_blocked(&[SOUND]));
}

/// Guards against a deadly part that is let through again, as the store does an older write of a daemon
/// after a newer one.
#[test]
fn late_record_does_not_hide_newer_evidence() {
    let (mut writer, mut reader) = <(suspects::Suspects, suspects::Suspects)>::default();
    let records = |from: &mut suspects::Suspects| -> IndexMap<_, IndexMap<_, _>> {
        let changed = from.take_changed(&name("writer")).into_iter();
        let by_daemon = changed.map(|(part, known)| (part, [(name("writer"), known)].into()));
        by_daemon.collect()
    };
    record_breaks(&mut writer, 0, 2, STEP, &[DEADLY]);
    let older = records(&mut writer);
    record_breaks(&mut writer, 2, 1, STEP, &[DEADLY]);
    reader.replace_others(records(&mut writer));
    assert!(reader.is_blocked(&[DEADLY]));

    reader.replace_others(older);

    assert!(reader.is_blocked(&[DEADLY]));
    reader.replace_others(IndexMap::new());
    assert!(!reader.is_blocked(&[DEADLY]));
}

/// Guards against sound parts that are blocked because several engines, or the daemon's own
/// network, fail together.
#[test]
fn simultaneous_breaks_of_many_engines_are_one_crash() {
    let mut known = suspects::Suspects::default();

    record_breaks(&mut known, 0, 40, 10, &[SOUND]);

    assert!(!known.is_blocked(&[SOUND]));
}

/// Guards against a restart that lifts a block, as the record of the new process replaces that of
/// the old one.
#[test]
fn evidence_of_an_earlier_process_is_kept() {
    let (mut before, mut after) = <(suspects::Suspects, suspects::Suspects)>::default();
    record_breaks(&mut before, 0, 2, STEP, &[DEADLY]);
    share(&mut before, "vm-1", &mut after);

    record_breaks(&mut after, 5, 1, STEP, &[DEADLY]);

    let published = after.take_changed(&name("vm-1"));
    assert!(after.is_blocked(&[DEADLY]));
    assert_eq!(published[0].1.crashes.len(), 3);
}

/// Guards against a block that ends while requests with the part still come, or that never ends.
#[test]
fn block_lasts_while_requests_come() {
    let mut known = suspects::Suspects::default();
    record_breaks(&mut known, 0, 3, STEP, &[DEADLY]);
    let moment = clock::Millis(1);
    let later = clock::Millis(12_000).plus(suspects::EVIDENCE_TTL) - moment;

    known.record_refusal(later, [DEADLY].into_iter());

    let end = later.plus(suspects::EVIDENCE_TTL);
    assert!(known.take_dropped(end - moment).is_empty() && known.is_blocked(&[DEADLY]));
    assert_eq!(known.take_dropped(end), [DEADLY]);
    assert!(!known.is_blocked(&[DEADLY]));
}

/// Guards against evidence that grows without bound while engines crash for other reasons.
#[test]
fn evidence_about_old_parts_is_dropped() {
    let mut known = suspects::Suspects::default();
    record_breaks(&mut known, 0, 3, STEP, &[DEADLY]);

    for part in 100..1100 {
        record_breaks(
            &mut known,
            9,
            1,
            STEP,
            &[suspects::Suspect::Part(prompt::PartId(part))],
        );
    }

    let dropped = known.take_dropped(clock::Millis(20_000)).len();
    let kept = known.take_changed(&name("vm-1")).len();
    assert!(known.is_blocked(&[DEADLY]));
    assert_eq!(dropped + kept, 1001);
    assert!(kept <= 33, "{kept} parts are kept");
}

/// Guards against a sound part that stays blocked, as no request with it reaches an engine and
/// clears it.
#[test]
fn part_is_let_through_if_another_explains_its_crashes() {
    let mut known = suspects::Suspects::default();
    record_breaks(&mut known, 0, 1, STEP, &[DEADLY]);

    record_breaks(&mut known, 1, 3, STEP, &[DEADLY, SOUND]);

    assert!(known.is_blocked(&[SOUND, DEADLY]) && known.is_blocked(&[DEADLY]));
    assert!(!known.is_blocked(&[SOUND]));
}

/// Guards against a deadly part that is let through for good, because a sound part was in all of
/// its requests so far.
#[test]
fn part_that_crashes_an_engine_alone_is_blocked_alone() {
    let mut known = suspects::Suspects::default();
    record_breaks(&mut known, 0, 3, STEP, &[DEADLY, SOUND]);
    let before = known.is_blocked(&[DEADLY]);

    record_breaks(&mut known, 3, 1, STEP, &[DEADLY]);

    assert!(!before && known.is_blocked(&[DEADLY]));
}

/// Guards against a part whose list of cleared crashes is full, so that further ones do not count.
#[test]
fn part_that_becomes_deadly_after_many_cleared_crashes_is_blocked() {
    let mut known = suspects::Suspects::default();
    for number in 0..100 {
        record_breaks(&mut known, number, 1, STEP, &[DEADLY]);
        let now = clock::Millis(10_500 + STEP * u64::from(number));
        known.record_success(now, [DEADLY].into_iter());
    }

    record_breaks(&mut known, 100, 3, STEP, &[DEADLY]);

    assert!(known.is_blocked(&[DEADLY]));
}

/// The request with this number.
fn request(number: u64) -> suspects::Suspect {
    suspects::Suspect::Request(fingerprint::Fingerprint(number))
}

/// Guards against attempts that are told apart by their caller, path or body only in part.
#[test]
fn fingerprint_depends_on_target_caller_and_body() {
    let new = fingerprint::Fingerprint::new;
    let known = new("/plan?day=1", "one", b"body");

    let others = [
        new("/plan?day=2", "one", b"body"),
        new("/plan?day=1", "two", b"body"),
        new("/plan?day=1", "one", b"bodies"),
        new("/plan?day=1o", "ne", b"body"),
    ];

    assert_eq!(new("/plan?day=1", "one", b"body"), known);
    assert!(!others.contains(&known));
}

/// Guards against a request that crashes engines while its parts are cleared by sound requests.
#[test]
fn request_is_blocked_though_its_part_is_cleared() {
    let mut known = suspects::Suspects::default();

    for number in 0..3 {
        record_breaks(&mut known, number, 1, STEP, &[request(1), SOUND]);
        let now = clock::Millis(10_500 + STEP * u64::from(number));
        known.record_success(now, [SOUND].into_iter());
    }

    assert!(known.is_blocked(&[request(1), SOUND]) && !known.is_blocked(&[request(2), SOUND]));
}

/// Guards against a repeat right after a crash that is taken for the same crash.
#[test]
fn repeats_of_one_request_within_half_a_second_count() {
    let mut known = suspects::Suspects::default();

    record_breaks(&mut known, 0, 3, 100, &[request(1), SOUND]);

    assert!(known.is_blocked(&[request(1)]) && !known.is_blocked(&[SOUND]));
}

/// Guards against the refusal of a sound request that broke three times beside different requests
/// that crash engines.
#[test]
fn request_is_let_through_if_several_others_explain_its_crashes() {
    let mut known = suspects::Suspects::default();
    record_breaks(&mut known, 0, 2, STEP, &[request(1), request(9)]);
    record_breaks(&mut known, 2, 1, STEP, &[request(2), request(9)]);
    let before = known.is_blocked(&[request(9)]);

    record_breaks(&mut known, 3, 1, STEP, &[request(1)]);
    record_breaks(&mut known, 4, 2, STEP, &[request(2)]);

    assert!(before && !known.is_blocked(&[request(9)]));
    assert!(known.is_blocked(&[request(1)]) && known.is_blocked(&[request(2)]));
}

/// Guards against requests that crash engines together and are let through because each explains
/// the crashes of the other.
#[test]
fn requests_that_crash_the_same_engines_are_blocked_in_the_end() {
    let mut known = suspects::Suspects::default();

    record_breaks(&mut known, 0, 5, STEP, &[request(1), request(2)]);

    assert!(known.is_blocked(&[request(1)]) && known.is_blocked(&[request(2)]));
}

/// Guards against evidence about sound requests that fills the store after each crash.
#[test]
fn evidence_about_a_request_ends_with_its_answer() {
    let mut known = suspects::Suspects::default();
    record_breaks(&mut known, 0, 1, STEP, &[request(1)]);

    known.record_success(clock::Millis(10_100), [request(1)].into_iter());

    assert!(known.take_changed(&name("vm-1")).is_empty());
    assert_eq!(known.take_dropped(clock::Millis(10_200)), [request(1)]);
}

/// Guards against a request that crashes engines and is forgotten, because each crash also breaks
/// many sound requests.
#[test]
fn request_with_repeated_crashes_outlasts_many_with_one() {
    let mut known = suspects::Suspects::default();
    for crash in 0..3 {
        record_breaks(&mut known, crash, 1, STEP, &[request(1)]);
        for sound in 0..120 {
            let sound = request(1000 * (u64::from(crash) + 1) + sound);
            record_breaks(&mut known, crash, 1, STEP, &[sound]);
        }
        if crash == 0 {
            record_breaks(&mut known, 50, 1, STEP, &[request(1)]);
        }
    }

    let kept = known.take_changed(&name("vm-1")).len();
    assert!(known.is_blocked(&[request(1)]));
    assert!(kept <= 129, "{kept} requests are kept");
}
