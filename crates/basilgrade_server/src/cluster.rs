//! Membership of this daemon, connected to the other daemons by peer links.

use std::net;
use std::sync;

use basilgrade_claims::cluster_view;
use basilgrade_journal::control_state;
use basilgrade_journal::node as journal_node;
use basilgrade_membership::contact;
use basilgrade_membership::death;
use basilgrade_membership::message;
use basilgrade_membership::node;
use basilgrade_membership::node_record;
use basilgrade_membership::outgoing;
use basilgrade_membership::readiness;
use basilgrade_membership::settings;
use basilgrade_membership::status;
use basilgrade_membership::vm_hint;
use basilgrade_peer::links;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::directory;

/// Numbers of live daemons and failure domains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counts {
    /// Live daemons in this daemon's failure domain.
    pub own_domain: u32,
    /// Failure domains with at least one live daemon.
    pub domains: u32,
}

/// Handle to the membership state of this daemon; clones share the state.
#[derive(Clone)]
pub struct Cluster {
    shared: sync::Arc<Shared>,
}

struct Shared {
    clock: sync::Arc<dyn clock::Clock>,
    links: sync::Arc<links::Links>,
    node: sync::Mutex<node::Node>,
    /// VMs with a contact attempt in progress, so that a dead VM is not contacted repeatedly.
    contacting: sync::Mutex<IndexSet<id::VmId>>,
    addresses: arc_swap::ArcSwap<IndexMap<id::VmId, net::SocketAddr>>,
}

impl Cluster {
    /// Creates the membership of a daemon that knows no other daemons yet.
    pub fn new(
        record: node_record::NodeRecord,
        clock: sync::Arc<dyn clock::Clock>,
        links: sync::Arc<links::Links>,
    ) -> Self {
        let settings = settings::Settings::new(record);
        let node = node::Node::new(clock.now(), settings, &mut rand::rng());
        Self {
            shared: sync::Arc::new(Shared {
                clock,
                links,
                node: sync::Mutex::new(node),
                contacting: sync::Mutex::default(),
                addresses: arc_swap::ArcSwap::default(),
            }),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, node::Node> {
        self.shared
            .node
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn now(&self) -> clock::Millis {
        self.shared.clock.now()
    }

    /// Calls `change` with the membership state and the current instant.
    pub fn with<T>(&self, change: impl FnOnce(&mut node::Node, clock::Millis) -> T) -> T {
        let now = self.now();
        change(&mut self.lock(), now)
    }

    /// Advances membership, sends the messages due, and returns the time until the next tick.
    pub fn tick(&self) -> clock::Millis {
        let (outgoing, next) = self.with(|node, now| {
            let outgoing = node.tick(now, &mut rand::rng());
            (outgoing, node.next_tick(now).since(now))
        });
        self.update_addresses();
        self.send(outgoing);
        next
    }

    /// Processes a message from the authenticated daemon on VM `from`.
    pub fn receive(&self, from: &id::VmId, message: message::Message) {
        let outgoing = self.with(|node, now| node.receive(now, from, message));
        self.send(outgoing);
    }

    /// Passes hints about VMs on which daemons may run to the membership state.
    pub fn add_hints(&self, hints: Vec<vm_hint::VmHint>) {
        self.with(|node, _| node.observe_vm_list(hints));
    }

    /// The record of this run of the daemon: VM, incarnation, failure domain and address.
    pub fn own_record(&self) -> node_record::NodeRecord {
        self.lock().record().clone()
    }

    /// This run of the daemon as identified in grants and leases.
    pub fn own_node(&self) -> journal_node::Node {
        let record = self.own_record();
        journal_node::Node {
            vm: record.vm,
            incarnation: record.incarnation,
        }
    }

    /// Whether the daemon may report ready.
    pub fn readiness(&self) -> readiness::Readiness {
        self.with(node::Node::readiness)
    }

    /// Whether the daemon has joined; its incarnation is final from then on.
    pub fn has_joined(&self) -> bool {
        !matches!(
            self.readiness(),
            readiness::Readiness::Joining | readiness::Readiness::Leaving
        )
    }

    /// Announces to the other daemons that this daemon is leaving.
    pub fn leave(&self) {
        self.with(node::Node::leave);
        self.tick();
    }

    /// Number of live daemons over all failure domains, this one included.
    pub fn live_daemons(&self) -> u32 {
        self.with(|node, _| live_daemons_by_domain(node).values().sum::<usize>().max(1) as u32)
    }

    /// Numbers of live daemons and failure domains as known to this daemon.
    pub fn counts(&self) -> Counts {
        self.with(|node, _| {
            let domains = live_daemons_by_domain(node);
            let own = domains.get(&node.record().domain).copied();
            let alive = domains.values().filter(|count| **count > 0).count();
            Counts {
                own_domain: own.unwrap_or(1).max(1) as u32,
                domains: alive.max(1) as u32,
            }
        })
    }

    /// All daemons known to this one, itself included, with their status.
    pub fn members(&self) -> Vec<(node_record::NodeRecord, status::Status)> {
        self.with(|node, _| {
            let own = node.record().domain.clone();
            let domains: Vec<_> = node.domains().map(|(domain, _)| domain.clone()).collect();
            let other = domains
                .iter()
                .filter(|domain| **domain != own)
                .flat_map(|domain| node.members_of(domain));
            node.members()
                .chain(other)
                .map(|(record, status)| (record.clone(), status))
                .collect()
        })
    }

    /// The cluster view for claims: daemons that are live, leaving or dead, and live daemons per
    /// failure domain. Only daemons that may own slots count as live.
    pub fn view(&self, control: &control_state::ControlState) -> cluster_view::ClusterView {
        let members = granted_nodes(control);
        let mut contacts = Vec::new();
        let view = self.with(|node, now| {
            let vms: IndexSet<_> = node.ownership_candidates(now).into_iter().collect();
            let mut view = cluster_view::ClusterView::default();
            for (record, status) in node.members() {
                let member = journal_node::Node {
                    vm: record.vm.clone(),
                    incarnation: record.incarnation,
                };
                match status {
                    status::Status::Alive if vms.contains(&record.vm) => view.live.insert(member),
                    status::Status::Leaving => view.leaving.insert(member),
                    _ => false,
                };
            }
            for member in members {
                let death = node.death_evidence(now, &member.vm, Some(member.incarnation));
                if death.permits_takeover() {
                    view.dead.insert(member);
                } else if death == death::DeathEvidence::ContactNeeded {
                    contacts.push(member.vm);
                }
            }
            view.domains = live_daemons_by_domain(node);
            view
        });
        for vm in contacts {
            self.contact(vm);
        }
        view
    }

    /// Starts a contact attempt to `vm`, unless one is in progress, and reports its outcome to
    /// membership.
    fn contact(&self, vm: id::VmId) {
        let mut contacting = self
            .shared
            .contacting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if !contacting.insert(vm.clone()) {
            return;
        }
        drop(contacting);
        let cluster = self.clone();
        tokio::spawn(async move {
            let started = cluster.now();
            let outcome = match directory::Directory::address(&cluster, &vm) {
                Some(address) => cluster.try_contact(address, &vm).await,
                None => contact::Outcome::Failed,
            };
            cluster.with(|node, _| node.report_contact(&vm, started, outcome));
            cluster
                .shared
                .contacting
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner)
                .swap_remove(&vm);
        });
    }

    async fn try_contact(&self, address: net::SocketAddr, vm: &id::VmId) -> contact::Outcome {
        let answer = self
            .shared
            .links
            .call(address, |client, context| async move {
                client.contact(context).await
            })
            .await;
        match answer {
            Ok(record) if record.vm == *vm => contact::Outcome::Answered,
            // Another VM may have been assigned the address.
            Ok(_) | Err(_) => contact::Outcome::Failed,
        }
    }

    /// Fetches the record of the daemon at `address`; `None` if the call fails.
    pub async fn fetch_record(&self, address: net::SocketAddr) -> Option<node_record::NodeRecord> {
        self.shared
            .links
            .call(address, |client, context| async move {
                client.contact(context).await
            })
            .await
            .ok()
    }

    fn send(&self, outgoing: Vec<outgoing::Outgoing>) {
        for outgoing in outgoing {
            let cluster = self.clone();
            tokio::spawn(async move { cluster.deliver(outgoing).await });
        }
    }

    async fn deliver(&self, outgoing: outgoing::Outgoing) {
        let started = self.now();
        let from = self.own_record().vm;
        let sent = self
            .shared
            .links
            .call(outgoing.address, |client, context| async move {
                client.gossip(context, from, outgoing.message).await
            })
            .await;
        // A delivered message proves that a process listens at the address, but not which run of
        // the daemon it is, so only failures are reported.
        if sent.is_err() {
            let vm = outgoing.vm;
            self.with(|node, _| node.report_contact(&vm, started, contact::Outcome::Failed));
        }
    }

    fn update_addresses(&self) {
        let known = self.with(|node, _| addresses(node));
        if **self.shared.addresses.load() != known {
            self.shared
                .links
                .retain(|address| known.values().any(|held| held == address));
            self.shared.addresses.store(sync::Arc::new(known));
        }
    }
}

impl directory::Directory for Cluster {
    fn address(&self, vm: &id::VmId) -> Option<net::SocketAddr> {
        self.shared.addresses.load().get(vm).copied()
    }
}

fn addresses(node: &node::Node) -> IndexMap<id::VmId, net::SocketAddr> {
    let mut known: IndexMap<_, _> = node
        .members()
        .map(|(record, _)| (record.vm.clone(), record.address))
        .collect();
    let domains: Vec<_> = node.domains().map(|(domain, _)| domain.clone()).collect();
    for domain in domains {
        for (record, _) in node.members_of(&domain) {
            known.insert(record.vm.clone(), record.address);
        }
    }
    known
}

fn live_daemons_by_domain(node: &node::Node) -> IndexMap<id::DomainId, usize> {
    let own = node.record().domain.clone();
    let live = |status: status::Status| status == status::Status::Alive;
    let mut counts = IndexMap::new();
    let own_count = node.members().filter(|(_, status)| live(*status)).count();
    counts.insert(own.clone(), own_count);
    let domains: Vec<_> = node.domains().map(|(domain, _)| domain.clone()).collect();
    for domain in domains.into_iter().filter(|domain| *domain != own) {
        let other = node
            .members_of(&domain)
            .filter(|(_, status)| live(*status))
            .count();
        counts.insert(domain, other);
    }
    counts
}

/// Every run of a daemon that a grant names as primary or backup.
fn granted_nodes(control: &control_state::ControlState) -> IndexSet<journal_node::Node> {
    let grants = control
        .slots()
        .filter_map(|(_, ownership)| ownership.grant.as_ref());
    grants
        .flat_map(|grant| {
            let backup = grant.backup.iter().cloned();
            backup.chain([grant.primary.clone()])
        })
        .collect()
}
