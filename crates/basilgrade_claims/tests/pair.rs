//! Members of a pair with messages delivered one by one, for orders that random runs rarely hit.

use std::collections::VecDeque;
use std::sync::Arc;

use basilgrade_claims::attempt_id::AttemptId;
use basilgrade_claims::claim_key::ClaimKey;
use basilgrade_claims::claims::Claims;
use basilgrade_claims::cluster_view::ClusterView;
use basilgrade_claims::decision::Decision;
use basilgrade_claims::decision::Refusal;
use basilgrade_claims::fingerprint::Fingerprint;
use basilgrade_claims::message::Message;
use basilgrade_claims::output::Output;
use basilgrade_claims::safety::SafetyChecks;
use basilgrade_claims::settings::Settings;
use basilgrade_claims::settlement::Settlement;
use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::control_record::ControlRecord;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::encode;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::fold::Fold;
use basilgrade_journal::grant::Grant;
use basilgrade_journal::history::History;
use basilgrade_journal::node::Node;
use basilgrade_types::clock::Millis;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::key::RequestKey;
use basilgrade_types::offset::Offset;
use basilgrade_types::slot::Slot;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

const NOW: Millis = Millis(1_000_000_000);
const CEILING: Millis = Millis(NOW.0 + 900_000);

/// Daemons of one failure domain whose messages wait until a test delivers them.
struct Bench {
    daemons: Vec<Claims>,
    fold: Fold<ControlState>,
    wire: VecDeque<(Node, Node, Message)>,
    decided: Vec<(AttemptId, Decision)>,
    appends: Vec<ControlRecord>,
}

fn node(number: usize) -> Node {
    Node {
        vm: format!("vm{number}").parse().expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn bench(safety: SafetyChecks, settings: Settings) -> Bench {
    let domain = || "d0".parse().expect("a name");
    Bench {
        daemons: (0..3)
            .map(|number| Claims::with_safety_checks(node(number), domain(), settings, safety))
            .collect(),
        fold: Fold::new(Arc::new(())),
        wire: VecDeque::new(),
        decided: Vec::new(),
        appends: Vec::new(),
    }
}

fn slot() -> Slot {
    Slot::new(5).expect("a slot")
}

fn key(random: u128) -> ClaimKey {
    ClaimKey {
        key: RequestKey::mint(slot(), NOW, random),
        step: 0,
    }
}

fn view(lost: &[usize]) -> ClusterView {
    let live = (0..3).filter(|number| !lost.contains(number)).map(node);
    ClusterView {
        live: live.collect(),
        dead: lost.iter().map(|number| node(*number)).collect(),
        domains: [("d0".parse().expect("a name"), 3)].into_iter().collect(),
        ..ClusterView::default()
    }
}

impl Bench {
    fn append(&mut self, record: &ControlRecord) {
        let at = self.fold.next();
        let entry = Entry {
            offset: at,
            body: encode::line(record),
        };
        let chunk = Chunk {
            from: at,
            first: Offset(0),
            next: at.next(),
            entries: vec![entry],
        };
        self.fold.feed(NOW, &chunk);
    }

    fn grant(&mut self, primary: usize, backup: usize, history: History) {
        let prev = self.fold.state().slot(slot()).map(|held| held.epoch);
        let grant = Grant {
            slot: slot(),
            prev,
            domain: "d0".parse().expect("a name"),
            primary: node(primary),
            backup: Some(node(backup)),
            floor: Millis::ZERO,
            ceiling: CEILING,
            history,
        };
        let grants = vec![grant];
        self.append(&ControlRecord::Grants {
            id: Uuid::nil(),
            grants,
        });
    }

    /// The daemon reads the log to its end.
    fn read(&mut self, number: usize) {
        let next = self.fold.next();
        self.daemons[number].observe(NOW, self.fold.state(), next);
        self.collect(number);
    }

    fn collect(&mut self, number: usize) {
        let outputs: Vec<_> = self.daemons[number].outputs().collect();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.wire.push_back((node(number), to, message)),
                Output::Decide { attempt, decision } => self.decided.push((attempt, decision)),
                Output::Append { body, .. } => {
                    let record = serde_json::from_slice(&body).expect("a record");
                    self.appends.push(record);
                }
            }
        }
    }

    /// Delivers waiting messages, and those they cause, between daemons in `reachable`.
    fn deliver(&mut self, reachable: &[usize]) {
        while let Some((from, to, message)) = self.wire.pop_front() {
            let number = (0..3).find(|number| node(*number) == to).expect("a daemon");
            if reachable.contains(&number) && reachable.iter().any(|other| node(*other) == from) {
                self.hand(&from, number, message);
            }
        }
    }

    fn hand(&mut self, from: &Node, number: usize, message: Message) {
        self.daemons[number].receive(NOW, from, message);
        self.collect(number);
    }

    fn claim(&mut self, number: usize, claim: ClaimKey, attempt: u128) {
        let print = Fingerprint::of("customer", "pay", b"body");
        let deadline = NOW.plus(Millis::from_secs(1));
        self.daemons[number].claim(NOW, claim, print, AttemptId::new(attempt), deadline);
        self.collect(number);
    }

    fn settle(&mut self, number: usize, attempt: u128, settlement: Settlement) {
        self.daemons[number].settle(NOW, AttemptId::new(attempt), settlement);
        self.collect(number);
    }

    fn tick(&mut self, number: usize, now: Millis, view: &ClusterView) {
        self.daemons[number].tick(now, view, &mut StdRng::seed_from_u64(1));
        self.collect(number);
    }

    fn decisions(&self, attempt: u128) -> Vec<&Decision> {
        let of = |decided: &&(AttemptId, Decision)| decided.0 == AttemptId::new(attempt);
        self.decided
            .iter()
            .filter(of)
            .map(|(_, decision)| decision)
            .collect()
    }
}

/// Daemons 0 and 1 as primary and backup, daemon 2 without a role.
fn pair(safety: SafetyChecks) -> Bench {
    let mut bench = bench(safety, Settings::default());
    bench.grant(0, 1, History::Lost);
    for number in 0..3 {
        bench.read(number);
    }
    bench
}

/// A late copy of an old replication reaches the backup after the key was claimed by attempt 2,
/// the backup takes over, and the release of attempt 1 arrives again; then attempt 3 asks.
fn late_replication(safety: SafetyChecks) -> Vec<Decision> {
    let mut bench = pair(safety);
    bench.claim(0, key(7), 1);
    let (from, _, old) = bench.wire.front().cloned().expect("a replication");
    bench.deliver(&[0, 1]);
    bench.settle(0, 1, Settlement::Released);
    bench.deliver(&[0, 1]);
    bench.claim(0, key(7), 2);
    bench.deliver(&[0, 1]);
    bench.hand(&from, 1, old);
    bench.grant(1, 2, History::Kept);
    bench.read(1);
    bench.read(2);
    bench.deliver(&[1, 2]);
    let release = Message::Settle {
        claim: key(7),
        attempt: AttemptId::new(1),
        settlement: Settlement::Released,
        epoch: Offset(1),
    };
    bench.hand(&node(0), 1, release);
    bench.deliver(&[1, 2]);
    bench.claim(2, key(7), 3);
    bench.deliver(&[1, 2]);
    bench.decisions(3).into_iter().cloned().collect()
}

/// Guards against a reordered replication reviving a released claim over a newer one.
#[test]
fn reordered_replication_does_not_free_a_claimed_key() {
    let decisions = late_replication(SafetyChecks::default());

    assert_eq!(decisions, [Decision::MayHaveRun]);
}

/// Shows that the order of versions is what prevents the above.
#[test]
fn reordered_replication_frees_a_claimed_key_without_version_order() {
    let safety = SafetyChecks {
        version_order: false,
        ..SafetyChecks::default()
    };

    let decisions = late_replication(safety);

    assert_eq!(decisions, [Decision::Granted]);
}

/// Daemon 2 replaces the backup, the transfer to it is lost, and the primary dies; what daemon 2
/// then proposes.
fn lost_transfer(safety: SafetyChecks) -> History {
    let mut bench = pair(safety);
    bench.claim(0, key(7), 1);
    bench.deliver(&[0, 1]);
    bench.grant(0, 2, History::Kept);
    bench.read(0);
    bench.read(2);
    bench.wire.clear();
    bench.tick(2, NOW, &view(&[0]));
    match bench.appends.first() {
        Some(ControlRecord::Grants { grants, .. }) => grants[0].history,
        other => panic!("no grant was proposed but {other:?}"),
    }
}

/// Guards against a backup without all claims passing as one that has the history.
#[test]
fn backup_without_all_claims_counts_as_lost() {
    let history = lost_transfer(SafetyChecks::default());

    assert_eq!(history, History::Lost);
}

/// Shows that the wait for the transfer is what prevents the above.
#[test]
fn backup_without_all_claims_keeps_history_without_sync() {
    let safety = SafetyChecks {
        transfer_first: false,
        ..SafetyChecks::default()
    };

    let history = lost_transfer(safety);

    assert_eq!(history, History::Kept);
}

/// Guards against claims in flight being lost or stalled when the ceiling is renewed.
#[test]
fn claim_in_flight_survives_a_renewal() {
    let mut bench = pair(SafetyChecks::default());
    bench.claim(0, key(7), 1);
    bench.grant(0, 1, History::Kept);
    bench.read(0);

    bench.deliver(&[0, 1]);

    assert_eq!(bench.decisions(1), [&Decision::Granted]);
}

/// Guards against a primary that has not read the newest grant granting with a stale backup.
#[test]
fn replaced_primary_gets_no_acknowledgement() {
    let mut bench = pair(SafetyChecks::default());
    bench.grant(1, 2, History::Kept);
    bench.read(1);
    bench.read(2);
    bench.wire.clear();
    bench.claim(0, key(7), 1);

    bench.deliver(&[0, 1]);

    assert_eq!(bench.decisions(1), Vec::<&Decision>::new());
    let epoch = bench.daemons[0].ownership(slot()).map(|held| held.epoch);
    assert_eq!(epoch, Some(Offset(1)));
}

/// Guards against one attempt being decided twice when its messages are repeated.
#[test]
fn repeated_claim_messages_are_idempotent() {
    let mut bench = pair(SafetyChecks::default());
    bench.claim(2, key(7), 1);
    let (from, _, message) = bench.wire.front().cloned().expect("a claim");
    bench.deliver(&[0, 1, 2]);

    bench.hand(&from, 0, message);
    bench.deliver(&[0, 1, 2]);

    assert_eq!(bench.decisions(1), [&Decision::Granted]);
}

/// Guards against a claim that arrives after its own release blocking the key.
#[test]
fn release_that_overtakes_its_claim_keeps_the_key_free() {
    let mut bench = pair(SafetyChecks::default());
    bench.claim(2, key(7), 1);
    let (from, _, message) = bench.wire.pop_front().expect("a claim");
    let late = NOW.plus(Millis::from_secs(2));
    bench.tick(2, late, &view(&[]));
    bench.deliver(&[0, 1, 2]);
    bench.hand(&from, 0, message);
    bench.deliver(&[0, 1, 2]);

    bench.claim(1, key(7), 2);
    bench.deliver(&[0, 1, 2]);

    let refused = Decision::NotRun(Refusal::Timeout);
    assert_eq!(bench.decisions(1), [&refused]);
    assert_eq!(bench.decisions(2), [&Decision::Granted]);
}

/// Guards against claims or answers being lost when a draining primary hands over.
#[test]
fn drained_primary_leaves_claims_and_answers_behind() {
    let mut bench = pair(SafetyChecks::default());
    bench.claim(0, key(7), 1);
    bench.deliver(&[0, 1]);
    let answer = Bytes::from_static(b"paid");
    bench.settle(0, 1, Settlement::Finished(Some(answer.clone())));
    bench.deliver(&[0, 1]);
    bench.daemons[0].drain();
    let mut draining = view(&[]);
    draining.live.shift_remove(&node(0));
    draining.leaving.insert(node(0));

    bench.tick(0, NOW, &draining);
    let record = bench.appends.remove(0);
    bench.append(&record);
    for number in 0..3 {
        bench.read(number);
    }
    bench.deliver(&[0, 1, 2]);
    bench.claim(2, key(7), 2);
    bench.deliver(&[1, 2]);

    assert!(bench.daemons[0].is_drained());
    assert_eq!(bench.decisions(2), [&Decision::Answered(answer)]);
}

/// Guards against a key being granted above the ceiling of a release that may still take effect.
#[test]
fn nothing_is_granted_while_a_release_is_under_way() {
    let mut bench = pair(SafetyChecks::default());
    bench.daemons[0].drain();
    bench.tick(0, NOW, &view(&[1, 2]));
    // The answer to the append is lost; the release is proposed again after a random wait.
    for seconds in [60, 120] {
        let later = NOW.plus(Millis::from_secs(seconds));
        bench.tick(0, later, &view(&[1, 2]));
    }

    bench.claim(0, key(7), 1);
    bench.deliver(&[0, 1]);

    let ceilings: Vec<_> = bench
        .appends
        .iter()
        .map(|record| match record {
            ControlRecord::Release { slots, .. } => slots[0].ceiling,
            other => panic!("not a release: {other:?}"),
        })
        .collect();
    assert_eq!(ceilings.len(), 2);
    assert_eq!(ceilings[0], ceilings[1]);
    assert_eq!(bench.decisions(1), [&Decision::NotRun(Refusal::NoOwner)]);
}

/// Guards against unbounded tables, and against evicted keys running again.
#[test]
fn evicted_keys_may_have_run() {
    let settings = Settings {
        claim_limit: 10,
        ..Settings::default()
    };
    let mut bench = bench(SafetyChecks::default(), settings);
    bench.grant(0, 1, History::Lost);
    bench.read(0);
    bench.read(1);
    let aged = |second: u64| ClaimKey {
        key: RequestKey::mint(
            slot(),
            NOW.plus(Millis::from_secs(second)),
            u128::from(second),
        ),
        step: 0,
    };
    for second in 0..40 {
        bench.claim(0, aged(second), u128::from(second));
        bench.deliver(&[0, 1]);
    }

    bench.claim(0, aged(3), 100);
    bench.deliver(&[0, 1]);

    assert!(bench.daemons[0].claim_count() <= 10);
    assert!(bench.daemons[1].claim_count() <= 10);
    assert_eq!(bench.decisions(100), [&Decision::MayHaveRun]);
}

/// Guards against a storm of records when all daemons of a domain start at the same time.
#[test]
fn one_proposer_grants_all_slots_in_one_record() {
    let mut bench = bench(SafetyChecks::default(), Settings::default());
    for number in 0..3 {
        bench.read(number);
        bench.tick(number, NOW, &view(&[]));
    }
    let later = NOW.plus(Millis::from_secs(4));

    for number in 0..3 {
        bench.tick(number, later, &view(&[]));
    }

    assert_eq!(bench.appends.len(), 1);
    let record = bench.appends.remove(0);
    bench.append(&record);
    assert_eq!(bench.fold.state().slots().count(), 64);
    for number in 0..3 {
        let member = |grant: &Grant| grant.has_member(&node(number));
        let slots = bench.fold.state().slots();
        let roles = slots
            .filter_map(|(_, held)| held.grant.as_ref())
            .filter(|grant| member(grant));
        assert!((42..=43).contains(&roles.count()));
    }
}
