//! Compares three ways to recover finished stage results after the death of their VM: a copy on
//! another daemon, XOR parity, and running the stage again.

mod result_store;

use std::hint::black_box;
use std::time::Instant;

use basilgrade_claims::claim_key::ClaimKey;
use basilgrade_claims::fingerprint::Fingerprint;
use basilgrade_types::clock::Millis;
use basilgrade_types::key::RequestKey;
use basilgrade_types::slot::Slot;
use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use result_store::ResultStore;

const NOW: Millis = Millis(1_000_000_000);
/// The load expected in two years: 15,000 requests/s with 4.5 stages each. The result of the last
/// stage is the answer, so 3.5 results per request are stored.
const RESULTS_PER_SECOND: f64 = 15_000.0 * 3.5;
const DAEMONS: f64 = 380.0;
/// The mean time from the end of a stage to the end of its request; deadlines are 10 s.
const LIFETIME_S: f64 = 5.0;
/// Crashes of VMs with entry daemons, the daemons that serve callers.
const DEATHS_PER_DAY: f64 = 12.0;

fn bodies(size: usize, count: usize, rng: &mut StdRng) -> Vec<Bytes> {
    (0..count)
        .map(|_| {
            // Sizes vary by a factor of four, like the answers of one stage.
            let length = rng.random_range(size / 2..=size * 2).min(64 * 1024);
            (0..length)
                .map(|_| rng.random::<u8>())
                .collect::<Vec<_>>()
                .into()
        })
        .collect()
}

/// Measures the mean time to store a result and the mean time to read one, in microseconds.
fn measure_copy(bodies: &[Bytes], rng: &mut StdRng) -> (f64, f64) {
    let mut store = ResultStore::new(64 << 20);
    let fingerprint = Fingerprint::of("customer", "pipeline", b"body");
    let slot = Slot::new(1).expect("valid slot number");
    let expiry = NOW.plus(Millis(10_000));
    let keys: Vec<_> = bodies
        .iter()
        .map(|_| ClaimKey {
            key: RequestKey::mint(slot, NOW, rng.random()),
            step: 1,
        })
        .collect();
    let start = Instant::now();
    for (key, body) in keys.iter().zip(bodies) {
        store.put(NOW, *key, fingerprint, body, expiry);
    }
    let put = start.elapsed().as_secs_f64() * 1e6 / bodies.len() as f64;
    let start = Instant::now();
    for key in &keys {
        black_box(store.get(NOW, key, fingerprint).cloned());
    }
    (
        put,
        start.elapsed().as_secs_f64() * 1e6 / bodies.len() as f64,
    )
}

/// Measures XOR parity over groups of results: the mean times to update the parity for one result
/// and to recover one, in microseconds, and the bytes of parity per byte of results. Results are
/// padded to the longest of their group.
fn measure_parity(bodies: &[Bytes], group_size: usize) -> (f64, f64, f64) {
    let groups: Vec<_> = bodies.chunks_exact(group_size).collect();
    let mut parities: Vec<Vec<u8>> = Vec::new();
    let start = Instant::now();
    for group in &groups {
        let longest = group.iter().map(Bytes::len).max().unwrap_or(0);
        let mut parity = vec![0; longest];
        for body in *group {
            xor(&mut parity, body);
        }
        parities.push(parity);
    }
    let update = start.elapsed().as_secs_f64() * 1e6 / (groups.len() * group_size) as f64;
    let start = Instant::now();
    for (group, parity) in groups.iter().zip(&parities) {
        let mut lost = parity.clone();
        for body in &group[1..] {
            xor(&mut lost, body);
        }
        assert_eq!(lost[..group[0].len()], group[0][..]);
    }
    let recover = start.elapsed().as_secs_f64() * 1e6 / groups.len() as f64;
    let kept: usize = parities.iter().map(Vec::len).sum();
    let all: usize = groups.iter().flat_map(|group| *group).map(Bytes::len).sum();
    (update, recover, kept as f64 / all as f64)
}

fn xor(into: &mut [u8], body: &[u8]) {
    for (to, from) in into.iter_mut().zip(body) {
        *to ^= from;
    }
}

fn main() {
    let mut rng = StdRng::seed_from_u64(1);
    println!(
        "way, mean bytes, KB/s sent per daemon, MB held per daemon, us per result, us per recovery, peers read"
    );
    for size in [1 << 10, 8 << 10, 32 << 10] {
        let bodies = bodies(size, 960, &mut rng);
        let mean = bodies.iter().map(Bytes::len).sum::<usize>() as f64 / bodies.len() as f64;
        let rate = RESULTS_PER_SECOND / DAEMONS;
        let (put, get) = measure_copy(&bodies, &mut rng);
        println!(
            "copy, {mean:.0}, {:.0}, {:.2}, {put:.2}, {get:.2}, 1",
            rate * mean / 1e3,
            rate * LIFETIME_S * mean / 1e6
        );
        for k in [4, 8] {
            let (update, recover, share) = measure_parity(&bodies, k);
            // The daemon with the parity receives each result twice, to add it and to remove it.
            println!(
                "parity k={k}, {mean:.0}, {:.0}, {:.2}, {:.2}, {recover:.2}, {k}",
                2.0 * rate * mean / 1e3,
                rate * LIFETIME_S * mean * share / 1e6,
                2.0 * update
            );
        }
        println!("run again, {mean:.0}, 0, 0.00, 0, one stage time, 0");
    }
    let open = 15_000.0 / DAEMONS * 10.0;
    println!(
        "requests open at a death, at most: {open:.0}; a day: {:.0} of {:.2e}",
        open * DEATHS_PER_DAY,
        15_000.0 * 86_400.0
    );
    println!(
        "chance that a request's entry VM dies: {:.1e}",
        DEATHS_PER_DAY / DAEMONS / 86_400.0 * 10.0
    );
}
