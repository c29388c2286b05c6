//! Property tests of the claims state machine with arbitrary messages and bytes from peers.

use basilgrade_claims::claims::Claims;
use basilgrade_claims::cluster_view::ClusterView;
use basilgrade_claims::message::Message;
use basilgrade_claims::settings::Settings;
use basilgrade_journal::node::Node;
use basilgrade_types::clock::Millis;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::slot;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(23),
        ..Config::default()
    }
}

fn node(number: u8) -> Node {
    Node {
        vm: format!("vm{number}").parse().expect("valid VM name"),
        incarnation: Incarnation(1),
    }
}

fn node_json(number: u8) -> String {
    format!(r#"{{"vm":"vm{number}","incarnation":1}}"#)
}

/// Generates well-formed messages in JSON with arbitrary slots, offsets, versions and keys, each
/// together with its slot number, which may be out of range.
fn message_json() -> impl Strategy<Value = (u8, String)> {
    let numbers = (
        any::<u8>(),
        0..4_u64,
        any::<u64>(),
        any::<u32>(),
        0..3_u8,
        0..8_u8,
    );
    numbers.prop_map(|(slot, pair, time, version, member, kind)| {
        let slot = if time % 4 == 0 { slot } else { 5 };
        let uuid: Vec<u8> = (0..16).map(|at| (time >> at) as u8).collect();
        let bytes = format!("{uuid:?}");
        let claim = format!(
            r#"{{"key":{{"slot":{slot},"uuid":"018f0000-0000-7000-8000-{:012x}","explicit":true}},"step":0}}"#,
            time & 0xffff
        );
        let record = format!(
            r#"{{"key":{{"uuid":{bytes},"step":1}},"claim":{{"fingerprint":{bytes},"attempt":{bytes},"version":{version},"stage":"claimed"}},"answer":null}}"#
        );
        let primary = node_json(member);
        let backup = node_json((member + 1) % 3);
        let text = match kind {
            0 => format!(r#"{{"claim":{{"claim":{claim},"fingerprint":{bytes},"attempt":{bytes},"epoch":{pair}}}}}"#),
            1 => format!(r#"{{"settle":{{"claim":{claim},"attempt":{bytes},"settlement":"released","epoch":{pair}}}}}"#),
            2 => format!(
                r#"{{"ownership":{{"slot":{slot},"ownership":{{"epoch":{pair},"pair":{pair},"former":null,"ceiling":{time},"grant":{{"slot":{slot},"prev":null,"domain":"d0","primary":{primary},"backup":{backup},"floor":0,"ceiling":{time},"history":"lost"}}}}}}}}"#
            ),
            3 => format!(r#"{{"behind":{{"slot":{slot}}}}}"#),
            4 => format!(r#"{{"replicate":{{"slot":{slot},"pair":{pair},"floor":{version},"records":[{record}]}}}}"#),
            5 => format!(r#"{{"replicated":{{"slot":{slot},"pair":{pair},"versions":[]}}}}"#),
            6 => format!(
                r#"{{"transfer":{{"slot":{slot},"pair":{pair},"index":{},"floor":0,"records":[{record}],"last":true}}}}"#,
                version % 3
            ),
            _ => format!(r#"{{"transferred":{{"slot":{slot},"pair":{pair},"index":{}}}}}"#, version % 3),
        };
        (slot, text)
    })
}

proptest! {
    #![proptest_config(fixed_seed(400))]

    /// Guards against a panic, and against a table of claims beyond its limit, on any message.
    #[test]
    fn arbitrary_messages_keep_state_bounded(texts in proptest::collection::vec((message_json(), 0..3_u8), 0..60)) {
        let settings = Settings { claim_limit: 8, ..Settings::default() };
        let domain = "d0".parse().expect("valid domain name");
        let mut claims = Claims::new(node(0), domain, settings);
        let view = ClusterView { live: [node(0)].into_iter().collect(), ..ClusterView::default() };
        let mut rng = StdRng::seed_from_u64(1);
        for (at, ((slot, text), from)) in texts.iter().enumerate() {
            let Ok(message) = serde_json::from_str::<Message>(text) else {
                // A generated message can fail to parse only because its slot is out of range.
                prop_assert!(*slot >= slot::SLOT_COUNT, "{text}");
                continue;
            };
            prop_assert!(*slot < slot::SLOT_COUNT, "{text}");

            claims.receive(Millis(at as u64), &node(*from), message);
            claims.tick(Millis(at as u64 * 300), &view, &mut rng);

            prop_assert!(claims.claim_count() <= 8);
            prop_assert!(claims.outputs().count() < 1_000);
        }
    }

    /// Guards against a panic on bytes that do not encode a message.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            let domain = "d0".parse().expect("valid domain name");
            let mut claims = Claims::new(node(0), domain, Settings::default());

            claims.receive(Millis(1), &node(1), message);
        }
    }
}
