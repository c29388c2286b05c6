//! Simulation of nodes, network links and the log service in virtual time.

use std::cmp;
use std::collections;
use std::net;

use basilgrade_membership::log_backoff;
use basilgrade_membership::node;
use basilgrade_membership::node_record;
use basilgrade_membership::outgoing;
use basilgrade_membership::progress;
use basilgrade_membership::pull;
use basilgrade_membership::settings;
use basilgrade_membership::vm_hint;
use basilgrade_membership::wire_codec;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;
use basilgrade_types::offset;
use basilgrade_types::revision;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use super::daemon_workload;
use super::deployment_shape;
use super::latency;
use super::measurement;

/// Encoded size of a pull request.
const PULL_REQUEST_BYTES: u64 = 40;
/// Encoded size of the delta of one configuration change, which replaces the section of one
/// customer.
const CONFIG_DELTA_BYTES: u64 = 400;
const START_MS: u64 = 1_000_000;

/// A scheduled event of the simulation; the numbers are indices of daemons.
enum Event {
    Tick(usize),
    ReportState(usize),
    ReadLog(usize),
    LogReply(usize),
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    CompletePull {
        to: usize,
        from: usize,
    },
}

/// Simulated log service.
#[derive(Default)]
pub(crate) struct LogService {
    pub(crate) head: u64,
    pub(crate) down: bool,
    /// Number of reads, by the second in which they arrived.
    pub(crate) reads: IndexMap<u64, u64>,
}

/// A simulated deployment in virtual time.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) shape: deployment_shape::DeploymentShape,
    pub(crate) nodes: Vec<node::Node>,
    pub(crate) killed: Vec<bool>,
    pub(crate) traffic: Vec<measurement::Traffic>,
    pub(crate) log: LogService,
    /// When each daemon put its newest configuration revision in force, in milliseconds.
    pub(crate) in_force: Vec<u64>,
    failures: Vec<u32>,
    polling: Vec<bool>,
    daemon_indices: IndexMap<id::VmId, usize>,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64, usize)>>,
    events: IndexMap<usize, Event>,
    sequence: u64,
    rng: rngs::StdRng,
}

impl World {
    pub(crate) fn new(shape: deployment_shape::DeploymentShape, seed: u64) -> Self {
        let mut world = Self {
            now: START_MS,
            shape,
            nodes: Vec::new(),
            killed: vec![false; shape.daemons()],
            traffic: vec![measurement::Traffic::default(); shape.daemons()],
            log: LogService {
                head: 1,
                ..LogService::default()
            },
            in_force: vec![0; shape.daemons()],
            failures: vec![0; shape.daemons()],
            polling: vec![false; shape.daemons()],
            daemon_indices: IndexMap::new(),
            queue: collections::BinaryHeap::new(),
            events: IndexMap::new(),
            sequence: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
        };
        let records: Vec<_> = (0..shape.daemons())
            .map(|daemon| world.record(daemon))
            .collect();
        let hints: Vec<vm_hint::VmHint> = records
            .iter()
            .map(|record| vm_hint::VmHint {
                vm: record.vm.clone(),
                domain: record.domain.clone(),
                address: record.address,
            })
            .collect();
        for (daemon, record) in records.into_iter().enumerate() {
            world.daemon_indices.insert(record.vm.clone(), daemon);
            let now = clock::Millis(world.now);
            let settings = settings::Settings::new(record.clone());
            let mut node = node::Node::new(now, settings, &mut world.rng);
            node.observe_vm_list(hints.iter().cloned());
            world.nodes.push(node);
            let at = world.now + world.rng.random_range(0..100);
            world.schedule(at, Event::Tick(daemon));
            let at = world.now + world.rng.random_range(0..1000);
            world.schedule(at, Event::ReportState(daemon));
        }
        world
    }

    fn record(&self, daemon: usize) -> node_record::NodeRecord {
        let domain = daemon / self.shape.size;
        node_record::NodeRecord {
            vm: format!("vm-{domain:02}-{:03}", daemon % self.shape.size)
                .parse()
                .expect("generated name should be valid"),
            incarnation: incarnation::Incarnation(1_796_000_000_000 + daemon as u64),
            domain: format!("domain-{domain:02}")
                .parse()
                .expect("generated name should be valid"),
            address: net::SocketAddr::from((
                [10, domain as u8, (daemon >> 8) as u8, daemon as u8],
                7000,
            )),
        }
    }

    pub(crate) fn domain(&self, daemon: usize) -> usize {
        daemon / self.shape.size
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        let key = self.sequence as usize;
        self.queue.push(cmp::Reverse((at, self.sequence, key)));
        self.events.insert(key, event);
    }

    /// Advances virtual time by `span` milliseconds.
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
            Event::Tick(daemon) if !self.killed[daemon] => {
                let out = self.nodes[daemon].tick(now, &mut self.rng);
                self.send(daemon, out);
                let next = self.nodes[daemon].next_tick(now);
                self.schedule(next.0.max(self.now + 1), Event::Tick(daemon));
                self.start_transfers(daemon);
            }
            Event::ReportState(daemon) if !self.killed[daemon] => {
                let (domain, number) = (self.domain(daemon), daemon % self.shape.size);
                let node = &mut self.nodes[daemon];
                daemon_workload::report(now, domain, number, node, &mut self.rng);
                self.schedule(self.now + 1000, Event::ReportState(daemon));
            }
            Event::ReadLog(daemon) if !self.killed[daemon] => self.start_log_read(daemon),
            Event::LogReply(daemon) if !self.killed[daemon] => self.complete_log_read(daemon),
            Event::Deliver { from, to, bytes } if !self.killed[to] => {
                self.count(to, bytes.len() as u64);
                let message =
                    wire_codec::decode(&bytes).expect("message sent by a node should decode");
                let sender = self.nodes[from].record().vm.clone();
                let out = self.nodes[to].receive(now, &sender, message);
                self.send(to, out);
                self.start_transfers(to);
            }
            Event::CompletePull { to, from } if !self.killed[to] && !self.killed[from] => {
                let held = self.nodes[to].progress().revision.0;
                let newest = self.nodes[from].progress().revision.0;
                let size = newest.saturating_sub(held) * CONFIG_DELTA_BYTES;
                self.traffic[to].pulled += size;
                self.traffic[from].pulled += size;
                self.put_in_force(to, newest);
            }
            _ => {}
        }
    }

    fn count(&mut self, daemon: usize, bytes: u64) {
        self.traffic[daemon].bytes += bytes;
        self.traffic[daemon].messages += 1;
    }

    fn send(&mut self, from: usize, out: Vec<outgoing::Outgoing>) {
        for outgoing in out {
            let bytes = wire_codec::encode(&outgoing.message)
                .expect("message should not exceed the size limit");
            self.count(from, bytes.len() as u64);
            let to = self.daemon_indices[&outgoing.vm];
            let delay = latency::one_way(self.domain(from), self.domain(to), &mut self.rng);
            self.schedule(self.now + delay, Event::Deliver { from, to, bytes });
        }
    }

    /// Starts the transfers that are due after an event: a pull of missing records and, if the
    /// daemon is the log reader, polling of the log.
    fn start_transfers(&mut self, daemon: usize) {
        let now = clock::Millis(self.now);
        let node = &mut self.nodes[daemon];
        if let Some(pull) = node.pull(now, pull::Stream::Config, &mut self.rng) {
            let from = self.daemon_indices[&pull.vm];
            self.traffic[daemon].pulled += PULL_REQUEST_BYTES;
            self.traffic[from].pulled += PULL_REQUEST_BYTES;
            let (own_domain, peer_domain) = (self.domain(daemon), self.domain(from));
            let delay = latency::one_way(own_domain, peer_domain, &mut self.rng)
                + latency::one_way(peer_domain, own_domain, &mut self.rng);
            self.schedule(self.now + delay, Event::CompletePull { to: daemon, from });
        }
        let reads = self.nodes[daemon].reads_log(now);
        if reads && !self.polling[daemon] {
            self.polling[daemon] = true;
            let delay = log_backoff::next_read_delay(self.failures[daemon], &mut self.rng);
            self.schedule(self.now + delay.0, Event::ReadLog(daemon));
        }
    }

    fn start_log_read(&mut self, daemon: usize) {
        if !self.nodes[daemon].reads_log(clock::Millis(self.now)) {
            self.polling[daemon] = false;
            return;
        }
        // Each poll reads both streams, `config` and `control`.
        *self.log.reads.entry(self.now / 1000).or_default() += 2;
        let delay = latency::log_read(&mut self.rng);
        self.schedule(self.now + delay, Event::LogReply(daemon));
    }

    fn complete_log_read(&mut self, daemon: usize) {
        let now = clock::Millis(self.now);
        let node = &mut self.nodes[daemon];
        if self.log.down {
            self.failures[daemon] += 1;
            if self.failures[daemon] == 3 {
                node.set_log_access(now, progress::LogAccess::Unreachable);
            }
        } else {
            if self.failures[daemon] > 0 {
                node.set_log_access(now, progress::LogAccess::Reachable);
            }
            self.failures[daemon] = 0;
            let head = self.log.head;
            self.put_in_force(daemon, head);
        }
        let delay = log_backoff::next_read_delay(self.failures[daemon], &mut self.rng);
        self.schedule(self.now + delay.0, Event::ReadLog(daemon));
    }

    fn put_in_force(&mut self, daemon: usize, revision: u64) {
        let node = &mut self.nodes[daemon];
        if revision <= node.progress().revision.0 {
            return;
        }
        self.in_force[daemon] = self.now;
        let now = clock::Millis(self.now);
        node.set_progress(now, revision::Revision(revision), offset::Offset(revision));
        node.readiness(now);
    }
}
