//! Tests of topic mirrors and of the updates that daemons exchange.

use basilgrade_adapter::store;
use basilgrade_edge::follow::mirror;
use basilgrade_edge::follow::position;
use bytes::Bytes;
use compact_str::CompactString;

/// Position in the first era.
fn at(offset: u64) -> position::Position {
    position::Position { era: 1, offset }
}

fn changes(pairs: &[(&str, &str)]) -> mirror::Changes {
    let record = |(key, value): &(&str, &str)| {
        let value = (!value.is_empty()).then(|| Bytes::from((*value).to_owned()));
        (CompactString::new(key), value)
    };
    mirror::Changes::Some(pairs.iter().map(record).collect())
}

fn sorted_records(mirror: &mirror::Mirror) -> Vec<(String, String)> {
    let text = |(key, value): (&CompactString, &Bytes)| {
        (key.to_string(), String::from_utf8_lossy(value).into_owned())
    };
    let mut pairs: Vec<_> = mirror.records().iter().map(text).collect();
    pairs.sort();
    pairs
}

/// Guards against a follower whose records differ from those of its reader after an update, for any
/// offset that the follower had before.
#[test]
fn follower_catches_up_from_any_offset() {
    let mut reader = mirror::Mirror::new(store::Topic::Upstreams);
    let all = vec![(CompactString::new("a"), Bytes::from("0"))];
    reader.apply(at(10), &mirror::Changes::All(all));
    let mut followers = vec![mirror::Mirror::new(store::Topic::Upstreams), reader.clone()];
    for step in 0..100_u64 {
        let key = ["a", "b", "c"][step as usize % 3];
        let value = if step % 7 == 0 {
            String::new()
        } else {
            step.to_string()
        };
        reader.apply(at(11 + step), &changes(&[(key, &value)]));
        followers.push(reader.clone());
    }

    for mut follower in followers {
        if let Some(update) = reader.since(follower.position()) {
            assert!(follower.apply(update.position, &update.changes));
        }
        assert_eq!(follower.position(), reader.position());
        assert_eq!(sorted_records(&follower), sorted_records(&reader));
    }
    assert!(reader.since(reader.position()).is_none());
}

/// Guards against a delayed update that replaces newer records.
#[test]
fn older_update_is_ignored() {
    let mut mirror = mirror::Mirror::new(store::Topic::Operators);
    mirror.apply(at(5), &changes(&[("config", "new")]));

    assert!(!mirror.apply(at(4), &changes(&[("config", "old")])));

    assert_eq!(
        sorted_records(&mirror),
        [("config".to_owned(), "new".to_owned())]
    );
    assert_eq!(mirror.position(), Some(at(5)));
}

/// Guards against an update that contains all records when only a few have changed.
#[test]
fn update_contains_only_changed_records() {
    let mut mirror = mirror::Mirror::new(store::Topic::Upstreams);
    let all = (0..50).map(|number| (compact_str::format_compact!("u{number}"), Bytes::from("x")));
    mirror.apply(at(50), &mirror::Changes::All(all.collect()));
    mirror.apply(at(51), &changes(&[("u1", "y")]));

    let update = mirror
        .since(Some(at(50)))
        .expect("the mirror is newer than offset 50");

    assert!(matches!(update.changes, mirror::Changes::Some(records) if records.len() == 1));
}

/// Guards against a mirror that refuses what a restored store holds, at a follower too, and against
/// late updates from before.
#[test]
fn positions_of_a_later_era_are_newer() {
    let restored = position::Position { era: 2, offset: 3 };
    let mut reader = mirror::Mirror::new(store::Topic::Operators);
    reader.apply(at(9), &changes(&[("config", "lost")]));
    let mut follower = reader.clone();
    let copy = vec![(CompactString::new("config"), Bytes::from("copy"))];

    assert!(reader.apply(restored, &mirror::Changes::All(copy)));
    let update = reader.since(follower.position()).expect("there is news");
    assert!(follower.apply(update.position, &update.changes));

    assert!(!follower.apply(at(10), &changes(&[("config", "late")])));
    assert_eq!(sorted_records(&follower), sorted_records(&reader));
    assert_eq!(follower.position(), Some(restored));
}

/// Guards against an encoding in which positions have another order.
#[test]
fn encoded_positions_keep_their_order() {
    let positions = [
        position::Position::default(),
        at(0),
        at(7),
        position::Position { era: 2, offset: 1 },
        position::Position::MAX,
    ];

    let encoded = positions.map(u64::from);

    assert!(encoded.is_sorted());
    assert_eq!(encoded.map(position::Position::from), positions);
}

/// Guards against a follower that does not get the newest of many large configurations in time, as
/// the update holds all of them.
#[test]
fn update_contains_the_newest_configuration_only() {
    let mut reader = mirror::Mirror::new(store::Topic::Operators);
    reader.apply(at(1), &changes(&[("config", "1"), ("evacuate/a", "{}")]));
    let mut follower = reader.clone();
    for step in 2..40 {
        let value = step.to_string();
        reader.apply(at(step), &changes(&[("config", &value)]));
    }
    reader.apply(at(40), &changes(&[("evacuate/a", "")]));

    let update = reader.since(Some(at(1))).expect("there is news");

    let mirror::Changes::Some(records) = &update.changes else {
        panic!("the update holds all records");
    };
    assert_eq!(records.len(), 2);
    assert!(follower.apply(update.position, &update.changes));
    assert_eq!(sorted_records(&follower), sorted_records(&reader));
}
