//! Measures the memory and time that claims take, at several numbers of claims and slots.

use std::fs;
use std::sync::Arc;
use std::time::Instant;

use basilgrade_claims::attempt_id::AttemptId;
use basilgrade_claims::claim_key::ClaimKey;
use basilgrade_claims::claims::Claims;
use basilgrade_claims::cluster_view::ClusterView;
use basilgrade_claims::decision::Decision;
use basilgrade_claims::fingerprint::Fingerprint;
use basilgrade_claims::output::Output;
use basilgrade_claims::settings::Settings;
use basilgrade_claims::settlement::Settlement;
use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::control_record::ControlRecord;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::encode;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::grant::Grant;
use basilgrade_journal::history::History;
use basilgrade_journal::node::Node;
use basilgrade_journal::replayer::Replayer;
use basilgrade_types::clock::Millis;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::key::RequestKey;
use basilgrade_types::offset::Offset;
use basilgrade_types::slot::Slot;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

const NOW_MS: u64 = 1_000_000_000;

/// The resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

fn node(number: usize) -> Node {
    Node {
        vm: format!("vm{number}").parse().expect("valid VM name"),
        incarnation: Incarnation(1),
    }
}

/// Returns two daemons that are primary and backup of `slots` slots.
fn granted_pair(slots: u8) -> Vec<Claims> {
    let grants = (0..slots).filter_map(Slot::new).map(|slot| Grant {
        slot,
        prev: None,
        domain: "d0".parse().expect("valid domain name"),
        primary: node(0),
        backup: Some(node(1)),
        floor: Millis::ZERO,
        ceiling: Millis(u64::MAX),
        history: History::Lost,
    });
    let record = ControlRecord::Grants {
        id: Uuid::nil(),
        grants: grants.collect(),
    };
    let chunk = Chunk {
        next: Offset(1),
        entries: vec![Entry {
            offset: Offset(0),
            body: encode::json_line(&record),
        }],
        ..Chunk::default()
    };
    let size = chunk.entries[0].body.len();
    println!("a record of {slots} grants has {size} bytes");
    let mut replayer: Replayer<ControlState> = Replayer::new(Arc::new(()));
    replayer.replay_chunk(Millis(NOW_MS), &chunk);
    let settings = Settings {
        claim_limit: 1_000_000,
        ..Settings::default()
    };
    (0..2)
        .map(|number| {
            let mut claims = Claims::new(
                node(number),
                "d0".parse().expect("valid domain name"),
                settings,
            );
            claims.observe(Millis(NOW_MS), replayer.state(), replayer.next());
            claims
        })
        .collect()
}

/// Delivers messages and settles granted claims until nothing is left to do; returns the numbers of
/// granted claims and of sent messages.
fn deliver_all(daemons: &mut [Claims], now: Millis) -> (usize, usize) {
    let (mut granted, mut sent) = (0, 0);
    loop {
        let mut progress = false;
        for number in 0..2 {
            let outputs: Vec<_> = daemons[number].outputs().collect();
            for output in outputs {
                progress = true;
                match output {
                    Output::Send { message, .. } => {
                        sent += 1;
                        daemons[1 - number].receive(now, &node(number), message);
                    }
                    Output::Decide { attempt, decision } => {
                        granted += usize::from(decision == Decision::Granted);
                        let finished = Settlement::Finished(None);
                        daemons[number].settle(now, attempt, finished);
                    }
                    Output::Append { .. } => {}
                }
            }
        }
        if !progress {
            return (granted, sent);
        }
    }
}

/// Claims and settles `count` keys whose creation times are spread over 30 minutes; returns the
/// numbers of granted claims and of messages between primary and backup.
fn claim_keys(daemons: &mut [Claims], slots: u8, count: u64, rng: &mut StdRng) -> (usize, usize) {
    let (mut granted, mut sent) = (0, 0);
    for number in 0..count {
        let now = Millis(NOW_MS + number * 1_800_000 / count);
        let slot = Slot::new(rng.random_range(0..slots)).expect("valid slot number");
        let claim = ClaimKey {
            key: RequestKey::mint(slot, now, rng.random()),
            step: 0,
        };
        let fingerprint = Fingerprint::of("customer", "pay", &number.to_le_bytes());
        let attempt = AttemptId::new(rng.random());
        daemons[0].claim(now, claim, fingerprint, attempt, now.plus(Millis(1_000)));
        let (newly_granted, messages) = deliver_all(daemons, now);
        granted += newly_granted;
        sent += messages;
    }
    (granted, sent)
}

fn main() {
    let mut rng = StdRng::seed_from_u64(1);
    println!(
        "claims per daemon, slots, bytes per claim, MB per daemon, us per claim (both members), messages per claim"
    );
    let mut kept = Vec::new();
    for (count, slots) in [(14_211, 1), (42_188, 1), (84_375, 2), (200_000, 64)] {
        let mut daemons = granted_pair(slots);
        let before = resident_bytes();
        let start = Instant::now();
        let (granted, sent) = claim_keys(&mut daemons, slots, count, &mut rng);
        let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        let bytes = (resident_bytes() - before) as f64 / 2.0;
        let held = daemons[0].claim_count();
        assert_eq!(granted as u64, count);
        println!(
            "{held}, {slots}, {:.0}, {:.1}, {micros:.2}, {:.1}",
            bytes / held as f64,
            bytes / 1e6,
            sent as f64 / count as f64
        );
        // The tables are kept, so that the next measurement does not reuse their memory.
        kept.push(daemons);
    }
    let daemon = &mut kept[3][0];
    let view = ClusterView {
        live: (0..19).map(node).collect(),
        domains: [("d0".parse().expect("valid domain name"), 19)]
            .into_iter()
            .collect(),
        ..ClusterView::default()
    };
    let now = Millis(NOW_MS + 1_800_000);
    let start = Instant::now();
    let mut appends = 0;
    for tick in 0..2_000 {
        daemon.tick(now.plus(Millis(tick * 50)), &view, &mut rng);
        let is_append = |output: &Output| matches!(output, Output::Append { .. });
        appends += daemon.outputs().filter(is_append).count();
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / 2_000.0;
    println!(
        "tick as primary of 64 slots with {} claims: {micros:.2} us; at 20 a second {:.3}% of a core; {appends} appends",
        daemon.claim_count(),
        micros * 20.0 / 1e4
    );
}
