//! Copies of topics and what daemons tell each other of them.

use basilgrade_adapter::store;
use basilgrade_edge::follow::mirror;
use bytes::Bytes;
use compact_str::CompactString;

fn added(pairs: &[(&str, &str)]) -> mirror::Changes {
    let record = |(key, value): &(&str, &str)| {
        let value = (!value.is_empty()).then(|| Bytes::from((*value).to_owned()));
        (CompactString::new(key), value)
    };
    mirror::Changes::Some(pairs.iter().map(record).collect())
}

fn content(mirror: &mirror::Mirror) -> Vec<(String, String)> {
    let text = |(key, value): (&CompactString, &Bytes)| {
        (key.to_string(), String::from_utf8_lossy(value).into_owned())
    };
    let mut pairs: Vec<_> = mirror.records().iter().map(text).collect();
    pairs.sort();
    pairs
}

/// Guards against a follower that ends up with other records than its reader, whatever it knew.
#[test]
fn a_follower_catches_up_from_any_position() {
    let mut reader = mirror::Mirror::new(store::Topic::Upstreams);
    let all = vec![(CompactString::new("a"), Bytes::from("0"))];
    reader.apply(10, &mirror::Changes::All(all));
    let mut followers = vec![mirror::Mirror::new(store::Topic::Upstreams), reader.clone()];
    for step in 0..100_u64 {
        let key = ["a", "b", "c"][step as usize % 3];
        let value = if step % 7 == 0 {
            String::new()
        } else {
            step.to_string()
        };
        reader.apply(11 + step, &added(&[(key, &value)]));
        followers.push(reader.clone());
    }

    for mut follower in followers {
        if let Some(update) = reader.since(follower.position()) {
            assert!(follower.apply(update.position, &update.changes));
        }
        assert_eq!(follower.position(), reader.position());
        assert_eq!(content(&follower), content(&reader));
    }
    assert!(reader.since(reader.position()).is_none());
}

/// Guards against news that arrive late and take a daemon back.
#[test]
fn older_news_change_nothing() {
    let mut mirror = mirror::Mirror::new(store::Topic::Operators);
    mirror.apply(5, &added(&[("config", "new")]));

    assert!(!mirror.apply(4, &added(&[("config", "old")])));

    assert_eq!(content(&mirror), [("config".to_owned(), "new".to_owned())]);
    assert_eq!(mirror.position(), Some(5));
}

/// Guards against a few changes that are sent as the whole directory.
#[test]
fn a_few_changes_are_sent_alone() {
    let mut mirror = mirror::Mirror::new(store::Topic::Upstreams);
    let all = (0..50).map(|number| (compact_str::format_compact!("u{number}"), Bytes::from("x")));
    mirror.apply(50, &mirror::Changes::All(all.collect()));
    mirror.apply(51, &added(&[("u1", "y")]));

    let update = mirror.since(Some(50)).expect("there is news");

    assert!(matches!(update.changes, mirror::Changes::Some(records) if records.len() == 1));
}
