//! Robustness of the decoder and the node against arbitrary, truncated and altered messages.

mod support;

use basilgrade_membership::body;
use basilgrade_membership::digest;
use basilgrade_membership::error;
use basilgrade_membership::limits;
use basilgrade_membership::message;
use basilgrade_membership::node;
use basilgrade_membership::outgoing;
use basilgrade_membership::settings;
use basilgrade_membership::wire_codec;
use basilgrade_types::clock;
use proptest::collection;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::test_runner;
use rand::SeedableRng;
use rand::rngs;
use support::record;

fn runner() -> test_runner::TestRunner {
    let config = test_runner::Config {
        cases: 2000,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &[7; 32]);
    test_runner::TestRunner::new_with_rng(config, rng)
}

fn fresh_node() -> node::Node {
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let settings = settings::Settings::new(record(0, 0, 1));
    node::Node::new(clock::Millis(1000), settings, &mut rng)
}

/// Encoded messages of every kind, recorded from exchanges between nodes that know each other.
fn sample_messages() -> Vec<Vec<u8>> {
    let mut cluster = support::Cluster::converged(1, 2, 4);
    let now = cluster.now;
    let (a, b) = (support::vm(0, 0), support::vm(0, 1));
    let mut sample_messages = Vec::new();
    let mut rng = rngs::StdRng::seed_from_u64(2);
    let keep = |out: &[outgoing::Outgoing], sample_messages: &mut Vec<Vec<u8>>| {
        sample_messages.extend(
            out.iter()
                .map(|outgoing| wire_codec::encode(&outgoing.message).unwrap()),
        );
    };
    let own = cluster.nodes[&a].record().clone();
    let incarnation = own.incarnation;
    let digest = digest::Digest {
        record: own.clone(),
        members: Vec::new(),
        domains: Some(Vec::new()),
    };
    for body in [
        body::Body::Digest(digest.clone()),
        body::Body::JoinRequest(digest),
        body::Body::Probe(own),
    ] {
        let message = message::Message { incarnation, body };
        sample_messages.push(wire_codec::encode(&message).unwrap());
        let out = cluster.node(&b).receive(now, &a, message);
        keep(&out, &mut sample_messages);
    }
    for step in 0..200 {
        let at = clock::Millis(now.0 + step * 20);
        keep(&cluster.node(&a).tick(at, &mut rng), &mut sample_messages);
    }
    sample_messages
}

/// Guards against arbitrary bytes that make the decoder or a node panic or use unbounded memory.
#[test]
fn arbitrary_bytes_neither_panic_nor_exceed_memory_bound() {
    let strategy = collection::vec(any::<u8>(), 0..512);
    runner()
        .run(&strategy, |bytes| {
            if let Ok(message) = wire_codec::decode(&bytes) {
                let mut node = fresh_node();
                node.receive(clock::Millis(1001), &support::vm(0, 1), message);
                prop_assert!(node.encoded_size() <= 64 * bytes.len() + 256);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against truncated messages that decode as a different valid message.
#[test]
fn truncated_messages_are_rejected() {
    let sample_messages = sample_messages();
    let strategy = (any::<prop::sample::Index>(), any::<prop::sample::Index>());
    runner()
        .run(&strategy, |(which, length)| {
            let sample = &sample_messages[which.index(sample_messages.len())];
            let length = length.index(sample.len());
            prop_assert!(wire_codec::decode(&sample[..length]).is_err());
            Ok(())
        })
        .unwrap();
}

/// Guards against altered messages that make a node panic or use unbounded memory.
#[test]
fn altered_messages_neither_panic_nor_exceed_memory_bound() {
    let sample_messages = sample_messages();
    let strategy = (
        any::<prop::sample::Index>(),
        collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    );
    runner()
        .run(&strategy, |(which, changes)| {
            let mut bytes = sample_messages[which.index(sample_messages.len())].clone();
            for (position, value) in changes {
                let position = position.index(bytes.len());
                bytes[position] = value;
            }
            if let Ok(message) = wire_codec::decode(&bytes) {
                let mut node = fresh_node();
                let mut rng = rngs::StdRng::seed_from_u64(3);
                node.receive(clock::Millis(1001), &support::vm(0, 1), message);
                for step in 1..100 {
                    node.tick(clock::Millis(1001 + step * 100), &mut rng);
                }
                prop_assert!(node.encoded_size() <= 64 * bytes.len() + 256);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against messages that change when they are decoded and encoded again.
#[test]
fn messages_round_trip_through_codec() {
    for sample in sample_messages() {
        let message = wire_codec::decode(&sample).unwrap();
        assert_eq!(wire_codec::encode(&message).unwrap(), sample);
    }
}

/// Guards against allocation for a declared length that exceeds the actual input, and against
/// decoding of oversized input.
#[test]
fn declared_and_actual_sizes_are_limited() {
    let oversized = vec![0; limits::MAX_MESSAGE_BYTES + 1];
    let too_large =
        error::CodecError::TooLarge(limits::MAX_MESSAGE_BYTES + 1, limits::MAX_MESSAGE_BYTES);
    assert_eq!(wire_codec::decode(&oversized), Err(too_large));

    // A `Probe` message that declares a VM name of 2^62 - 1 bytes but contains none of them.
    let mut declared = vec![1, 3];
    declared.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]);
    assert!(wire_codec::decode(&declared).is_err());
    runner()
        .run(&any::<u16>(), |rest| {
            let mut bytes = declared.clone();
            bytes.extend(rest.to_le_bytes());
            prop_assert_eq!(wire_codec::decode(&bytes).is_ok(), false);
            Ok(())
        })
        .unwrap();
}
