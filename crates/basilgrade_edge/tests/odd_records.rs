//! Records of other writers that cannot be read, in what a daemon reads from the store or from
//! another daemon.

mod common;

use std::sync;

use basilgrade_adapter::store;
use basilgrade_edge::core;
use basilgrade_edge::follow::mirror;
use basilgrade_edge::follow::mirrors;
use basilgrade_edge::peers::service;
use bytes::Bytes;
use compact_str::CompactString;

const UPSTREAM: &str = r#"{"service":"pool","address":"127.0.0.1:5","zone":"a","version":"v1",
    "slots":8,"state":"ready","sequence":1,"born":5,"cold-remaining-ms":0}"#;

/// Maximum size of a record of the store.
const RECORD_BYTES: usize = 262_144;

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
        mirrors.record_store_answer();
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
