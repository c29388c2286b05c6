//! A simulated cluster of nodes that runs in virtual time and uses the production codec.
#![allow(dead_code, reason = "each test binary uses only some of these helpers")]

use std::collections::BTreeMap;
use std::net;

use basilgrade_membership::node;
use basilgrade_membership::node_record;
use basilgrade_membership::outgoing;
use basilgrade_membership::settings;
use basilgrade_membership::status;
use basilgrade_membership::vm_hint;
use basilgrade_membership::wire_codec;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::incarnation;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

const START_MS: u64 = 1_000_000;

/// State of a simulated process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessState {
    Running,
    Paused,
    Killed,
}

/// Fault probabilities of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Network {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
}

pub(crate) struct Cluster {
    pub(crate) now: clock::Millis,
    pub(crate) rng: rngs::StdRng,
    pub(crate) nodes: IndexMap<id::VmId, node::Node>,
    pub(crate) processes: IndexMap<id::VmId, ProcessState>,
    pub(crate) network: Network,
    pub(crate) largest_message: usize,
    /// The VM list that every daemon receives when it starts.
    hints: Vec<vm_hint::VmHint>,
    /// Pairs of groups of VMs; messages from one group of a pair to the other are lost.
    partitions: Vec<(Vec<id::VmId>, Vec<id::VmId>)>,
    /// Messages in transit by arrival time and sequence number: sender, receiver, encoded message.
    queue: BTreeMap<(u64, u64), (id::VmId, id::VmId, Vec<u8>)>,
    /// Messages to paused processes, which are delivered when a process resumes.
    deferred: Vec<(id::VmId, id::VmId, Vec<u8>)>,
    /// Number of queued messages so far; orders messages that arrive in the same millisecond.
    sent: u64,
}

pub(crate) fn vm(domain: usize, number: usize) -> id::VmId {
    format!("domain-{domain}-vm-{number}").parse().unwrap()
}

pub(crate) fn domain(number: usize) -> id::DomainId {
    format!("domain-{number}").parse().unwrap()
}

pub(crate) fn record(domain_number: usize, number: usize, start: u64) -> node_record::NodeRecord {
    node_record::NodeRecord {
        vm: vm(domain_number, number),
        incarnation: incarnation::Incarnation(start),
        domain: domain(domain_number),
        address: net::SocketAddr::from(([127, 0, domain_number as u8, number as u8], 7000)),
    }
}

pub(crate) fn vm_hint(record: &node_record::NodeRecord) -> vm_hint::VmHint {
    vm_hint::VmHint {
        vm: record.vm.clone(),
        domain: record.domain.clone(),
        address: record.address,
    }
}

impl Cluster {
    /// Starts `domains` domains of `size` daemons and runs them until they know one another.
    pub(crate) fn converged(seed: u64, domains: usize, size: usize) -> Self {
        let mut cluster = Self::started(seed, domains, size);
        cluster.run(20_000);
        cluster
    }

    pub(crate) fn started(seed: u64, domains: usize, size: usize) -> Self {
        let mut cluster = Self {
            now: clock::Millis(START_MS),
            rng: rngs::StdRng::seed_from_u64(seed),
            nodes: IndexMap::new(),
            processes: IndexMap::new(),
            network: Network::default(),
            largest_message: 0,
            hints: Vec::new(),
            partitions: Vec::new(),
            queue: BTreeMap::new(),
            deferred: Vec::new(),
            sent: 0,
        };
        for domain in 0..domains {
            for number in 0..size {
                cluster.hints.push(vm_hint(&record(domain, number, 0)));
            }
        }
        for domain in 0..domains {
            for number in 0..size {
                cluster.start(domain, number);
            }
        }
        cluster
    }

    /// Starts or restarts a daemon; returns its VM.
    pub(crate) fn start(&mut self, domain: usize, number: usize) -> id::VmId {
        let start = self.now.0 + number as u64;
        self.start_with_record(record(domain, number, start))
    }

    pub(crate) fn start_with_record(&mut self, record: node_record::NodeRecord) -> id::VmId {
        let vm = record.vm.clone();
        let settings = settings::Settings::new(record);
        let mut node = node::Node::new(self.now, settings, &mut self.rng);
        node.observe_vm_list(self.hints.clone());
        self.nodes.insert(vm.clone(), node);
        self.processes.insert(vm.clone(), ProcessState::Running);
        vm
    }

    pub(crate) fn node(&mut self, vm: &id::VmId) -> &mut node::Node {
        &mut self.nodes[vm]
    }

    pub(crate) fn set_process(&mut self, vm: &id::VmId, process: ProcessState) {
        self.processes[vm] = process;
        if process != ProcessState::Running {
            return;
        }
        for deferred in std::mem::take(&mut self.deferred) {
            self.sent += 1;
            self.queue.insert((self.now.0 + 1, self.sent), deferred);
        }
    }

    /// Drops all messages between two domains from now on.
    pub(crate) fn partition_domains(&mut self, first: usize, second: usize) {
        let members = |cluster: &Self, number| {
            cluster
                .nodes
                .values()
                .filter(|node| node.record().domain == domain(number))
                .map(|node| node.record().vm.clone())
                .collect()
        };
        let (first, second) = (members(self, first), members(self, second));
        self.partition_vms(first, second);
    }

    /// Drops all messages between two groups of VMs from now on.
    pub(crate) fn partition_vms(&mut self, first: Vec<id::VmId>, second: Vec<id::VmId>) {
        self.partitions.push((first, second));
    }

    pub(crate) fn heal(&mut self) {
        self.partitions.clear();
    }

    pub(crate) fn status(&self, observer: &id::VmId, vm: &id::VmId) -> Option<status::Status> {
        self.nodes[observer].status(vm)
    }

    /// Advances virtual time by `span` milliseconds.
    pub(crate) fn run(&mut self, span: u64) {
        self.run_until(span, |_| false);
    }

    /// Advances virtual time until `done` returns true, but by at most `span` milliseconds; returns
    /// the elapsed milliseconds.
    pub(crate) fn run_until(&mut self, span: u64, mut done: impl FnMut(&mut Self) -> bool) -> u64 {
        for passed in 0..span {
            if done(self) {
                return passed;
            }
            self.step();
        }
        span
    }

    fn step(&mut self) {
        self.now.0 += 1;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now.0 {
                break;
            }
            let (from, to, bytes) = entry.remove();
            self.deliver(&from, &to, &bytes);
        }
        for index in 0..self.nodes.len() {
            let (vm, node) = self.nodes.get_index_mut(index).unwrap();
            let due = (self.now.0 + index as u64).is_multiple_of(20);
            if due && self.processes[vm] == ProcessState::Running {
                let vm = vm.clone();
                let out = node.tick(self.now, &mut self.rng);
                self.send(&vm, out);
            }
        }
    }

    /// Delivers a message; a message to a paused process waits until a process resumes.
    pub(crate) fn deliver(&mut self, from: &id::VmId, to: &id::VmId, bytes: &[u8]) {
        match self.processes.get(to) {
            Some(ProcessState::Running) => {
                let message = wire_codec::decode(bytes).unwrap();
                let out = self.nodes[to].receive(self.now, from, message);
                self.send(to, out);
            }
            Some(ProcessState::Paused) => {
                self.deferred
                    .push((from.clone(), to.clone(), bytes.to_vec()));
            }
            Some(ProcessState::Killed) | None => {}
        }
    }

    pub(crate) fn send(&mut self, from: &id::VmId, out: Vec<outgoing::Outgoing>) {
        for outgoing in out {
            let bytes = wire_codec::encode(&outgoing.message).unwrap();
            self.largest_message = self.largest_message.max(bytes.len());
            let to = outgoing.vm;
            if !self.nodes.contains_key(&to) || self.is_partitioned(from, &to) {
                continue;
            }
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let copies = 1 + u64::from(self.rng.random_bool(self.network.duplication));
            let latency = if self.domain_of(from) == self.domain_of(&to) {
                1
            } else {
                10
            };
            for copy in 0..copies {
                self.sent += 1;
                // The duplicate arrives 700 ms after the original message.
                let at = self.now.0 + latency + copy * 700;
                self.queue
                    .insert((at, self.sent), (from.clone(), to.clone(), bytes.clone()));
            }
        }
    }

    fn domain_of(&self, vm: &id::VmId) -> id::DomainId {
        self.nodes[vm].record().domain.clone()
    }

    fn is_partitioned(&self, from: &id::VmId, to: &id::VmId) -> bool {
        self.partitions.iter().any(|(first, second)| {
            first.contains(from) && second.contains(to)
                || first.contains(to) && second.contains(from)
        })
    }
}

/// Members and domain progress in the view of a node, as sorted lines that can be compared.
pub(crate) fn membership_view(node: &node::Node, domains: usize) -> Vec<String> {
    let mut lines: Vec<String> = (0..domains)
        .flat_map(|number| node.members_of(&domain(number)).collect::<Vec<_>>())
        .map(|(record, status)| format!("{} {} {status}", record.vm, record.incarnation))
        .chain(
            node.domains()
                .map(|(domain, progress)| format!("{domain} {progress:?}")),
        )
        .collect();
    lines.sort();
    lines
}
