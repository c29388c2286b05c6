//! Nodes, links and the log in virtual time.

use std::cmp;
use std::collections;
use std::net;

use basilgrade_membership::codec;
use basilgrade_membership::log_backoff;
use basilgrade_membership::node;
use basilgrade_membership::outgoing;
use basilgrade_membership::progress;
use basilgrade_membership::pull;
use basilgrade_membership::record;
use basilgrade_membership::settings;
use basilgrade_membership::vm_hint;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::revision;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use super::latency;
use super::sample;
use super::shape;
use super::workload;

/// Encoded size of a pull request.
const PULL_REQUEST: u64 = 40;
/// Encoded size of the delta of one configuration change: one customer's section.
const DELTA: u64 = 400;
const START: u64 = 1_000_000;

enum Event {
    Tick(usize),
    Report(usize),
    Poll(usize),
    Polled(usize),
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Pulled {
        to: usize,
        from: usize,
    },
}

/// What the log service saw.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) head: u64,
    pub(crate) down: bool,
    /// Reads by the second in which they arrived.
    pub(crate) reads: IndexMap<u64, u64>,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) shape: shape::Shape,
    pub(crate) nodes: Vec<node::Node>,
    pub(crate) killed: Vec<bool>,
    pub(crate) traffic: Vec<sample::Traffic>,
    pub(crate) log: Log,
    /// When each daemon put the newest revision in force.
    pub(crate) in_force: Vec<u64>,
    failures: Vec<u32>,
    polling: Vec<bool>,
    places: IndexMap<id::VmId, usize>,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64, usize)>>,
    events: IndexMap<usize, Event>,
    sequence: u64,
    rng: rngs::StdRng,
}

impl World {
    pub(crate) fn new(shape: shape::Shape, seed: u64) -> Self {
        let mut world = Self {
            now: START,
            shape,
            nodes: Vec::new(),
            killed: vec![false; shape.daemons()],
            traffic: vec![sample::Traffic::default(); shape.daemons()],
            log: Log {
                head: 1,
                ..Log::default()
            },
            in_force: vec![0; shape.daemons()],
            failures: vec![0; shape.daemons()],
            polling: vec![false; shape.daemons()],
            places: IndexMap::new(),
            queue: collections::BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
        };
        let records: Vec<_> = (0..shape.daemons())
            .map(|place| world.record(place))
            .collect();
        let hints: Vec<vm_hint::VmHint> = records
            .iter()
            .map(|record| vm_hint::VmHint {
                vm: record.vm.clone(),
                domain: record.domain.clone(),
                address: record.address,
            })
            .collect();
        for (place, record) in records.into_iter().enumerate() {
            world.places.insert(record.vm.clone(), place);
            let now = clock::Millis(world.now);
            let settings = settings::Settings::new(record.clone());
            let mut node = node::Node::new(now, settings, &mut world.rng);
            node.observe_vm_list(hints.iter().cloned());
            world.nodes.push(node);
            let at = world.now + world.rng.random_range(0..100);
            world.schedule(at, Event::Tick(place));
            let at = world.now + world.rng.random_range(0..1000);
            world.schedule(at, Event::Report(place));
        }
        world
    }

    fn record(&self, place: usize) -> record::Record {
        let domain = place / self.shape.size;
        record::Record {
            vm: format!("vm-{domain:02}-{:03}", place % self.shape.size)
                .parse()
                .expect("generated names are valid"),
            incarnation: incarnation::Incarnation(1_796_000_000_000 + place as u64),
            domain: format!("domain-{domain:02}")
                .parse()
                .expect("generated names are valid"),
            address: net::SocketAddr::from((
                [10, domain as u8, (place >> 8) as u8, place as u8],
                7000,
            )),
        }
    }

    pub(crate) fn domain(&self, place: usize) -> usize {
        place / self.shape.size
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        let key = self.sequence as usize;
        self.queue.push(cmp::Reverse((at, self.sequence, key)));
        self.events.insert(key, event);
    }

    /// Lets `span` milliseconds pass.
    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(cmp::Reverse((at, _, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.swap_remove(&key) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let now = clock::Millis(self.now);
        match event {
            Event::Tick(place) if !self.killed[place] => {
                let out = self.nodes[place].tick(now, &mut self.rng);
                self.send(place, out);
                let next = self.nodes[place].next_tick(now);
                self.schedule(next.0.max(self.now + 1), Event::Tick(place));
                self.after(place);
            }
            Event::Report(place) if !self.killed[place] => {
                let (domain, number) = (self.domain(place), place % self.shape.size);
                let node = &mut self.nodes[place];
                workload::report(now, domain, number, node, &mut self.rng);
                self.schedule(self.now + 1000, Event::Report(place));
            }
            Event::Poll(place) if !self.killed[place] => self.poll(place),
            Event::Polled(place) if !self.killed[place] => self.polled(place),
            Event::Deliver { from, to, bytes } if !self.killed[to] => {
                self.count(to, bytes.len() as u64);
                let message = codec::decode(&bytes).expect("nodes send valid messages");
                let sender = self.nodes[from].record().vm.clone();
                let out = self.nodes[to].receive(now, &sender, message);
                self.send(to, out);
                self.after(to);
            }
            Event::Pulled { to, from } if !self.killed[to] && !self.killed[from] => {
                let held = self.nodes[to].progress().revision.0;
                let newest = self.nodes[from].progress().revision.0;
                let size = newest.saturating_sub(held) * DELTA;
                self.traffic[to].pulled += size;
                self.traffic[from].pulled += size;
                self.put_in_force(to, newest);
            }
            _ => {}
        }
    }

    fn count(&mut self, place: usize, bytes: u64) {
        self.traffic[place].bytes += bytes;
        self.traffic[place].messages += 1;
    }

    fn send(&mut self, from: usize, out: Vec<outgoing::Outgoing>) {
        for outgoing in out {
            let bytes = codec::encode(&outgoing.message).expect("messages are within the limit");
            self.count(from, bytes.len() as u64);
            let to = self.places[&outgoing.vm];
            let delay = latency::one_way(self.domain(from), self.domain(to), &mut self.rng);
            self.schedule(self.now + delay, Event::Deliver { from, to, bytes });
        }
    }

    /// What the daemon does after each step: pull what it lacks, read the log if it is the reader.
    fn after(&mut self, place: usize) {
        let now = clock::Millis(self.now);
        let node = &mut self.nodes[place];
        if let Some(pull) = node.pull(now, pull::Stream::Config, &mut self.rng) {
            let from = self.places[&pull.vm];
            self.traffic[place].pulled += PULL_REQUEST;
            self.traffic[from].pulled += PULL_REQUEST;
            let (near, far) = (self.domain(place), self.domain(from));
            let delay = latency::one_way(near, far, &mut self.rng)
                + latency::one_way(far, near, &mut self.rng);
            self.schedule(self.now + delay, Event::Pulled { to: place, from });
        }
        let reads = self.nodes[place].reads_log(now);
        if reads && !self.polling[place] {
            self.polling[place] = true;
            let delay = log_backoff::log_delay(self.failures[place], &mut self.rng);
            self.schedule(self.now + delay.0, Event::Poll(place));
        }
    }

    fn poll(&mut self, place: usize) {
        if !self.nodes[place].reads_log(clock::Millis(self.now)) {
            self.polling[place] = false;
            return;
        }
        // Streams `config` and `control` are read together.
        *self.log.reads.entry(self.now / 1000).or_default() += 2;
        let delay = latency::log_read(&mut self.rng);
        self.schedule(self.now + delay, Event::Polled(place));
    }

    fn polled(&mut self, place: usize) {
        let now = clock::Millis(self.now);
        let node = &mut self.nodes[place];
        if self.log.down {
            self.failures[place] += 1;
            if self.failures[place] == 3 {
                node.set_log_access(now, progress::LogAccess::Unreachable);
            }
        } else {
            if self.failures[place] > 0 {
                node.set_log_access(now, progress::LogAccess::Reachable);
            }
            self.failures[place] = 0;
            let head = self.log.head;
            self.put_in_force(place, head);
        }
        let delay = log_backoff::log_delay(self.failures[place], &mut self.rng);
        self.schedule(self.now + delay.0, Event::Poll(place));
    }

    fn put_in_force(&mut self, place: usize, revision: u64) {
        let node = &mut self.nodes[place];
        if revision <= node.progress().revision.0 {
            return;
        }
        self.in_force[place] = self.now;
        let now = clock::Millis(self.now);
        node.set_progress(now, revision::Revision(revision), offset::Offset(revision));
        node.readiness(now);
    }
}
