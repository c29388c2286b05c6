//! Tests of the primary and the backup of a slot with messages delivered one by one, in orders that
//! randomized simulations rarely produce.

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
use basilgrade_journal::grant::Grant;
use basilgrade_journal::history::History;
use basilgrade_journal::node::Node;
use basilgrade_journal::replayer::Replayer;
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

/// Daemons of one failure domain whose messages are queued until a test delivers them.
struct TestCluster {
    daemons: Vec<Claims>,
    replayer: Replayer<ControlState>,
    queue: VecDeque<(Node, Node, Message)>,
    decided: Vec<(AttemptId, Decision)>,
    appends: Vec<ControlRecord>,
}

fn node(number: usize) -> Node {
    Node {
        vm: format!("vm{number}").parse().expect("valid VM name"),
        incarnation: Incarnation(1),
    }
}

fn cluster(safety: SafetyChecks, settings: Settings) -> TestCluster {
    let domain = || "d0".parse().expect("valid domain name");
    TestCluster {
        daemons: (0..3)
            .map(|number| Claims::with_safety_checks(node(number), domain(), settings, safety))
            .collect(),
        replayer: Replayer::new(Arc::new(())),
        queue: VecDeque::new(),
        decided: Vec::new(),
        appends: Vec::new(),
    }
}

fn slot() -> Slot {
    Slot::new(5).expect("valid slot number")
}

fn key(random: u128) -> ClaimKey {
    ClaimKey {
        key: RequestKey::mint(slot(), NOW, random),
        step: 0,
    }
}

fn view(dead: &[usize]) -> ClusterView {
    let live = (0..3).filter(|number| !dead.contains(number)).map(node);
    ClusterView {
        live: live.collect(),
        dead: dead.iter().map(|number| node(*number)).collect(),
        domains: [("d0".parse().expect("valid domain name"), 3)]
            .into_iter()
            .collect(),
        ..ClusterView::default()
    }
}

impl TestCluster {
    fn append(&mut self, record: &ControlRecord) {
        let at = self.replayer.next();
        let entry = Entry {
            offset: at,
            body: encode::json_line(record),
        };
        let chunk = Chunk {
            from: at,
            first: Offset(0),
            next: at.next(),
            entries: vec![entry],
        };
        self.replayer.replay_chunk(NOW, &chunk);
    }

    fn grant(&mut self, primary: usize, backup: usize, history: History) {
        let prev = self.replayer.state().slot(slot()).map(|held| held.epoch);
        let grant = Grant {
            slot: slot(),
            prev,
            domain: "d0".parse().expect("valid domain name"),
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

    /// Lets the daemon read the log to its end.
    fn read_log(&mut self, number: usize) {
        let next = self.replayer.next();
        self.daemons[number].observe(NOW, self.replayer.state(), next);
        self.collect_outputs(number);
    }

    fn collect_outputs(&mut self, number: usize) {
        let outputs: Vec<_> = self.daemons[number].outputs().collect();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.queue.push_back((node(number), to, message)),
                Output::Decide { attempt, decision } => self.decided.push((attempt, decision)),
                Output::Append { body, .. } => {
                    let record = serde_json::from_slice(&body).expect("valid control record");
                    self.appends.push(record);
                }
            }
        }
    }

    /// Delivers queued messages, and those they cause, between the daemons in `reachable`; drops
    /// all others.
    fn deliver(&mut self, reachable: &[usize]) {
        while let Some((from, to, message)) = self.queue.pop_front() {
            let number = (0..3)
                .find(|number| node(*number) == to)
                .expect("receiver is a daemon of the cluster");
            if reachable.contains(&number) && reachable.iter().any(|other| node(*other) == from) {
                self.deliver_one(&from, number, message);
            }
        }
    }

    fn deliver_one(&mut self, from: &Node, number: usize, message: Message) {
        self.daemons[number].receive(NOW, from, message);
        self.collect_outputs(number);
    }

    fn claim(&mut self, number: usize, claim: ClaimKey, attempt: u128) {
        let fingerprint = Fingerprint::of("customer", "pay", b"body");
        let deadline = NOW.plus(Millis::from_secs(1));
        self.daemons[number].claim(NOW, claim, fingerprint, AttemptId::new(attempt), deadline);
        self.collect_outputs(number);
    }

    fn settle(&mut self, number: usize, attempt: u128, settlement: Settlement) {
        self.daemons[number].settle(NOW, AttemptId::new(attempt), settlement);
        self.collect_outputs(number);
    }

    fn tick(&mut self, number: usize, now: Millis, view: &ClusterView) {
        self.daemons[number].tick(now, view, &mut StdRng::seed_from_u64(1));
        self.collect_outputs(number);
    }

    fn decisions(&self, attempt: u128) -> Vec<&Decision> {
        let of_attempt = |decided: &&(AttemptId, Decision)| decided.0 == AttemptId::new(attempt);
        self.decided
            .iter()
            .filter(of_attempt)
            .map(|(_, decision)| decision)
            .collect()
    }
}

/// Returns a cluster with daemon 0 as primary, daemon 1 as backup and daemon 2 without a role.
fn granted_pair(safety: SafetyChecks) -> TestCluster {
    let mut cluster = cluster(safety, Settings::default());
    cluster.grant(0, 1, History::Lost);
    for number in 0..3 {
        cluster.read_log(number);
    }
    cluster
}

/// Returns the decisions on attempt 3 in the following order of messages: a late copy of the
/// replication of attempt 1 reaches the backup after attempt 2 has claimed the key, the backup
/// becomes primary, the release of attempt 1 arrives again, and attempt 3 claims the key.
fn decide_after_late_replication(safety: SafetyChecks) -> Vec<Decision> {
    let mut cluster = granted_pair(safety);
    cluster.claim(0, key(7), 1);
    let (from, _, old) = cluster
        .queue
        .front()
        .cloned()
        .expect("replication is in flight");
    cluster.deliver(&[0, 1]);
    cluster.settle(0, 1, Settlement::Released);
    cluster.deliver(&[0, 1]);
    cluster.claim(0, key(7), 2);
    cluster.deliver(&[0, 1]);
    cluster.deliver_one(&from, 1, old);
    cluster.grant(1, 2, History::Kept);
    cluster.read_log(1);
    cluster.read_log(2);
    cluster.deliver(&[1, 2]);
    let release = Message::Settle {
        claim: key(7),
        attempt: AttemptId::new(1),
        settlement: Settlement::Released,
        epoch: Offset(1),
    };
    cluster.deliver_one(&node(0), 1, release);
    cluster.deliver(&[1, 2]);
    cluster.claim(2, key(7), 3);
    cluster.deliver(&[1, 2]);
    cluster.decisions(3).into_iter().cloned().collect()
}

/// Guards against a late copy of a replication that replaces a newer claim on the same key.
#[test]
fn reordered_replication_keeps_key_claimed() {
    let decisions = decide_after_late_replication(SafetyChecks::default());

    assert_eq!(decisions, [Decision::MayHaveRun]);
}

/// Shows that only the comparison of versions keeps a late copy of a replication from replacing a
/// newer claim.
#[test]
fn reordered_replication_frees_key_without_version_order() {
    let safety = SafetyChecks {
        version_order: false,
        ..SafetyChecks::default()
    };

    let decisions = decide_after_late_replication(safety);

    assert_eq!(decisions, [Decision::Granted]);
}

/// Returns the history in the grant that daemon 2 proposes after it has replaced the backup, the
/// transfer of claims to it was lost, and the primary has died.
fn propose_after_lost_transfer(safety: SafetyChecks) -> History {
    let mut cluster = granted_pair(safety);
    cluster.claim(0, key(7), 1);
    cluster.deliver(&[0, 1]);
    cluster.grant(0, 2, History::Kept);
    cluster.read_log(0);
    cluster.read_log(2);
    cluster.queue.clear();
    cluster.tick(2, NOW, &view(&[0]));
    match cluster.appends.first() {
        Some(ControlRecord::Grants { grants, .. }) => grants[0].history,
        other => panic!("expected a proposed grant, got {other:?}"),
    }
}

/// Guards against a new backup that reports the history as kept before it has received all claims.
#[test]
fn partially_synced_backup_proposes_lost_history() {
    let history = propose_after_lost_transfer(SafetyChecks::default());

    assert_eq!(history, History::Lost);
}

/// Shows that only the check for a complete transfer keeps a new backup from reporting a history as
/// kept that it lacks.
#[test]
fn partially_synced_backup_keeps_history_without_transfer_first() {
    let safety = SafetyChecks {
        transfer_first: false,
        ..SafetyChecks::default()
    };

    let history = propose_after_lost_transfer(safety);

    assert_eq!(history, History::Kept);
}

/// Guards against a claim in flight that is lost or stalled when the ceiling of its slot is
/// renewed.
#[test]
fn claim_in_flight_is_granted_after_renewal() {
    let mut cluster = granted_pair(SafetyChecks::default());
    cluster.claim(0, key(7), 1);
    cluster.grant(0, 1, History::Kept);
    cluster.read_log(0);

    cluster.deliver(&[0, 1]);

    assert_eq!(cluster.decisions(1), [&Decision::Granted]);
}

/// Guards against a primary that has not read the newest grant and grants claims with the
/// acknowledgement of its former backup.
#[test]
fn replaced_primary_cannot_grant_claims() {
    let mut cluster = granted_pair(SafetyChecks::default());
    cluster.grant(1, 2, History::Kept);
    cluster.read_log(1);
    cluster.read_log(2);
    cluster.queue.clear();
    cluster.claim(0, key(7), 1);

    cluster.deliver(&[0, 1]);

    assert_eq!(cluster.decisions(1), Vec::<&Decision>::new());
    let epoch = cluster.daemons[0].ownership(slot()).map(|held| held.epoch);
    assert_eq!(epoch, Some(Offset(1)));
}

/// Guards against two decisions on one attempt whose claim message is delivered twice.
#[test]
fn repeated_claim_messages_are_idempotent() {
    let mut cluster = granted_pair(SafetyChecks::default());
    cluster.claim(2, key(7), 1);
    let (from, _, message) = cluster.queue.front().cloned().expect("claim is in flight");
    cluster.deliver(&[0, 1, 2]);

    cluster.deliver_one(&from, 0, message);
    cluster.deliver(&[0, 1, 2]);

    assert_eq!(cluster.decisions(1), [&Decision::Granted]);
}

/// Guards against a key that stays claimed because the claim message arrives after its release.
#[test]
fn early_release_leaves_key_claimable() {
    let mut cluster = granted_pair(SafetyChecks::default());
    cluster.claim(2, key(7), 1);
    let (from, _, message) = cluster.queue.pop_front().expect("claim is in flight");
    let late = NOW.plus(Millis::from_secs(2));
    cluster.tick(2, late, &view(&[]));
    cluster.deliver(&[0, 1, 2]);
    cluster.deliver_one(&from, 0, message);
    cluster.deliver(&[0, 1, 2]);

    cluster.claim(1, key(7), 2);
    cluster.deliver(&[0, 1, 2]);

    let refused = Decision::NotRun(Refusal::Timeout);
    assert_eq!(cluster.decisions(1), [&refused]);
    assert_eq!(cluster.decisions(2), [&Decision::Granted]);
}

/// Guards against the loss of claims or stored answers when a draining primary hands its slot over.
#[test]
fn drained_primary_hands_over_claims_and_answers() {
    let mut cluster = granted_pair(SafetyChecks::default());
    cluster.claim(0, key(7), 1);
    cluster.deliver(&[0, 1]);
    let answer = Bytes::from_static(b"paid");
    cluster.settle(0, 1, Settlement::Finished(Some(answer.clone())));
    cluster.deliver(&[0, 1]);
    cluster.daemons[0].drain();
    let mut draining = view(&[]);
    draining.live.shift_remove(&node(0));
    draining.leaving.insert(node(0));

    cluster.tick(0, NOW, &draining);
    let record = cluster.appends.remove(0);
    cluster.append(&record);
    for number in 0..3 {
        cluster.read_log(number);
    }
    cluster.deliver(&[0, 1, 2]);
    cluster.claim(2, key(7), 2);
    cluster.deliver(&[1, 2]);

    assert!(cluster.daemons[0].is_drained());
    assert_eq!(cluster.decisions(2), [&Decision::Answered(answer)]);
}

/// Guards against a granted key above the ceiling of a release that may still take effect.
#[test]
fn claim_during_pending_release_is_refused() {
    let mut cluster = granted_pair(SafetyChecks::default());
    cluster.daemons[0].drain();
    cluster.tick(0, NOW, &view(&[1, 2]));
    // The answer to the append is lost, so the release is proposed again after a random delay.
    for seconds in [60, 120] {
        let later = NOW.plus(Millis::from_secs(seconds));
        cluster.tick(0, later, &view(&[1, 2]));
    }

    cluster.claim(0, key(7), 1);
    cluster.deliver(&[0, 1]);

    let ceilings: Vec<_> = cluster
        .appends
        .iter()
        .map(|record| match record {
            ControlRecord::Release { slots, .. } => slots[0].ceiling,
            other => panic!("expected a release, got {other:?}"),
        })
        .collect();
    assert_eq!(ceilings.len(), 2);
    assert_eq!(ceilings[0], ceilings[1]);
    assert_eq!(cluster.decisions(1), [&Decision::NotRun(Refusal::NoOwner)]);
}

/// Guards against unbounded tables of claims, and against granting a key whose claim was evicted.
#[test]
fn claim_on_evicted_key_returns_may_have_run() {
    let settings = Settings {
        claim_limit: 10,
        ..Settings::default()
    };
    let mut cluster = cluster(SafetyChecks::default(), settings);
    cluster.grant(0, 1, History::Lost);
    cluster.read_log(0);
    cluster.read_log(1);
    let aged = |second: u64| ClaimKey {
        key: RequestKey::mint(
            slot(),
            NOW.plus(Millis::from_secs(second)),
            u128::from(second),
        ),
        step: 0,
    };
    for second in 0..40 {
        cluster.claim(0, aged(second), u128::from(second));
        cluster.deliver(&[0, 1]);
    }

    cluster.claim(0, aged(3), 100);
    cluster.deliver(&[0, 1]);

    assert!(cluster.daemons[0].claim_count() <= 10);
    assert!(cluster.daemons[1].claim_count() <= 10);
    assert_eq!(cluster.decisions(100), [&Decision::MayHaveRun]);
}

/// Guards against one record per daemon when all daemons of a domain start at the same time.
#[test]
fn one_proposer_grants_all_slots_in_one_record() {
    let mut cluster = cluster(SafetyChecks::default(), Settings::default());
    for number in 0..3 {
        cluster.read_log(number);
        cluster.tick(number, NOW, &view(&[]));
    }
    let later = NOW.plus(Millis::from_secs(4));

    for number in 0..3 {
        cluster.tick(number, later, &view(&[]));
    }

    assert_eq!(cluster.appends.len(), 1);
    let record = cluster.appends.remove(0);
    cluster.append(&record);
    assert_eq!(cluster.replayer.state().slots().count(), 64);
    for number in 0..3 {
        let member = |grant: &Grant| grant.has_member(&node(number));
        let slots = cluster.replayer.state().slots();
        let roles = slots
            .filter_map(|(_, held)| held.grant.as_ref())
            .filter(|grant| member(grant));
        assert!((42..=43).contains(&roles.count()));
    }
}
