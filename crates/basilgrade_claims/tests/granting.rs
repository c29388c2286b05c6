//! Tests of slot grants in a cluster: their distribution, the number of records, and failure
//! domains that join later.

use std::sync::Arc;

use basilgrade_claims::claims::Claims;
use basilgrade_claims::cluster_view::ClusterView;
use basilgrade_claims::output::Output;
use basilgrade_claims::settings::Settings;
use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::node::Node;
use basilgrade_journal::publication::AppendResult;
use basilgrade_journal::replayer::Replayer;
use basilgrade_types::clock::Millis;
use basilgrade_types::id::DomainId;
use basilgrade_types::incarnation::Incarnation;
use basilgrade_types::offset::Offset;
use basilgrade_types::slot::Slot;
use bytes::Bytes;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

const NOW: Millis = Millis(1_000_000_000);

/// Daemons that all reach each other, with a log that stores each append immediately.
struct TestCluster {
    now: Millis,
    daemons: Vec<(DomainId, Claims)>,
    replayer: Replayer<ControlState>,
    appends: usize,
    /// The offset up to which all daemons have read the log; `None` after new daemons have started.
    read_offset: Option<Offset>,
    log_down: bool,
    rng: StdRng,
}

fn domain(number: usize) -> DomainId {
    format!("d{number}").parse().expect("valid domain name")
}

fn cluster() -> TestCluster {
    let mut replayer = Replayer::new(Arc::new(()));
    replayer.replay_chunk(NOW, &Chunk::default());
    TestCluster {
        now: NOW,
        daemons: Vec::new(),
        replayer,
        appends: 0,
        read_offset: None,
        log_down: false,
        rng: StdRng::seed_from_u64(1),
    }
}

impl TestCluster {
    fn start(&mut self, number: usize, size: usize) {
        self.read_offset = None;
        for vm in 0..size {
            let node = Node {
                vm: format!("d{number}-vm{vm:02}")
                    .parse()
                    .expect("valid VM name"),
                incarnation: Incarnation(self.now.0),
            };
            let claims = Claims::new(node, domain(number), Settings::default());
            self.daemons.push((domain(number), claims));
        }
    }

    fn view(&self, own: &DomainId) -> ClusterView {
        let mut domains = IndexMap::new();
        for (domain, _) in &self.daemons {
            *domains.entry(domain.clone()).or_insert(0) += 1;
        }
        let in_domain = |daemon: &&(DomainId, Claims)| daemon.0 == *own;
        let live = self.daemons.iter().filter(in_domain);
        ClusterView {
            live: live.map(|(_, claims)| claims.node().clone()).collect(),
            domains,
            ..ClusterView::default()
        }
    }

    /// Runs all daemons for `span` ms with a tick every `step` ms; they read the log when it has
    /// grown.
    fn run(&mut self, span: u64, step: u64) {
        let end = self.now.plus(Millis(span));
        let mut views: IndexMap<DomainId, ClusterView> = IndexMap::new();
        for (domain, _) in &self.daemons {
            if !views.contains_key(domain) {
                views.insert(domain.clone(), self.view(domain));
            }
        }
        while self.now < end {
            let mut queue = Vec::new();
            let mut bodies = Vec::new();
            for (number, (domain, claims)) in self.daemons.iter_mut().enumerate() {
                if self.read_offset != Some(self.replayer.next()) {
                    claims.observe(self.now, self.replayer.state(), self.replayer.next());
                }
                claims.tick(self.now, &views[&*domain], &mut self.rng);
                let from = claims.node().clone();
                for output in claims.outputs() {
                    match output {
                        Output::Send { to, message } => queue.push((from.clone(), to, message)),
                        Output::Append { id, body } => bodies.push((number, id, body)),
                        Output::Decide { .. } => {}
                    }
                }
            }
            self.read_offset = Some(self.replayer.next());
            for (from, to, message) in queue {
                let receiver = |daemon: &&mut (DomainId, Claims)| *daemon.1.node() == to;
                if let Some((_, claims)) = self.daemons.iter_mut().find(receiver) {
                    claims.receive(self.now, &from, message);
                }
            }
            for (number, id, body) in bodies {
                self.append(number, id, body);
            }
            self.now = self.now.plus(Millis(step));
        }
    }

    fn append(&mut self, number: usize, id: Uuid, body: Bytes) {
        if self.log_down {
            self.daemons[number].1.appended(id, AppendResult::Unknown);
            return;
        }
        self.appends += 1;
        let at = self.replayer.next();
        let chunk = Chunk {
            from: at,
            first: Offset(0),
            next: at.next(),
            entries: vec![Entry { offset: at, body }],
        };
        self.replayer.replay_chunk(self.now, &chunk);
        self.daemons[number]
            .1
            .appended(id, AppendResult::Stored(at));
    }

    fn slot_counts(&self) -> IndexMap<DomainId, usize> {
        self.replayer.state().slot_counts()
    }
}

/// Guards against many records in the log, and against domains without a slot for the keys that
/// they issue, when a cluster of 20 domains with 19 daemons each starts at once.
#[test]
fn cluster_start_appends_one_record_per_domain() {
    let mut cluster = cluster();
    for number in 0..20 {
        cluster.start(number, 19);
    }

    cluster.run(5_000, 250);

    assert_eq!(cluster.appends, 20);
    let counts = cluster.slot_counts();
    assert_eq!(counts.len(), 20);
    assert_eq!(counts.values().sum::<usize>(), 64);
    assert!(counts.values().all(|count| (3..=4).contains(count)));
    let mut rng = StdRng::seed_from_u64(2);
    cluster.run(250, 250);
    for (domain, claims) in &cluster.daemons {
        let slot = claims
            .mint_slot(cluster.now, &mut rng)
            .expect("domain owns a usable slot");
        let grant = claims.ownership(slot).and_then(|held| held.grant.as_ref());
        assert_eq!(grant.map(|grant| &grant.domain), Some(domain));
    }
}

/// Guards against too many records in the log from the renewals of 72 daemons, both in normal
/// operation and after an outage of the log.
#[test]
fn renewals_are_bounded_before_and_after_log_outage() {
    let mut cluster = cluster();
    for number in 0..6 {
        cluster.start(number, 12);
    }
    cluster.run(5_000, 250);
    let granted = cluster.appends;
    cluster.run(310_000, 5_000);
    let renewed = cluster.appends - granted;

    cluster.log_down = true;
    cluster.run(400_000, 5_000);
    cluster.log_down = false;
    let before = cluster.appends;
    cluster.run(1_000, 250);
    let first = cluster.appends - before;
    cluster.run(14_000, 250);

    println!(
        "{renewed} renewals in a third of the autonomy, {first} in the first second after the outage"
    );
    // Each slot needs at most one record in a third of the autonomy, and one after the outage.
    assert!(renewed <= 64, "{renewed}");
    assert!(first <= 64, "{first}");
    assert!(cluster.appends - before <= 64);
    assert!(Slot::all().all(|slot| {
        let held = cluster.replayer.state().slot(slot);
        held.is_some_and(|held| held.ceiling > cluster.now)
    }));
}

/// Guards against failure domains that start later and never get a slot for the keys they issue.
#[test]
fn late_domains_get_equal_share_of_slots() {
    let mut cluster = cluster();
    cluster.start(0, 3);
    cluster.run(5_000, 250);
    let single_domain_counts = cluster.slot_counts();
    cluster.start(1, 3);
    cluster.start(2, 3);

    cluster.run(30_000, 250);

    assert_eq!(single_domain_counts.values().sum::<usize>(), 64);
    let counts = cluster.slot_counts();
    println!("{counts:?}, {} appends", cluster.appends);
    assert_eq!(counts.values().sum::<usize>(), 64);
    assert!(counts.values().all(|count| (20..=22).contains(count)));
}
