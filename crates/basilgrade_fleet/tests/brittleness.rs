//! Upstreams that fail if all daemons together have too many requests refused.

use basilgrade_fleet::brittleness;
use basilgrade_types::clock;
use basilgrade_types::rate;
use rand::RngExt as _;
use rand::SeedableRng as _;

const DAEMONS: usize = 9;
const SERVICE_MS: u64 = 60;

/// Time after which the upstream has no queue any more, in milliseconds.
const GRACE_MS: u64 = 4000;

/// One daemon that always has requests for the upstream.
#[derive(Default)]
struct Daemon {
    known: brittleness::Brittleness,
    /// Ends of the requests in progress.
    ends: Vec<u64>,
    paused_until: u64,
}

/// Outcome of a simulation after `GRACE_MS`.
#[derive(Default)]
struct Load {
    /// Times of the refusals, in milliseconds.
    refusals: Vec<u64>,
    served: usize,
}

/// Has `DAEMONS` daemons send to an upstream with `slots` slots, which bears `tolerance` refusals a
/// second, until `end`.
fn simulate(slots: u32, tolerance: f64, end: u64) -> Load {
    let mut rng = rand::rngs::StdRng::seed_from_u64(28);
    let named = Some(rate::RequestRate(tolerance));
    let shares = brittleness::Shares {
        daemons: DAEMONS,
        slots,
    };
    let mut daemons: Vec<_> = (0..DAEMONS).map(|_| Daemon::default()).collect();
    let mut load = Load::default();
    for ms in 0..end {
        let now = clock::Millis(100_000 + ms);
        let room = slots as usize + if ms < GRACE_MS { 8 } else { 0 };
        for daemon in &mut daemons {
            let before = daemon.ends.len();
            daemon.ends.retain(|end| *end > ms);
            for _ in daemon.ends.len()..before {
                daemon.known.record_answer(now, named);
                daemon.known.record_success(now, shares);
                load.served += usize::from(ms >= GRACE_MS);
            }
        }
        for number in 0..DAEMONS {
            let busy: usize = daemons.iter().map(|daemon| daemon.ends.len()).sum();
            let daemon = &mut daemons[number];
            let active = daemon.ends.len() as u32;
            daemon.known.record_answer(now, named);
            // Each daemon has a request every 5 ms on average.
            let is_ready = rng.random_bool(0.2) && ms >= daemon.paused_until;
            if !is_ready || daemon.known.is_full(now, shares, active) {
                continue;
            }
            if busy < room {
                daemon.ends.push(ms + SERVICE_MS);
                continue;
            }
            load.refusals.extend((ms >= GRACE_MS).then_some(ms));
            let jitter: f64 = rng.random();
            let hold = daemon.known.record_refusal(now, shares, active + 1, jitter);
            daemon.paused_until = ms + hold.0;
        }
    }
    load
}

/// Guards against daemons that together have more requests refused than the upstream bears, and
/// against daemons that leave its slots empty for that.
#[test]
fn refusals_of_all_daemons_stay_within_the_tolerance() {
    for (slots, tolerance) in [(6, 3.0), (6, 5.0), (64, 8.0), (6, 20.0)] {
        let end = 10 * GRACE_MS;

        let load = simulate(slots, tolerance, end);

        let count = |start: &u64| {
            let is_within = |at: &&u64| (*start..*start + 1000).contains(*at);
            load.refusals.iter().filter(is_within).count()
        };
        let most = load.refusals.iter().map(count).max().unwrap_or(0);
        let capacity = u64::from(slots) * (end - GRACE_MS) / SERVICE_MS;
        assert!(most as f64 <= tolerance, "{most} of {tolerance} refusals");
        assert!(
            load.served as u64 * 4 >= capacity * 3,
            "{} of {capacity} served",
            load.served
        );
    }
}

/// Guards against an upstream that counts as brittle for good, and against one that answers on
/// different connections and so seems sound for a moment.
#[test]
fn brittleness_ends_with_the_answers_that_name_it() {
    let at = |ms: u64| clock::Millis(100_000 + ms);
    let shares = brittleness::Shares {
        daemons: 1,
        slots: 1,
    };
    let mut known = brittleness::Brittleness::default();
    known.record_answer(at(0), Some(rate::RequestRate(2.0)));

    known.record_answer(at(400), None);
    assert!(known.is_full(at(400), shares, 1));
    assert!(!known.is_full(at(10_000), shares, 1));

    known.record_answer(at(600), None);
    assert!(!known.is_full(at(600), shares, 1));
}
