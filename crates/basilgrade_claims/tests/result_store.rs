//! Copies of stage results: binding, bounds and expiry.

use basilgrade_claims::claim_key::ClaimKey;
use basilgrade_claims::fingerprint::Fingerprint;
use basilgrade_claims::result_store;
use basilgrade_claims::result_store::ResultStore;
use basilgrade_types::clock::Millis;
use basilgrade_types::key::RequestKey;
use basilgrade_types::price::Price;
use basilgrade_types::slot::Slot;
use bytes::Bytes;

const NOW: Millis = Millis(1_000_000);
const EXPIRY: Millis = Millis(1_010_000);

fn key(random: u128, step: u8) -> ClaimKey {
    let slot = Slot::new(1).expect("a slot");
    ClaimKey {
        // The lowest byte of the random part shares bits with the version of the UUID.
        key: RequestKey::mint(slot, NOW, random << 8),
        step,
    }
}

fn print(body: &[u8]) -> Fingerprint {
    Fingerprint::of("customer", "pipeline", body)
}

/// Guards against a result reaching another request, stage or moment than its own.
#[test]
fn result_is_bound_to_request_and_stage() {
    let mut store = ResultStore::new(1_000);
    let body = Bytes::from_static(b"result");

    store.put(NOW, key(1, 0), print(b"a"), &body, EXPIRY);

    assert_eq!(store.get(NOW, &key(1, 0), print(b"a")), Some(&body));
    assert_eq!(store.get(NOW, &key(1, 0), print(b"b")), None);
    assert_eq!(store.get(NOW, &key(1, 1), print(b"a")), None);
    assert_eq!(store.get(EXPIRY, &key(1, 0), print(b"a")), None);
}

/// Guards against unbounded memory.
#[test]
fn store_is_bounded_and_evicts_the_oldest() {
    let mut store = ResultStore::new(1_000);
    let body = Bytes::from(vec![0; 100]);

    for number in 0..50 {
        store.put(NOW, key(number, 0), print(b"a"), &body, EXPIRY);
        assert!(store.bytes() <= 1_000);
    }

    assert!(store.get(NOW, &key(49, 0), print(b"a")).is_some());
    assert!(store.get(NOW, &key(0, 0), print(b"a")).is_none());
}

/// Guards against copies that cost more than they save.
#[test]
fn copies_are_kept_for_expensive_stages_only() {
    let chance = 3.7e-6;

    assert!(result_store::is_worth_keeping(
        Price(1_000_000),
        Price(1),
        chance
    ));
    assert!(!result_store::is_worth_keeping(
        Price(1_000),
        Price(1),
        chance
    ));
}
