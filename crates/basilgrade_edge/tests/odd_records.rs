//! Records of other writers that cannot be read, in what a daemon reads from the store or from
//! another daemon.

mod common;

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::store;
use basilgrade_edge::core;
use basilgrade_edge::follow::mirror;
use basilgrade_edge::follow::mirrors;
use basilgrade_edge::peers::service;
use bytes::Bytes;
use compact_str::CompactString;

const UPSTREAM: &str = r#"{"service":"pool","address":"127.0.0.1:5","zone":"a","version":"v1",
    "slots":8,"state":"ready","sequence":1,"born":5,"cold-remaining-ms":0}"#;

const CONFIGURATION: &str = r#"{"version":7,"routes":[],"services":[]}"#;

/// Maximum size of a record of the store.
const RECORD_BYTES: usize = 262_144;

/// Key of the record whose log lines are counted.
const FLOOD: &str = "flood";

/// Counts the lines that name [`FLOOD`] and remembers the longest of all lines.
struct LineCounter {
    lines: atomic::AtomicUsize,
    longest: atomic::AtomicUsize,
}

static LINES: LineCounter = LineCounter {
    lines: atomic::AtomicUsize::new(0),
    longest: atomic::AtomicUsize::new(0),
};

impl log::Log for LineCounter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        if line.contains(FLOOD) {
            self.lines.fetch_add(1, atomic::Ordering::SeqCst);
        }
        self.longest.fetch_max(line.len(), atomic::Ordering::SeqCst);
    }

    fn flush(&self) {}
}

fn replaced(from: &str, to: &str) -> Bytes {
    let value = UPSTREAM.replacen(from, to, 1);
    assert_ne!(value, UPSTREAM, "`{from}` does not occur");
    Bytes::from(value)
}

/// Values that are no registration of an upstream.
fn odd_values() -> Vec<Bytes> {
    let nested = "[".repeat(100_000);
    let objects = "{\"a\":".repeat(50_000);
    let text = "x".repeat(RECORD_BYTES - 300);
    vec![
        Bytes::from(nested.clone()),
        Bytes::from(objects),
        replaced("8", &format!("{nested}{}", "]".repeat(100_000))),
        replaced("\"pool\"", &nested),
        replaced("8", "1e400"),
        replaced("8", "340282366920938463463374607431768211456"),
        replaced("8", "-1"),
        replaced("8", "8.5"),
        replaced("8", "8,\"slots\":8"),
        replaced("\"sequence\":1", "\"sequence\":1e400"),
        replaced("\"born\":5", "\"born\":-5"),
        replaced("\"cold-remaining-ms\":0", "\"cold-remaining-ms\":1e400"),
        replaced("\"cold-remaining-ms\":0", "\"cold-remaining-ms\":{}"),
        replaced("127.0.0.1:5", "127.0.0.1:70000"),
        replaced("127.0.0.1:5", "127.0.0.1:0"),
        replaced("127.0.0.1:5", "127.0.0.1:-5"),
        replaced("127.0.0.1:5", "0.0.0.0:5"),
        replaced("127.0.0.1:5", "[::]:5"),
        replaced("127.0.0.1:5", "[fe80::1%eth0]:5"),
        replaced("127.0.0.1:5", ""),
        replaced("\"pool\"", "\"\""),
        replaced("\"pool\"", "\"a\\u0000b\""),
        replaced("\"pool\"", &format!("\"{text}\"")),
        replaced("\"v1\"", &format!("\"{text}\"")),
        replaced("\"v1\"", "\"\\n\""),
        replaced("ready", "other"),
        replaced("ready", &text),
        replaced("\"zone\":\"a\",", ""),
        Bytes::from_static(b"\xff\xfe\x00\x80"),
        Bytes::from(vec![0; RECORD_BYTES]),
        Bytes::from_static(b"null"),
        Bytes::from_static(b"{}"),
    ]
}

/// Keys that are no id of an upstream.
fn odd_keys() -> Vec<CompactString> {
    let junk: String = (0..255_u8).map(|byte| char::from(byte % 128)).collect();
    vec![
        "".into(),
        junk.as_str().into(),
        "\u{fffd}\u{fffd}".into(),
        "a b".into(),
    ]
}

/// A source from which a daemon takes records over.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    Log,
    Newest,
    Peer,
}

type Records = Vec<(CompactString, Option<Bytes>)>;

/// Mirrors of a daemon, with the offset up to which they have been read.
struct Follower {
    mirrors: mirrors::Mirrors,
    core: sync::Arc<core::Core>,
    offset: u64,
}

impl Follower {
    fn new() -> Self {
        let (mirrors, core) = common::new_mirrors_and_core();
        mirrors.record_store_answer(store::Topic::Upstreams);
        Self {
            mirrors,
            core,
            offset: 0,
        }
    }

    /// Has the daemon read `records`, which are all records of the topic if `source` is
    /// [`Source::Newest`].
    fn read(&mut self, source: Source, topic: store::Topic, records: Records) {
        self.offset += records.len() as u64;
        let changes = match source {
            Source::Newest => {
                let present = records.into_iter();
                let present = present.filter_map(|(key, value)| Some((key, value?)));
                mirror::Changes::All(present.collect())
            }
            Source::Log | Source::Peer => mirror::Changes::Some(records),
        };
        let update = mirror::Update {
            topic,
            position: self.offset.into(),
            changes,
        };
        if source == Source::Peer {
            let reply = service::Updates {
                is_store_reachable: true,
                is_uncertain: false,
                updates: vec![update],
            };
            self.mirrors.apply_reply(reply, true);
        } else {
            self.mirrors.apply_from_store(update);
        }
        let position = self.mirrors.position(topic);
        assert_eq!(position, Some(self.offset.into()), "{source:?}");
    }

    fn upstreams(&self) -> Vec<String> {
        let view = self.core.view.load();
        let mut ids: Vec<_> = view.directory.ids().map(ToString::to_string).collect();
        ids.sort();
        ids
    }

    fn version(&self) -> Option<u64> {
        let view = self.core.view.load();
        view.configuration.as_ref().map(|known| known.version)
    }

    /// Number of records that were counted as unreadable.
    fn unreadable(&self) -> u64 {
        let text = self.core.metrics.render().expect("the metrics are encoded");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix("basilgrade_unreadable_records_total"));
        let value = value.and_then(|value| value.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0)
    }
}

fn record(key: &str, value: &str) -> (CompactString, Option<Bytes>) {
    let value = (!value.is_empty()).then(|| Bytes::from(value.to_owned()));
    (CompactString::new(key), value)
}

/// Guards against a daemon that ends, stops to follow the registrations or loses sound ones because
/// of an odd one, and against an upstream that is used although its newest registration is odd.
#[test]
fn odd_registration_hides_only_its_own_upstream() {
    for source in [Source::Log, Source::Newest, Source::Peer] {
        for odd in odd_values() {
            let name = String::from_utf8_lossy(&odd[..odd.len().min(80)]).into_owned();
            let mut follower = Follower::new();
            let sound = [record("i-1", UPSTREAM), record("i-2", UPSTREAM)];
            follower.read(source, store::Topic::Upstreams, sound.to_vec());
            assert_eq!(follower.upstreams(), ["i-1", "i-2"]);

            let replaced = vec![
                record("i-1", UPSTREAM),
                (CompactString::new("i-2"), Some(odd)),
                record("i-3", UPSTREAM),
            ];
            follower.read(source, store::Topic::Upstreams, replaced);
            assert_eq!(follower.upstreams(), ["i-1", "i-3"], "{source:?} {name}");
            assert_eq!(follower.unreadable(), 1, "{source:?} {name}");

            let repaired = ["i-1", "i-2", "i-3"].map(|key| record(key, UPSTREAM));
            follower.read(source, store::Topic::Upstreams, repaired.to_vec());
            assert_eq!(
                follower.upstreams(),
                ["i-1", "i-2", "i-3"],
                "{source:?} {name}"
            );
        }
        for key in odd_keys() {
            let mut follower = Follower::new();
            let records = vec![
                (key.clone(), Some(Bytes::from(UPSTREAM))),
                record("i-1", UPSTREAM),
            ];
            follower.read(source, store::Topic::Upstreams, records);
            assert_eq!(follower.upstreams(), ["i-1"], "{source:?} {key:?}");
            assert_eq!(follower.unreadable(), 1, "{source:?} {key:?}");
        }
    }
}

/// Guards against registrations and evidence of daemons that are lost because of an odd record among
/// them.
#[test]
fn odd_records_among_those_of_daemons_are_left_out() {
    let daemon = |seen_ms: &str| {
        format!(r#"{{"peer-address":"127.0.0.1:6","domain":"a","seen-ms":{seen_ms}}}"#)
    };
    let evidence = |crash: &str| {
        format!(r#"{{"crashes":{{"i@1":{crash}}},"answered-ms":0,"seen-ms":18446744073709551615}}"#)
    };
    let max = u64::MAX.to_string();
    for source in [Source::Log, Source::Newest, Source::Peer] {
        let mut follower = Follower::new();
        let mut records: Records = Vec::new();
        for (number, odd) in odd_values().into_iter().enumerate() {
            records.push((
                compact_str::format_compact!("vm-{number}"),
                Some(odd.clone()),
            ));
            records.push((
                compact_str::format_compact!("part:{number}:vm-{number}"),
                Some(odd),
            ));
        }
        records.extend(
            odd_keys()
                .into_iter()
                .map(|key| (key, Some(Bytes::from("1")))),
        );
        records.push(record("part:1:", &evidence(&max)));
        records.push(record("part:1:vm-1", &evidence("1e400")));
        records.push(record("vm-x", &daemon("1e400")));
        let odd = records.iter().map(|(key, _)| key);
        let odd: std::collections::HashSet<_> = odd.collect();
        let odd = odd.len() as u64;
        records.push(record("vm-one", &daemon(&max)));
        records.push(record("request:1:vm-one", &evidence(&max)));

        follower.read(source, store::Topic::Daemons, records);

        let names: Vec<_> = follower
            .mirrors
            .daemons()
            .into_iter()
            .map(|known| known.name)
            .collect();
        assert_eq!(names.len(), 1, "{source:?} {names:?}");
        assert_eq!(follower.unreadable(), odd, "{source:?}");
    }
}

/// Guards against a daemon without a configuration, or with an outdated one, because a newer one is
/// odd.
#[test]
fn odd_configuration_hides_no_readable_one() {
    let newer = CONFIGURATION.replace('7', "9");
    for odd in odd_values() {
        let odd = (CompactString::new("config"), Some(odd));
        for source in [Source::Log, Source::Peer] {
            let mut follower = Follower::new();
            let records = vec![record("config", CONFIGURATION), odd.clone()];
            follower.read(source, store::Topic::Operators, records);
            assert_eq!(follower.version(), Some(7), "{source:?}");

            let records = vec![odd.clone(), record("config", &newer), odd.clone()];
            follower.read(source, store::Topic::Operators, records);
            assert_eq!(follower.version(), Some(9), "{source:?}");
        }

        let mut follower = Follower::new();
        follower.read(Source::Newest, store::Topic::Operators, vec![odd.clone()]);
        assert_eq!(follower.version(), None);
        let records = vec![record("config", CONFIGURATION)];
        follower.read(Source::Newest, store::Topic::Operators, records);
        assert_eq!(follower.version(), Some(7));
    }
}

/// Guards against a daemon that starts while the newest configuration of the store is odd, and gets
/// no readable one from the others.
#[test]
fn daemons_pass_the_configuration_in_force_on() {
    let odd = (CompactString::new("config"), Some(Bytes::from("[[[")));
    let mut known = Follower::new();
    let records = vec![record("config", CONFIGURATION)];
    known.read(Source::Newest, store::Topic::Operators, records);
    known.read(Source::Log, store::Topic::Operators, vec![odd.clone()]);
    let mut starting = Follower::new();
    starting.read(Source::Newest, store::Topic::Operators, vec![odd]);

    starting
        .mirrors
        .learn_configuration(&known.mirrors.since([None; 3]));

    assert_eq!(starting.version(), Some(7));
    let following = Follower::new();
    let reply = service::Updates {
        is_store_reachable: true,
        is_uncertain: false,
        updates: starting.mirrors.since([None; 3]),
    };
    following.mirrors.apply_reply(reply, true);
    assert_eq!(following.version(), Some(7));
}

/// Guards against a follower that stays behind as the newest configuration is unreadable and the
/// update holds no other.
#[test]
fn followers_get_the_configuration_in_force_beside_an_unreadable_one() {
    let mut reader = Follower::new();
    let former = CONFIGURATION.replace('7', "6");
    reader.read(
        Source::Newest,
        store::Topic::Operators,
        vec![record("config", &former)],
    );
    let following = Follower::new();
    let reply = |updates| service::Updates {
        is_store_reachable: true,
        is_uncertain: false,
        updates,
    };
    let first = reader.mirrors.since([None; 3]);
    following.mirrors.apply_reply(reply(first), true);
    for value in [CONFIGURATION, "[[["] {
        reader.read(
            Source::Log,
            store::Topic::Operators,
            vec![record("config", value)],
        );
    }

    let update = reader.mirrors.since(following.mirrors.positions());
    following.mirrors.apply_reply(reply(update), true);

    assert_eq!(following.version(), Some(7));
}

/// Guards against a flood of log lines, or one long line, because of an odd record that is read again
/// and again.
#[test]
fn odd_record_is_logged_and_counted_once() {
    let text = "\\u0001".repeat((RECORD_BYTES - 300) / 6);
    let odd = replaced("\"pool\"", &format!("\"{text}\""));
    let mut follower = Follower::new();
    log::set_logger(&LINES).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Info);

    for topic in [store::Topic::Upstreams, store::Topic::Daemons] {
        let counted = follower.unreadable();
        for number in 0..20 {
            let other = compact_str::format_compact!("i-{number}");
            let records = vec![
                (CompactString::new(FLOOD), Some(odd.clone())),
                (other, None),
            ];
            follower.read(Source::Newest, topic, records.clone());
            follower.read(Source::Log, topic, records);
        }
        assert_eq!(follower.unreadable() - counted, 1, "{topic:?}");
    }

    assert_eq!(LINES.lines.load(atomic::Ordering::SeqCst), 2);
    assert!(LINES.longest.load(atomic::Ordering::SeqCst) < 4096);
}
