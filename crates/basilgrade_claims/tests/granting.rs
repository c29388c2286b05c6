//! Granting slots in a fleet: spread, number of records, and daemons that join later.

use std::sync::Arc;

use basilgrade_claims::claims::Claims;
use basilgrade_claims::cluster_view::ClusterView;
use basilgrade_claims::output::Output;
use basilgrade_claims::settings::Settings;
use basilgrade_journal::chunk::Chunk;
use basilgrade_journal::control_state::ControlState;
use basilgrade_journal::entry::Entry;
use basilgrade_journal::fold::Fold;
use basilgrade_journal::node::Node;
use basilgrade_journal::publication::Appended;
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

/// Daemons that see each other, with a log that stores each append at once.
struct Fleet {
    now: Millis,
    daemons: Vec<(DomainId, Claims)>,
    fold: Fold<ControlState>,
    appends: usize,
    /// Up to where the daemons have read the log; `None` after some have started.
    read: Option<Offset>,
    log_down: bool,
    rng: StdRng,
}

fn domain(number: usize) -> DomainId {
    format!("d{number}").parse().expect("a name")
}

fn fleet() -> Fleet {
    let mut fold = Fold::new(Arc::new(()));
    fold.feed(NOW, &Chunk::default());
    Fleet {
        now: NOW,
        daemons: Vec::new(),
        fold,
        appends: 0,
        read: None,
        log_down: false,
        rng: StdRng::seed_from_u64(1),
    }
}

impl Fleet {
    fn start(&mut self, number: usize, size: usize) {
        self.read = None;
        for vm in 0..size {
            let node = Node {
                vm: format!("d{number}-vm{vm:02}").parse().expect("a name"),
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
        let of = |daemon: &&(DomainId, Claims)| daemon.0 == *own;
        let live = self.daemons.iter().filter(of);
        ClusterView {
            live: live.map(|(_, claims)| claims.node().clone()).collect(),
            domains,
            ..ClusterView::default()
        }
    }

    /// All daemons tick every `step` for `span`, and read the log when it has grown.
    fn run(&mut self, span: u64, step: u64) {
        let end = self.now.plus(Millis(span));
        let mut views: IndexMap<DomainId, ClusterView> = IndexMap::new();
        for (domain, _) in &self.daemons {
            if !views.contains_key(domain) {
                views.insert(domain.clone(), self.view(domain));
            }
        }
        while self.now < end {
            let mut wire = Vec::new();
            let mut bodies = Vec::new();
            for (number, (domain, claims)) in self.daemons.iter_mut().enumerate() {
                if self.read != Some(self.fold.next()) {
                    claims.observe(self.now, self.fold.state(), self.fold.next());
                }
                claims.tick(self.now, &views[&*domain], &mut self.rng);
                let from = claims.node().clone();
                for output in claims.outputs() {
                    match output {
                        Output::Send { to, message } => wire.push((from.clone(), to, message)),
                        Output::Append { id, body } => bodies.push((number, id, body)),
                        Output::Decide { .. } => {}
                    }
                }
            }
            self.read = Some(self.fold.next());
            for (from, to, message) in wire {
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
            self.daemons[number].1.appended(id, Appended::Unknown);
            return;
        }
        self.appends += 1;
        let at = self.fold.next();
        let chunk = Chunk {
            from: at,
            first: Offset(0),
            next: at.next(),
            entries: vec![Entry { offset: at, body }],
        };
        self.fold.feed(self.now, &chunk);
        self.daemons[number].1.appended(id, Appended::At(at));
    }

    fn counts(&self) -> IndexMap<DomainId, usize> {
        self.fold.state().slot_counts()
    }
}

/// Guards against a storm of records, and against domains that cannot mint keys of their own, when
/// the fleet of two years starts at once.
#[test]
fn fleet_start_appends_one_record_per_domain() {
    let mut fleet = fleet();
    for number in 0..20 {
        fleet.start(number, 19);
    }

    fleet.run(5_000, 250);

    assert_eq!(fleet.appends, 20);
    let counts = fleet.counts();
    assert_eq!(counts.len(), 20);
    assert_eq!(counts.values().sum::<usize>(), 64);
    assert!(counts.values().all(|count| (3..=4).contains(count)));
    let mut rng = StdRng::seed_from_u64(2);
    fleet.run(250, 250);
    for (domain, claims) in &fleet.daemons {
        let slot = claims
            .mint_slot(fleet.now, &mut rng)
            .expect("a slot of the domain");
        let grant = claims.ownership(slot).and_then(|held| held.grant.as_ref());
        assert_eq!(grant.map(|grant| &grant.domain), Some(domain));
    }
}

/// Guards against renewals of 72 daemons filling the log, in quiet times and after an outage.
#[test]
fn renewals_are_few_and_spread_after_an_outage() {
    let mut fleet = fleet();
    for number in 0..6 {
        fleet.start(number, 12);
    }
    fleet.run(5_000, 250);
    let granted = fleet.appends;
    fleet.run(310_000, 5_000);
    let renewed = fleet.appends - granted;

    fleet.log_down = true;
    fleet.run(400_000, 5_000);
    fleet.log_down = false;
    let before = fleet.appends;
    fleet.run(1_000, 250);
    let first = fleet.appends - before;
    fleet.run(14_000, 250);

    println!("{renewed} renewals a third of the autonomy, {first} in the first second after");
    // At most one record per slot in each third, and no second record after the outage.
    assert!(renewed <= 64, "{renewed}");
    assert!(first <= 64, "{first}");
    assert!(fleet.appends - before <= 64);
    assert!(Slot::all().all(|slot| {
        let held = fleet.fold.state().slot(slot);
        held.is_some_and(|held| held.ceiling > fleet.now)
    }));
}

/// Guards against a domain that starts later never getting a slot to mint keys in.
#[test]
fn late_domain_gets_slots() {
    let mut fleet = fleet();
    fleet.start(0, 3);
    fleet.run(5_000, 250);
    let alone = fleet.counts();
    fleet.start(1, 3);
    fleet.start(2, 3);

    fleet.run(30_000, 250);

    assert_eq!(alone.values().sum::<usize>(), 64);
    let counts = fleet.counts();
    println!("{counts:?}, {} appends", fleet.appends);
    assert_eq!(counts.values().sum::<usize>(), 64);
    assert!(counts.values().all(|count| (20..=22).contains(count)));
}
