//! Tests of the compression of updates between daemons.

use basilgrade_adapter::store;
use basilgrade_edge::follow::mirror;
use basilgrade_edge::follow::position;
use basilgrade_edge::peers::packing;
use bytes::Bytes;
use compact_str::CompactString;

/// Update with a configuration of `routes` routes.
fn update(routes: usize) -> mirror::Update {
    let route = |number| format!("{{\"host\":\"h{number}.example\",\"path\":\"/p{number}/\"}}");
    let value: Vec<_> = (0..routes).map(route).collect();
    let record = (
        CompactString::new("config"),
        Some(Bytes::from(value.join(","))),
    );
    mirror::Update {
        topic: store::Topic::Operators,
        position: position::Position { era: 1, offset: 7 },
        changes: mirror::Changes::Some(vec![record]),
    }
}

fn encode(updates: &[mirror::Update]) -> Vec<u8> {
    postcard::to_stdvec(updates).expect("updates are encodable")
}

/// Guards against updates that arrive changed, also if they are those of the reply before.
#[test]
fn updates_round_trip() {
    let packer = packing::Packer::default();
    for routes in [0, 1, 1400, 1400, 1300] {
        let updates = [update(routes)];

        let payload = packer.pack(&updates).expect("updates are encodable");

        let unpacked = packing::unpack(&payload).expect("the payload is valid");
        assert_eq!(encode(&unpacked), encode(&updates));
    }
}

/// Guards against a large configuration that takes the link of a reader seconds to send.
#[test]
fn large_configurations_are_compressed() {
    let updates = [update(1400)];

    let payload = packing::Packer::default().pack(&updates);

    let packing::Payload::Deflated(deflated) = payload.expect("updates are encodable") else {
        panic!("the updates are not compressed");
    };
    assert!(deflated.len() * 4 < encode(&updates).len());
}

/// Guards against a daemon that ends or takes any amount of memory because of a malformed reply.
#[test]
fn malformed_payloads_are_rejected() {
    let large = vec![0; 32 << 20];
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    std::io::Write::write_all(&mut encoder, &large).expect("the memory suffices");
    let bomb = encoder.finish().expect("the memory suffices");
    for payload in [
        packing::Payload::Plain(Bytes::from_static(b"\xff")),
        packing::Payload::Deflated(Bytes::from_static(b"\xff\xff")),
        packing::Payload::Deflated(Bytes::from(bomb)),
    ] {
        assert!(packing::unpack(&payload).is_err());
    }
}
