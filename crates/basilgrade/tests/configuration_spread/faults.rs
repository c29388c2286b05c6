//! Faults of machines, links and the store during a run.

use std::sync;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;

use crate::fleet;
use crate::network;
use crate::store_view;

/// Time until a process that has ended starts again.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Grace period of a daemon that is stopped.
const GRACE: time::Duration = time::Duration::from_secs(8);

/// Periods in which a slow machine stands still and runs.
const SLOW_PAUSE: time::Duration = time::Duration::from_millis(200);
const SLOW_RUN: time::Duration = time::Duration::from_millis(50);

/// Share of the bandwidth that a squeezed link has.
const SQUEEZE: f64 = 0.1;

/// Time for which the reads of daemons are counted to find the one that reads for others.
const READER_WINDOW: time::Duration = time::Duration::from_millis(1500);

/// What happens to a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    Kill,
    PowerLoss,
    Freeze,
    Slowness,
    /// The link has a tenth of its bandwidth.
    Squeeze,
    CutFromStore,
    Cut,
    /// The store treats the machine in this way.
    Store(store_view::Treatment),
    Connections(network::Break),
    Hangup,
    /// The process is stopped with SIGTERM and started again.
    Stop,
}

/// Machines that a fault hits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target {
    /// The machine that reads the store for its failure domain, chosen at random.
    Reader,
    /// The reader of a failure domain, and the next one after this time, and so on.
    Readers(u32),
    /// This share of all machines, in percent.
    Share(u32),
}

/// Faults with their targets, of which a run draws one after the other.
pub(crate) type Mix = &'static [(Fault, Target)];

const SILENT: Fault = Fault::Store(store_view::Treatment::Silent);
const BUSY: Fault = Fault::Store(store_view::Treatment::Busy);
const CLOSES: Fault = Fault::Store(store_view::Treatment::Closes);
const SLOW_STORE: Fault = Fault::Store(store_view::Treatment::Answers(
    time::Duration::from_millis(240),
));

pub(crate) const READERS: Mix = &[
    (Fault::Kill, Target::Reader),
    (Fault::PowerLoss, Target::Reader),
    (Fault::Freeze, Target::Reader),
    (Fault::Slowness, Target::Reader),
    (Fault::CutFromStore, Target::Reader),
    (Fault::Cut, Target::Reader),
    (SILENT, Target::Reader),
    (Fault::Connections(network::Break::Silence), Target::Reader),
    (Fault::Connections(network::Break::Reset), Target::Reader),
];

pub(crate) const SERIES: Mix = &[
    (Fault::PowerLoss, Target::Readers(4)),
    (Fault::Freeze, Target::Readers(4)),
    (Fault::Slowness, Target::Readers(4)),
    (Fault::CutFromStore, Target::Readers(4)),
    (Fault::Cut, Target::Readers(4)),
    (SILENT, Target::Readers(4)),
    (Fault::Stop, Target::Readers(4)),
];

pub(crate) const SQUEEZES: Mix = &[
    (Fault::Squeeze, Target::Reader),
    (Fault::Squeeze, Target::Readers(2)),
];

pub(crate) const SHARES: Mix = &[
    (SILENT, Target::Share(33)),
    (BUSY, Target::Share(33)),
    (CLOSES, Target::Share(33)),
    (SLOW_STORE, Target::Share(100)),
    (Fault::Slowness, Target::Share(15)),
    (Fault::Freeze, Target::Share(11)),
    (Fault::PowerLoss, Target::Share(16)),
    (Fault::Cut, Target::Share(17)),
    (Fault::CutFromStore, Target::Share(17)),
    (Fault::Kill, Target::Share(55)),
    (Fault::Hangup, Target::Share(60)),
    (Fault::Stop, Target::Share(20)),
    (
        Fault::Connections(network::Break::Silence),
        Target::Share(100),
    ),
    (Fault::Connections(network::Break::Reset), Target::Share(50)),
];

async fn signal_for(fleet: &fleet::Fleet, daemon: usize, span: time::Duration) {
    fleet.lock_daemon(daemon).signal("STOP");
    tokio::time::sleep(span).await;
    fleet.lock_daemon(daemon).signal("CONT");
}

async fn slow_down(fleet: &fleet::Fleet, daemon: usize, span: time::Duration) {
    let end = time::Instant::now() + span;
    while time::Instant::now() < end {
        signal_for(fleet, daemon, SLOW_PAUSE).await;
        tokio::time::sleep(SLOW_RUN).await;
    }
}

/// Cuts the machine from what `reach` leaves out for `span`.
async fn cut(fleet: &fleet::Fleet, daemon: usize, reach: network::Reach, span: time::Duration) {
    fleet.machines[daemon].set_reach(reach);
    tokio::time::sleep(span).await;
    fleet.machines[daemon].set_reach(network::Reach::All);
}

async fn lose_power(fleet: &fleet::Fleet, daemon: usize, span: time::Duration) {
    let machine = &fleet.machines[daemon];
    machine.set_reach(network::Reach::Nothing);
    fleet.lock_daemon(daemon).kill();
    tokio::time::sleep(span).await;
    machine.break_connections(network::Break::Reset);
    machine.set_reach(network::Reach::All);
    fleet.lock_daemon(daemon).start();
}

fn treat(fleet: &fleet::Fleet, daemon: usize, treatment: store_view::Treatment) {
    *fleet.views[daemon]
        .treatment
        .lock()
        .expect("no holder of the lock panics") = treatment;
}

/// Has `fault` hit the machine of `daemon` for `span`, and records the disruption; does nothing while
/// another fault hits it.
async fn strike(fleet: sync::Arc<fleet::Fleet>, fault: Fault, daemon: usize, span: time::Duration) {
    if fleet.is_hit[daemon].swap(true, atomic::Ordering::Relaxed) {
        return;
    }
    hit(&fleet, fault, daemon, span).await;
    fleet.is_hit[daemon].store(false, atomic::Ordering::Relaxed);
}

async fn hit(fleet: &fleet::Fleet, fault: Fault, daemon: usize, span: time::Duration) {
    let began = time::Instant::now();
    match fault {
        Fault::Kill => {
            fleet.lock_daemon(daemon).kill();
            tokio::time::sleep(RESTART_PAUSE).await;
            fleet.lock_daemon(daemon).start();
        }
        Fault::PowerLoss => lose_power(fleet, daemon, span).await,
        Fault::Freeze => signal_for(fleet, daemon, span).await,
        Fault::Slowness => slow_down(fleet, daemon, span).await,
        Fault::Squeeze => {
            fleet.machines[daemon].scale_bandwidth(SQUEEZE);
            tokio::time::sleep(span).await;
            fleet.machines[daemon].scale_bandwidth(1.0 / SQUEEZE);
        }
        Fault::CutFromStore => cut(fleet, daemon, network::Reach::NoStore, span).await,
        Fault::Cut => cut(fleet, daemon, network::Reach::Nothing, span).await,
        Fault::Store(treatment) => {
            treat(fleet, daemon, treatment);
            tokio::time::sleep(span).await;
            treat(
                fleet,
                daemon,
                store_view::Treatment::Answers(fleet::STORE_TIME),
            );
        }
        Fault::Connections(how) => fleet.machines[daemon].break_connections(how),
        Fault::Hangup => {
            fleet.lock_daemon(daemon).signal("HUP");
            // Its settings are the same, so the bound still applies to it.
            return;
        }
        Fault::Stop => {
            fleet.lock_daemon(daemon).signal("TERM");
            tokio::time::sleep(GRACE).await;
            fleet.lock_daemon(daemon).kill();
            fleet.lock_daemon(daemon).start();
        }
    }
    fleet.record_disruption(Some(daemon), began);
}

/// A fault that goes on, with the machines that it hits.
pub(crate) struct Strike {
    tasks: tokio::task::JoinSet<()>,
}

impl Strike {
    /// Waits until the fault is over.
    pub(crate) async fn wait(mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Begins a fault that `random` draws from `mix`; returns its description.
pub(crate) async fn begin(
    fleet: &sync::Arc<fleet::Fleet>,
    mix: Mix,
    random: &mut StdRng,
) -> (String, Strike) {
    let (fault, target) = *mix.choose(random).expect("a mix has faults");
    let span = time::Duration::from_millis(random.random_range(1500..6000));
    let domain = random.random_range(0..fleet::DOMAINS.len());
    let mut tasks = tokio::task::JoinSet::new();
    let mut strike_at = |daemon| {
        tasks.spawn(strike(sync::Arc::clone(fleet), fault, daemon, span));
        fleet.name(daemon)
    };
    let names: Vec<_> = match target {
        Target::Reader => vec![strike_at(fleet.reader(domain, READER_WINDOW).await)],
        Target::Readers(count) => {
            let mut names = Vec::new();
            for _ in 0..count {
                names.push(strike_at(fleet.reader(domain, READER_WINDOW).await));
            }
            names
        }
        Target::Share(percent) => {
            let daemons = 0..fleet.daemons.len();
            let chosen: Vec<_> = daemons
                .filter(|_| random.random_range(0..100) < percent)
                .collect();
            chosen.into_iter().map(strike_at).collect()
        }
    };
    let description = format!("{fault:?} {target:?} {span:?} {}", names.join(" "));
    (description, Strike { tasks })
}
