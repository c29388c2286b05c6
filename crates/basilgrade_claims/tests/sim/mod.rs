//! Simulation of the claims state machines of several daemons over a network and a log, in virtual
//! time.
#![allow(dead_code, reason = "each test file uses only a part")]

pub(crate) mod history;
pub(crate) mod log;
pub(crate) mod plan;

use std::collections::BTreeMap;
use std::sync::Arc;

use basilgrade_claims::attempt_id;
use basilgrade_claims::claim_key;
use basilgrade_claims::claims;
use basilgrade_claims::cluster_view;
use basilgrade_claims::decision::Decision;
use basilgrade_claims::fingerprint;
use basilgrade_claims::message;
use basilgrade_claims::output;
use basilgrade_claims::safety;
use basilgrade_claims::settings;
use basilgrade_claims::settlement;
use basilgrade_journal::control_state;
use basilgrade_journal::encode;
use basilgrade_journal::node;
use basilgrade_journal::publication;
use basilgrade_journal::replayer;
use basilgrade_types::clock;
use basilgrade_types::incarnation;
use basilgrade_types::key;
use basilgrade_types::offset;
use basilgrade_types::slot;
use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

use history::Event;
use history::History;
use plan::Fault;
use plan::Plan;

/// Virtual Unix time at the start of a simulation, in milliseconds.
pub(crate) const START_MS: u64 = 1_000_000_000;
const TICK_MS: u64 = 100;
const DETECTION_MS: u64 = 3_000;
const RETENTION_MS: u64 = 12_000;
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Returns short durations and low limits, so that renewal, eviction and expiry happen within a
/// simulated minute.
fn settings(plan: &Plan) -> settings::Settings {
    settings::Settings {
        autonomy: clock::Millis::from_secs(12),
        horizon: clock::Millis::from_secs(25),
        claim_limit: plan.claim_limit,
        append_timeout: clock::Millis::from_secs(1),
        settle_timeout: clock::Millis::from_secs(5),
        fallback_delay: clock::Millis::from_secs(2),
        start_delay: clock::Millis(400),
        ..settings::Settings::default()
    }
}

/// An action that is scheduled at an instant of virtual time.
enum Scheduled {
    Tick(usize),
    Poll(usize),
    Deliver(node::Node, node::Node, message::Message),
    Append(node::Node, Uuid, Bytes),
    Appended(node::Node, Uuid, publication::AppendResult),
    Call(plan::Call),
    Upstream(node::Node, u128),
    Finish(node::Node, u128, bool),
    Fault(Fault),
    Start(usize),
}

struct Process {
    claims: claims::Claims,
    replayer: replayer::Replayer<control_state::ControlState>,
    paused_until: u64,
    draining: bool,
    /// When the process last reached each VM.
    last_heard: BTreeMap<usize, u64>,
    /// The open calls by attempt: the claimed key, its number, and whether the other body was sent.
    calls: BTreeMap<u128, (claim_key::ClaimKey, usize, bool)>,
    /// How far the clock of the process is ahead of virtual time, in milliseconds.
    clock_skew: u64,
}

/// The state of a simulation of several daemons.
pub(crate) struct Simulation {
    pub(crate) now: u64,
    pub(crate) history: History,
    pub(crate) log: log::Log,
    plan: Plan,
    safety: safety::SafetyChecks,
    rng: StdRng,
    /// Scheduled actions by time and sequence number.
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    processes: Vec<Option<Process>>,
    /// The end of each partition, and the VMs on one side of it as a bit set.
    partitions: Vec<(u64, u32)>,
    /// The end of each log outage, and the affected VMs as a bit set.
    log_outages: Vec<(u64, u32)>,
    /// Until when answers of the log are lost, and the percentage of lost answers.
    answer_loss: (u64, u8),
    lossy_until: u64,
    /// The end of each false suspicion, the suspecting VM and the suspected VM.
    suspicions: Vec<(u64, usize, usize)>,
    keys: BTreeMap<usize, claim_key::ClaimKey>,
    /// The times at which records were appended to the log.
    pub(crate) appends: Vec<u64>,
}

/// Simulates a plan to its end, and 10 s more without new faults and calls.
pub(crate) fn run(plan: &Plan, safety: safety::SafetyChecks) -> Simulation {
    let mut simulation = Simulation::new(plan.clone(), safety);
    simulation.run_until(START_MS + plan.span + 10_000);
    simulation
}

/// Simulates a plan; on a violation, panics with the seed and the history of a reduced plan.
pub(crate) fn check(plan: Plan) -> Simulation {
    let fails = |plan: &Plan| {
        run(plan, safety::SafetyChecks::default())
            .history
            .violation()
            .is_some()
    };
    let simulation = run(&plan, safety::SafetyChecks::default());
    if simulation.history.violation().is_none() {
        return simulation;
    }
    let seed = plan.seed;
    let reduced = plan.shrink(fails);
    let simulation = run(&reduced, safety::SafetyChecks::default());
    let (key, violation) = simulation
        .history
        .violation()
        .expect("reduced plan violates a predicate");
    panic!(
        "seed {seed}: {violation}\nfaults: {:#?}\n{}",
        reduced.faults,
        simulation.history.for_key(key)
    );
}

impl Simulation {
    pub(crate) fn new(plan: Plan, safety: safety::SafetyChecks) -> Self {
        let vms = plan.vms;
        let mut simulation = Self {
            now: START_MS,
            history: History::default(),
            log: log::Log::default(),
            rng: StdRng::seed_from_u64(plan.seed ^ 0x5eed),
            safety,
            queue: BTreeMap::new(),
            sequence: 0,
            processes: (0..vms).map(|_| None).collect(),
            partitions: Vec::new(),
            log_outages: Vec::new(),
            answer_loss: (0, 0),
            lossy_until: 0,
            suspicions: Vec::new(),
            keys: BTreeMap::new(),
            appends: Vec::new(),
            plan,
        };
        for vm in 0..vms {
            simulation.schedule(vm as u64 * 7, Scheduled::Start(vm));
        }
        for (at, fault) in simulation.plan.faults.clone() {
            simulation.schedule(at, Scheduled::Fault(fault));
        }
        for call in simulation.plan.calls.clone() {
            simulation.schedule(call.at, Scheduled::Call(call));
        }
        simulation
    }

    fn schedule(&mut self, delay: u64, item: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), item);
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), item) = entry.remove_entry();
            self.now = now;
            self.handle(item);
        }
        self.now = end;
    }

    pub(crate) fn domain(&self, vm: usize) -> usize {
        vm % self.plan.domains
    }

    fn domain_id(&self, vm: usize) -> basilgrade_types::id::DomainId {
        format!("d{}", self.domain(vm))
            .parse()
            .expect("valid domain name")
    }

    pub(crate) fn claims(&self, vm: usize) -> Option<&claims::Claims> {
        self.processes[vm].as_ref().map(|process| &process.claims)
    }

    fn vm_of(node: &node::Node) -> usize {
        node.vm.as_str()[2..]
            .parse()
            .expect("VM name ends with its number")
    }

    /// The number of the VM of `node`; `None` unless that incarnation is running.
    fn running(&self, node: &node::Node) -> Option<usize> {
        let vm = Self::vm_of(node);
        let process = self.processes[vm].as_ref()?;
        (process.claims.node() == node).then_some(vm)
    }

    fn is_paused(&self, vm: usize) -> bool {
        self.processes[vm]
            .as_ref()
            .is_some_and(|process| process.paused_until > self.now)
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitions
            .iter()
            .any(|(until, group)| self.now < *until && (group >> from & 1) != (group >> to & 1))
    }

    fn has_log(&self, vm: usize) -> bool {
        !self
            .log_outages
            .iter()
            .any(|(until, group)| self.now < *until && group >> vm & 1 == 1)
    }

    fn clock(&self, vm: usize) -> clock::Millis {
        let clock_skew = self.processes[vm]
            .as_ref()
            .map_or(0, |process| process.clock_skew);
        clock::Millis(self.now + clock_skew)
    }

    /// Returns `item` if the process is not paused; otherwise reschedules `item` for when the
    /// process resumes.
    fn defer_if_paused(&mut self, vm: usize, item: Scheduled) -> Option<Scheduled> {
        let until = self.processes[vm]
            .as_ref()
            .map_or(0, |process| process.paused_until);
        if until <= self.now {
            return Some(item);
        }
        let jitter = self.rng.random_range(0..20);
        self.schedule(until - self.now + jitter, item);
        None
    }

    fn handle(&mut self, item: Scheduled) {
        match item {
            Scheduled::Start(vm) => self.start(vm),
            Scheduled::Tick(vm) => self.tick(vm),
            Scheduled::Poll(vm) => self.poll(vm),
            Scheduled::Deliver(to, from, message) => {
                let Some(vm) = self.running(&to) else { return };
                if self.is_partitioned(vm, Self::vm_of(&from)) {
                    return;
                }
                let Some(Scheduled::Deliver(_, from, message)) =
                    self.defer_if_paused(vm, Scheduled::Deliver(to, from, message))
                else {
                    return;
                };
                let now = self.clock(vm);
                self.process(vm).claims.receive(now, &from, message);
                self.apply_outputs(vm);
            }
            Scheduled::Append(node, id, body) => self.append(&node, id, body),
            Scheduled::Appended(node, id, appended) => {
                let Some(vm) = self.running(&node) else {
                    return;
                };
                if self
                    .defer_if_paused(vm, Scheduled::Appended(node, id, appended))
                    .is_some()
                {
                    self.process(vm).claims.appended(id, appended);
                }
            }
            Scheduled::Call(call) => self.call(call),
            Scheduled::Upstream(node, attempt) => self.call_upstream(node, attempt),
            Scheduled::Finish(node, attempt, complete) => self.finish(node, attempt, complete),
            Scheduled::Fault(fault) => self.inject(fault),
        }
    }

    fn process(&mut self, vm: usize) -> &mut Process {
        self.processes[vm].as_mut().expect("process is running")
    }

    fn start(&mut self, vm: usize) {
        if self.processes[vm].is_some() {
            return;
        }
        let node = node::Node {
            vm: format!("vm{vm}").parse().expect("valid VM name"),
            incarnation: incarnation::Incarnation(self.now),
        };
        let clock_skew = self.rng.random_range(0..4_000);
        let context = Arc::new(());
        let settings = settings(&self.plan);
        self.processes[vm] = Some(Process {
            claims: claims::Claims::with_safety_checks(
                node,
                self.domain_id(vm),
                settings,
                self.safety,
            ),
            replayer: replayer::Replayer::new(context),
            paused_until: 0,
            draining: false,
            last_heard: BTreeMap::new(),
            calls: BTreeMap::new(),
            clock_skew,
        });
        self.schedule(1, Scheduled::Poll(vm));
        self.schedule(2, Scheduled::Tick(vm));
    }

    fn view(&mut self, vm: usize) -> cluster_view::ClusterView {
        let now = self.now;
        let mut view = cluster_view::ClusterView::default();
        for other in 0..self.plan.vms {
            let reachable = self.processes[other].is_some()
                && !self.is_paused(other)
                && !self.is_partitioned(vm, other);
            if reachable || other == vm {
                self.process(vm).last_heard.insert(other, now);
            }
            let last_heard = self.process(vm).last_heard.get(&other).copied();
            let alive = last_heard.is_some_and(|last_heard| now - last_heard < DETECTION_MS);
            let Some(process) = self.processes[other].as_ref() else {
                continue;
            };
            let node = process.claims.node().clone();
            let suspected = self
                .suspicions
                .iter()
                .any(|(until, by, of)| now < *until && *by == vm && *of == other);
            if !alive || suspected {
                view.dead.insert(node);
                continue;
            }
            *view.domains.entry(self.domain_id(other)).or_insert(0) += 1;
            if self.domain(other) == self.domain(vm) {
                if process.draining {
                    view.leaving.insert(node);
                } else {
                    view.live.insert(node);
                }
            }
        }
        // Members of grants are dead if they are not the running incarnation of their VM.
        let process = self.processes[vm].as_ref().expect("process is running");
        for slot in slot::Slot::all() {
            let Some(grant) = process
                .claims
                .ownership(slot)
                .and_then(|held| held.grant.as_ref())
            else {
                continue;
            };
            for node in [Some(&grant.primary), grant.backup.as_ref()]
                .into_iter()
                .flatten()
            {
                let other = Self::vm_of(node);
                let last_heard = process.last_heard.get(&other);
                let stale = last_heard.is_none_or(|last_heard| now - last_heard >= DETECTION_MS);
                if self.running(node).is_none()
                    && (stale || self.processes[other].is_some())
                    && !view.dead.contains(node)
                {
                    view.dead.insert(node.clone());
                }
            }
        }
        view
    }

    fn tick(&mut self, vm: usize) {
        if self.processes[vm].is_none() {
            return;
        }
        if self.defer_if_paused(vm, Scheduled::Tick(vm)).is_none() {
            return;
        }
        let view = self.view(vm);
        let now = self.clock(vm);
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        self.process(vm).claims.tick(now, &view, &mut rng);
        self.apply_outputs(vm);
        let process = self.process(vm);
        if process.draining && process.claims.is_drained() && process.calls.is_empty() {
            self.processes[vm] = None;
            self.schedule(500, Scheduled::Start(vm));
            return;
        }
        self.schedule(TICK_MS, Scheduled::Tick(vm));
    }

    fn poll(&mut self, vm: usize) {
        if self.processes[vm].is_none() || self.defer_if_paused(vm, Scheduled::Poll(vm)).is_none() {
            return;
        }
        self.log.expire(self.now, RETENTION_MS);
        if self.has_log(vm) {
            self.read_log(vm);
        } else {
            // Without the log, the state is imported from a random peer if that peer is reachable.
            let peer = self.rng.random_range(0..self.plan.vms);
            let export = self.processes[peer]
                .as_ref()
                .filter(|_| !self.is_partitioned(vm, peer) && !self.is_paused(peer))
                .and_then(|peer| peer.replayer.export());
            let now = self.clock(vm);
            if let Some(export) = export {
                self.process(vm).replayer.import(now, export);
            }
        }
        let now = self.clock(vm);
        let process = self.process(vm);
        if process.replayer.is_current() {
            let next = process.replayer.next();
            process.claims.observe(now, process.replayer.state(), next);
        }
        self.apply_outputs(vm);
        let delay = self.rng.random_range(150..600);
        self.schedule(delay, Scheduled::Poll(vm));
    }

    fn read_log(&mut self, vm: usize) {
        let now = self.clock(vm);
        for _ in 0..4 {
            let wanted = self.process(vm).replayer.read_offset();
            let chunk = self.log.read(wanted, 16);
            self.process(vm).replayer.replay_chunk(now, &chunk);
        }
        let process = self.process(vm);
        let retention = clock::Millis(RETENTION_MS);
        let jitter = clock::Millis(RETENTION_MS / 12 * vm as u64 / 8);
        let next = process.replayer.next();
        let due = process
            .replayer
            .schedule()
            .is_due(now, retention, jitter, next);
        if due && let Some(record) = process.replayer.snapshot(now) {
            self.log.append(self.now, encode::json_line(&record));
        }
        if !self.process(vm).replayer.is_current() {
            let peer = self.rng.random_range(0..self.plan.vms);
            let export = self.processes[peer]
                .as_ref()
                .and_then(|peer| peer.replayer.export());
            if let Some(export) = export {
                self.process(vm).replayer.import(now, export);
            }
        }
    }

    fn append(&mut self, node: &node::Node, id: Uuid, body: Bytes) {
        if !self.has_log(Self::vm_of(node)) {
            let appended = publication::AppendResult::Refused;
            self.schedule(20, Scheduled::Appended(node.clone(), id, appended));
            return;
        }
        let offset = self.log.append(self.now, body);
        self.appends.push(self.now);
        let (until, percent) = self.answer_loss;
        let lost = self.now < until && self.rng.random_range(0..100) < percent;
        let appended = if lost {
            publication::AppendResult::Unknown
        } else {
            publication::AppendResult::Stored(offset)
        };
        let delay = self.rng.random_range(2..100);
        self.schedule(delay, Scheduled::Appended(node.clone(), id, appended));
    }

    fn apply_outputs(&mut self, vm: usize) {
        let outputs: Vec<_> = self.process(vm).claims.outputs().collect();
        let me = self.process(vm).claims.node().clone();
        for output in outputs {
            match output {
                output::Output::Send { to, message } => self.transmit(&me, &to, &message),
                output::Output::Append { id, body } => {
                    // One in 20 appends reaches the log long after it was sent.
                    let delay = if self.rng.random_bool(0.05) {
                        self.rng.random_range(500..5_000)
                    } else {
                        self.rng.random_range(2..40)
                    };
                    self.schedule(delay, Scheduled::Append(me.clone(), id, body));
                }
                output::Output::Decide { attempt, decision } => {
                    let attempt = u128::from_str_radix(&attempt.to_string(), 16)
                        .expect("attempt id is hexadecimal");
                    self.decided(vm, &me, attempt, &decision);
                }
            }
        }
    }

    fn transmit(&mut self, from: &node::Node, to: &node::Node, message: &message::Message) {
        let bytes = postcard::to_allocvec(message).expect("message is encoded");
        let lossy = self.now < self.lossy_until;
        let copies = match self.rng.random_range(0..100) {
            0..5 => 0,
            5..35 if lossy => 0,
            35..45 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let message = postcard::from_bytes(&bytes).expect("message is decoded");
            let late = self.rng.random_bool(if lossy { 0.3 } else { 0.03 });
            let delay = if late {
                self.rng.random_range(100..6_000)
            } else {
                self.rng.random_range(1..20)
            };
            self.schedule(delay, Scheduled::Deliver(to.clone(), from.clone(), message));
        }
    }

    /// Returns the claim key with the given number; mints it on first use.
    fn key(&mut self, number: usize) -> claim_key::ClaimKey {
        if let Some(key) = self.keys.get(&number) {
            return *key;
        }
        // The clocks of callers differ from those of the daemons and from each other.
        let spread = self.plan.key_spread;
        let created = self.now + self.rng.random_range(0..=spread) - spread / 3;
        let slot = slot::Slot::new(self.rng.random_range(0..6)).expect("valid slot number");
        let key = claim_key::ClaimKey {
            key: key::RequestKey::mint(slot, clock::Millis(created), self.rng.random()),
            step: 0,
        };
        self.keys.insert(number, key);
        key
    }

    fn call(&mut self, call: plan::Call) {
        let claim = self.key(call.key);
        let attempt: u128 = self.rng.random();
        if self.processes[call.vm].is_none() {
            return;
        }
        let Some(Scheduled::Call(call)) = self.defer_if_paused(call.vm, Scheduled::Call(call))
        else {
            return;
        };
        let (vm, body) = (call.vm, call.other_body);
        self.history
            .add(self.now, call.key, attempt, Event::Called { vm, body });
        let now = self.clock(vm);
        let fingerprint = fingerprint::Fingerprint::of("customer", "pay", &[u8::from(body)]);
        let deadline = now.plus(clock::Millis(CALL_TIMEOUT_MS));
        let process = self.process(vm);
        process.calls.insert(attempt, (claim, call.key, body));
        let id = attempt_id::AttemptId::new(attempt);
        process.claims.claim(now, claim, fingerprint, id, deadline);
        self.apply_outputs(vm);
    }

    fn decided(&mut self, vm: usize, me: &node::Node, attempt: u128, decision: &Decision) {
        let key = self.process(vm).calls[&attempt].1;
        let event = Event::Decided {
            decision: decision.clone(),
        };
        self.history.add(self.now, key, attempt, event);
        let Some(verdict) = decision.verdict() else {
            // The daemon may be slow to send the call after the grant.
            let delay = if self.rng.random_bool(0.2) {
                self.rng.random_range(100..12_000)
            } else {
                self.rng.random_range(0..20)
            };
            self.schedule(delay, Scheduled::Upstream(me.clone(), attempt));
            return;
        };
        let verdict = verdict.as_str();
        self.answer(vm, attempt, verdict);
    }

    fn answer(&mut self, vm: usize, attempt: u128, verdict: &'static str) {
        if let Some((_, key, _)) = self.process(vm).calls.remove(&attempt) {
            let event = Event::Answered { verdict };
            self.history.add(self.now, key, attempt, event);
        }
    }

    fn call_upstream(&mut self, node: node::Node, attempt: u128) {
        let Some(vm) = self.running(&node) else {
            return;
        };
        if self
            .defer_if_paused(vm, Scheduled::Upstream(node.clone(), attempt))
            .is_none()
        {
            return;
        }
        let (_, key, body) = self.process(vm).calls[&attempt];
        let outcome = self.rng.random_range(0..100);
        if outcome < 15 {
            self.history.add(self.now, key, attempt, Event::NotExecuted);
            let now = self.clock(vm);
            let id = attempt_id::AttemptId::new(attempt);
            let released = settlement::Settlement::Released;
            self.process(vm).claims.settle(now, id, released);
            self.apply_outputs(vm);
            self.answer(vm, attempt, "not-run");
            return;
        }
        let complete = outcome < 85;
        if complete || outcome < 93 {
            self.history
                .add(self.now, key, attempt, Event::Executed { body });
        }
        let delay = self.rng.random_range(1..400);
        self.schedule(delay, Scheduled::Finish(node, attempt, complete));
    }

    fn finish(&mut self, node: node::Node, attempt: u128, complete: bool) {
        let Some(vm) = self.running(&node) else {
            return;
        };
        if self
            .defer_if_paused(vm, Scheduled::Finish(node, attempt, complete))
            .is_none()
        {
            return;
        }
        let id = attempt_id::AttemptId::new(attempt);
        let now = self.clock(vm);
        if complete {
            let answer = Bytes::copy_from_slice(&attempt.to_le_bytes());
            let finished = settlement::Settlement::Finished(Some(answer));
            self.process(vm).claims.settle(now, id, finished);
            self.apply_outputs(vm);
            self.answer(vm, attempt, "ran");
        } else {
            self.process(vm).claims.forget(id);
            self.answer(vm, attempt, "may-have-run");
        }
    }

    fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill { vm, down } => {
                self.processes[vm] = None;
                self.schedule(down, Scheduled::Start(vm));
            }
            Fault::Pause { vm, span } => {
                if let Some(process) = self.processes[vm].as_mut() {
                    process.paused_until = process.paused_until.max(now + span);
                }
            }
            Fault::Partition { group, span } => self.partitions.push((now + span, group)),
            Fault::NoLog { group, span } => self.log_outages.push((now + span, group)),
            Fault::LostAnswers { percent, span } => self.answer_loss = (now + span, percent),
            Fault::Lossy { span } => self.lossy_until = now + span,
            Fault::FalseSuspicion { vm, of, span } => {
                self.suspicions.push((now + span, vm, of));
            }
            Fault::Drain { vm } => {
                if let Some(process) = self.processes[vm].as_mut() {
                    process.draining = true;
                    process.claims.drain();
                }
            }
        }
    }

    /// The ownerships of slots that a running daemon has read from the log.
    pub(crate) fn ownerships(&self, vm: usize) -> Option<&control_state::ControlState> {
        self.processes[vm]
            .as_ref()
            .map(|process| process.replayer.state())
    }

    pub(crate) fn next_offset(&self, vm: usize) -> Option<offset::Offset> {
        self.processes[vm]
            .as_ref()
            .map(|process| process.replayer.next())
    }
}
