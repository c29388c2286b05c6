//! Daemons' claims over a simulated network and log, in virtual time.
#![allow(dead_code, reason = "each test file uses a part")]

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
use basilgrade_journal::fold;
use basilgrade_journal::node;
use basilgrade_journal::publication;
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

/// Virtual Unix time at the start of a run.
pub(crate) const START: u64 = 1_000_000_000;
const TICK: u64 = 100;
const DETECTION: u64 = 3_000;
const RETENTION: u64 = 12_000;
const CALL_LIMIT: u64 = 1_500;

/// Small times and bounds, so that renewal, eviction and expiry happen in a run of a minute.
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

enum Due {
    Tick(usize),
    Poll(usize),
    Deliver(node::Node, node::Node, message::Message),
    Append(node::Node, Uuid, Bytes),
    Appended(node::Node, Uuid, publication::Appended),
    Call(plan::Call),
    Upstream(node::Node, u128),
    Finish(node::Node, u128, bool),
    Fault(Fault),
    Start(usize),
}

struct Process {
    claims: claims::Claims,
    fold: fold::Fold<control_state::ControlState>,
    paused_until: u64,
    draining: bool,
    heard: BTreeMap<usize, u64>,
    calls: BTreeMap<u128, (claim_key::ClaimKey, usize, bool)>,
    skew: u64,
}

/// A run of several daemons.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) history: History,
    pub(crate) log: log::Log,
    plan: Plan,
    safety: safety::SafetyChecks,
    rng: StdRng,
    queue: BTreeMap<(u64, u64), Due>,
    count: u64,
    processes: Vec<Option<Process>>,
    partitions: Vec<(u64, u32)>,
    no_log: Vec<(u64, u32)>,
    lost_answers: (u64, u8),
    lossy_until: u64,
    suspicions: Vec<(u64, usize, usize)>,
    keys: BTreeMap<usize, claim_key::ClaimKey>,
    pub(crate) appends: Vec<u64>,
}

/// Runs a plan to its end and for some quiet time after it.
pub(crate) fn run(plan: &Plan, safety: safety::SafetyChecks) -> World {
    let mut world = World::new(plan.clone(), safety);
    world.run_until(START + plan.span + 10_000);
    world
}

/// Runs a plan and fails with its seed and its shortest history.
pub(crate) fn check(plan: Plan) -> World {
    let fails = |plan: &Plan| {
        run(plan, safety::SafetyChecks::default())
            .history
            .violation()
            .is_some()
    };
    let world = run(&plan, safety::SafetyChecks::default());
    if world.history.violation().is_none() {
        return world;
    }
    let seed = plan.seed;
    let small = plan.shrink(fails);
    let world = run(&small, safety::SafetyChecks::default());
    let (key, what) = world.history.violation().expect("the shrunk plan fails");
    panic!(
        "seed {seed}: {what}\nfaults: {:#?}\n{}",
        small.faults,
        world.history.of_key(key)
    );
}

impl World {
    pub(crate) fn new(plan: Plan, safety: safety::SafetyChecks) -> Self {
        let vms = plan.vms;
        let mut world = Self {
            now: START,
            history: History::default(),
            log: log::Log::default(),
            rng: StdRng::seed_from_u64(plan.seed ^ 0x5eed),
            safety,
            queue: BTreeMap::new(),
            count: 0,
            processes: (0..vms).map(|_| None).collect(),
            partitions: Vec::new(),
            no_log: Vec::new(),
            lost_answers: (0, 0),
            lossy_until: 0,
            suspicions: Vec::new(),
            keys: BTreeMap::new(),
            appends: Vec::new(),
            plan,
        };
        for vm in 0..vms {
            world.at(vm as u64 * 7, Due::Start(vm));
        }
        for (at, fault) in world.plan.faults.clone() {
            world.at(at, Due::Fault(fault));
        }
        for call in world.plan.calls.clone() {
            world.at(call.at, Due::Call(call));
        }
        world
    }

    fn at(&mut self, delay: u64, due: Due) {
        self.count += 1;
        self.queue.insert((self.now + delay, self.count), due);
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), due) = entry.remove_entry();
            self.now = now;
            self.handle(due);
        }
        self.now = end;
    }

    pub(crate) fn domain(&self, vm: usize) -> usize {
        vm % self.plan.domains
    }

    fn domain_id(&self, vm: usize) -> basilgrade_types::id::DomainId {
        format!("d{}", self.domain(vm)).parse().expect("a name")
    }

    pub(crate) fn claims(&self, vm: usize) -> Option<&claims::Claims> {
        self.processes[vm].as_ref().map(|process| &process.claims)
    }

    fn vm_of(node: &node::Node) -> usize {
        node.vm.as_str()[2..].parse().expect("a number")
    }

    /// The VM of `node` if that very incarnation runs.
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

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.partitions
            .iter()
            .any(|(until, group)| self.now < *until && (group >> a & 1) != (group >> b & 1))
    }

    fn has_log(&self, vm: usize) -> bool {
        !self
            .no_log
            .iter()
            .any(|(until, group)| self.now < *until && group >> vm & 1 == 1)
    }

    fn clock(&self, vm: usize) -> clock::Millis {
        let skew = self.processes[vm]
            .as_ref()
            .map_or(0, |process| process.skew);
        clock::Millis(self.now + skew)
    }

    /// Puts off what a paused process would do until it continues.
    fn deferred(&mut self, vm: usize, due: Due) -> Option<Due> {
        let until = self.processes[vm]
            .as_ref()
            .map_or(0, |process| process.paused_until);
        if until <= self.now {
            return Some(due);
        }
        let jitter = self.rng.random_range(0..20);
        self.at(until - self.now + jitter, due);
        None
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Start(vm) => self.start(vm),
            Due::Tick(vm) => self.tick(vm),
            Due::Poll(vm) => self.poll(vm),
            Due::Deliver(to, from, message) => {
                let Some(vm) = self.running(&to) else { return };
                if self.is_cut(vm, Self::vm_of(&from)) {
                    return;
                }
                let Some(Due::Deliver(_, from, message)) =
                    self.deferred(vm, Due::Deliver(to, from, message))
                else {
                    return;
                };
                let now = self.clock(vm);
                self.process(vm).claims.receive(now, &from, message);
                self.carry_out(vm);
            }
            Due::Append(node, id, body) => self.append(&node, id, body),
            Due::Appended(node, id, appended) => {
                let Some(vm) = self.running(&node) else {
                    return;
                };
                if self
                    .deferred(vm, Due::Appended(node, id, appended))
                    .is_some()
                {
                    self.process(vm).claims.appended(id, appended);
                }
            }
            Due::Call(call) => self.call(call),
            Due::Upstream(node, attempt) => self.upstream(node, attempt),
            Due::Finish(node, attempt, complete) => self.finish(node, attempt, complete),
            Due::Fault(fault) => self.inject(fault),
        }
    }

    fn process(&mut self, vm: usize) -> &mut Process {
        self.processes[vm].as_mut().expect("running")
    }

    fn start(&mut self, vm: usize) {
        if self.processes[vm].is_some() {
            return;
        }
        let node = node::Node {
            vm: format!("vm{vm}").parse().expect("a name"),
            incarnation: incarnation::Incarnation(self.now),
        };
        let skew = self.rng.random_range(0..4_000);
        let context = Arc::new(());
        let settings = settings(&self.plan);
        self.processes[vm] = Some(Process {
            claims: claims::Claims::with_safety_checks(
                node,
                self.domain_id(vm),
                settings,
                self.safety,
            ),
            fold: fold::Fold::new(context),
            paused_until: 0,
            draining: false,
            heard: BTreeMap::new(),
            calls: BTreeMap::new(),
            skew,
        });
        self.at(1, Due::Poll(vm));
        self.at(2, Due::Tick(vm));
    }

    fn view(&mut self, vm: usize) -> cluster_view::ClusterView {
        let now = self.now;
        let mut view = cluster_view::ClusterView::default();
        for other in 0..self.plan.vms {
            let reachable = self.processes[other].is_some()
                && !self.is_paused(other)
                && !self.is_cut(vm, other);
            if reachable || other == vm {
                self.process(vm).heard.insert(other, now);
            }
            let heard = self.process(vm).heard.get(&other).copied();
            let alive = heard.is_some_and(|heard| now - heard < DETECTION);
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
        // Members of grants that are not the running incarnation of their VM are dead.
        let process = self.processes[vm].as_ref().expect("running");
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
                let heard = process.heard.get(&other);
                let stale = heard.is_none_or(|heard| now - heard >= DETECTION);
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
        if self.deferred(vm, Due::Tick(vm)).is_none() {
            return;
        }
        let view = self.view(vm);
        let now = self.clock(vm);
        let mut rng = StdRng::seed_from_u64(self.rng.random());
        self.process(vm).claims.tick(now, &view, &mut rng);
        self.carry_out(vm);
        let process = self.process(vm);
        if process.draining && process.claims.is_drained() && process.calls.is_empty() {
            self.processes[vm] = None;
            self.at(500, Due::Start(vm));
            return;
        }
        self.at(TICK, Due::Tick(vm));
    }

    fn poll(&mut self, vm: usize) {
        if self.processes[vm].is_none() || self.deferred(vm, Due::Poll(vm)).is_none() {
            return;
        }
        self.log.expire(self.now, RETENTION);
        if self.has_log(vm) {
            self.read_log(vm);
        } else {
            // Records and states are pulled from a peer that can be reached.
            let peer = self.rng.random_range(0..self.plan.vms);
            let export = self.processes[peer]
                .as_ref()
                .filter(|_| !self.is_cut(vm, peer) && !self.is_paused(peer))
                .and_then(|peer| peer.fold.export());
            let now = self.clock(vm);
            if let Some(export) = export {
                self.process(vm).fold.import(now, export);
            }
        }
        let now = self.clock(vm);
        let process = self.process(vm);
        if process.fold.is_current() {
            let next = process.fold.next();
            process.claims.observe(now, process.fold.state(), next);
        }
        self.carry_out(vm);
        let delay = self.rng.random_range(150..600);
        self.at(delay, Due::Poll(vm));
    }

    fn read_log(&mut self, vm: usize) {
        let now = self.clock(vm);
        for _ in 0..4 {
            let wanted = self.process(vm).fold.wanted();
            let chunk = self.log.read(wanted, 16);
            self.process(vm).fold.feed(now, &chunk);
        }
        let process = self.process(vm);
        let retention = clock::Millis(RETENTION);
        let jitter = clock::Millis(RETENTION / 12 * vm as u64 / 8);
        let next = process.fold.next();
        let due = process.fold.schedule().is_due(now, retention, jitter, next);
        if due && let Some(record) = process.fold.snapshot(now) {
            self.log.append(self.now, encode::line(&record));
        }
        if !self.process(vm).fold.is_current() {
            let peer = self.rng.random_range(0..self.plan.vms);
            let export = self.processes[peer]
                .as_ref()
                .and_then(|peer| peer.fold.export());
            if let Some(export) = export {
                self.process(vm).fold.import(now, export);
            }
        }
    }

    fn append(&mut self, node: &node::Node, id: Uuid, body: Bytes) {
        if !self.has_log(Self::vm_of(node)) {
            let appended = publication::Appended::Refused;
            self.at(20, Due::Appended(node.clone(), id, appended));
            return;
        }
        let offset = self.log.append(self.now, body);
        self.appends.push(self.now);
        let (until, percent) = self.lost_answers;
        let lost = self.now < until && self.rng.random_range(0..100) < percent;
        let appended = if lost {
            publication::Appended::Unknown
        } else {
            publication::Appended::At(offset)
        };
        let delay = self.rng.random_range(2..100);
        self.at(delay, Due::Appended(node.clone(), id, appended));
    }

    fn carry_out(&mut self, vm: usize) {
        let outputs: Vec<_> = self.process(vm).claims.outputs().collect();
        let me = self.process(vm).claims.node().clone();
        for output in outputs {
            match output {
                output::Output::Send { to, message } => self.transmit(&me, &to, &message),
                output::Output::Append { id, body } => {
                    // Now and then an append arrives long after it was sent.
                    let delay = if self.rng.random_bool(0.05) {
                        self.rng.random_range(500..5_000)
                    } else {
                        self.rng.random_range(2..40)
                    };
                    self.at(delay, Due::Append(me.clone(), id, body));
                }
                output::Output::Decide { attempt, decision } => {
                    let attempt = u128::from_str_radix(&attempt.to_string(), 16).expect("hex");
                    self.decided(vm, &me, attempt, &decision);
                }
            }
        }
    }

    fn transmit(&mut self, from: &node::Node, to: &node::Node, message: &message::Message) {
        let bytes = postcard::to_allocvec(message).expect("messages encode");
        let lossy = self.now < self.lossy_until;
        let copies = match self.rng.random_range(0..100) {
            0..5 => 0,
            5..35 if lossy => 0,
            35..45 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let message = postcard::from_bytes(&bytes).expect("messages decode");
            let late = self.rng.random_bool(if lossy { 0.3 } else { 0.03 });
            let delay = if late {
                self.rng.random_range(100..6_000)
            } else {
                self.rng.random_range(1..20)
            };
            self.at(delay, Due::Deliver(to.clone(), from.clone(), message));
        }
    }

    fn key(&mut self, number: usize) -> claim_key::ClaimKey {
        if let Some(key) = self.keys.get(&number) {
            return *key;
        }
        // Callers' clocks disagree with the daemons' and with each other.
        let spread = self.plan.key_spread;
        let created = self.now + self.rng.random_range(0..=spread) - spread / 3;
        let slot = slot::Slot::new(self.rng.random_range(0..6)).expect("a slot");
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
        let Some(Due::Call(call)) = self.deferred(call.vm, Due::Call(call)) else {
            return;
        };
        let (vm, body) = (call.vm, call.other_body);
        self.history
            .add(self.now, call.key, attempt, Event::Called { vm, body });
        let now = self.clock(vm);
        let target = fingerprint::Fingerprint::of("customer", "pay", &[u8::from(body)]);
        let deadline = now.plus(clock::Millis(CALL_LIMIT));
        let process = self.process(vm);
        process.calls.insert(attempt, (claim, call.key, body));
        let id = attempt_id::AttemptId::new(attempt);
        process.claims.claim(now, claim, target, id, deadline);
        self.carry_out(vm);
    }

    fn decided(&mut self, vm: usize, me: &node::Node, attempt: u128, decision: &Decision) {
        let key = self.process(vm).calls[&attempt].1;
        let event = Event::Decided {
            decision: decision.clone(),
        };
        self.history.add(self.now, key, attempt, event);
        let Some(verdict) = decision.verdict() else {
            // The daemon may be slow between the grant and the sending of the call.
            let delay = if self.rng.random_bool(0.2) {
                self.rng.random_range(100..12_000)
            } else {
                self.rng.random_range(0..20)
            };
            self.at(delay, Due::Upstream(me.clone(), attempt));
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

    fn upstream(&mut self, node: node::Node, attempt: u128) {
        let Some(vm) = self.running(&node) else {
            return;
        };
        if self
            .deferred(vm, Due::Upstream(node.clone(), attempt))
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
            self.carry_out(vm);
            self.answer(vm, attempt, "not-run");
            return;
        }
        let complete = outcome < 85;
        if complete || outcome < 93 {
            self.history
                .add(self.now, key, attempt, Event::Executed { body });
        }
        let delay = self.rng.random_range(1..400);
        self.at(delay, Due::Finish(node, attempt, complete));
    }

    fn finish(&mut self, node: node::Node, attempt: u128, complete: bool) {
        let Some(vm) = self.running(&node) else {
            return;
        };
        if self
            .deferred(vm, Due::Finish(node, attempt, complete))
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
            self.carry_out(vm);
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
                self.at(down, Due::Start(vm));
            }
            Fault::Pause { vm, span } => {
                if let Some(process) = self.processes[vm].as_mut() {
                    process.paused_until = process.paused_until.max(now + span);
                }
            }
            Fault::Partition { group, span } => self.partitions.push((now + span, group)),
            Fault::NoLog { group, span } => self.no_log.push((now + span, group)),
            Fault::LostAnswers { percent, span } => self.lost_answers = (now + span, percent),
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

    /// The effective ownerships as a reader of the log from a running daemon's fold sees them.
    pub(crate) fn ownerships(&self, vm: usize) -> Option<&control_state::ControlState> {
        self.processes[vm]
            .as_ref()
            .map(|process| process.fold.state())
    }

    pub(crate) fn next_offset(&self, vm: usize) -> Option<offset::Offset> {
        self.processes[vm]
            .as_ref()
            .map(|process| process.fold.next())
    }
}
