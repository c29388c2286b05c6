//! Configurations that reach every daemon of a large fleet in time.
//!
//! 59 daemons in six failure domains run as processes on the real clock, with links of limited
//! bandwidth between them. Each daemon is asked for each version. `SPREAD_PLAN` (`calm`, `storms`,
//! `readers`, `series`, `squeezes`, `shares` or `all`), `SPREAD_SEED`, `SPREAD_SECONDS` and
//! `SPREAD_ROUTES` select the run of `selected_run_is_in_force_in_time`.

#[path = "configuration_spread/check.rs"]
mod check;
mod edge_support;
#[path = "configuration_spread/faults.rs"]
mod faults;
#[path = "configuration_spread/fleet.rs"]
mod fleet;
#[path = "configuration_spread/network.rs"]
mod network;
#[path = "configuration_spread/store_view.rs"]
mod store_view;

use std::env;
use std::str::FromStr;
use std::sync;
use std::time;

use edge_support::client;
use edge_support::daemon;
use edge_support::port;
use edge_support::server;
use edge_support::store;
use edge_support::upstream;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

/// Time in which all daemons start and find their readers.
const START_TIME: time::Duration = time::Duration::from_secs(14);

/// Versions of a storm and the pause between them.
const STORM: (u64, time::Duration) = (12, time::Duration::from_millis(330));

/// Numbers of idle routes of a usual and of a large configuration.
const SMALL: usize = 60;
const LARGE: usize = 1400;

/// Held by the test whose fleet runs.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
struct Options {
    seed: u64,
    length: time::Duration,
    /// Number of idle routes of a configuration.
    routes: usize,
    mix: Option<faults::Mix>,
    has_storms: bool,
}

fn variable<T: FromStr>(name: &str) -> Option<T> {
    env::var(name).ok()?.parse().ok()
}

/// Publishes versions until `end`, every two to two and a half seconds, and in storms.
async fn operate(fleet: sync::Arc<fleet::Fleet>, options: Options, end: time::Instant) {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut version = 1;
    while time::Instant::now() < end {
        let is_storm = options.has_storms && random.random_range(0..4) == 0;
        let count = if is_storm { STORM.0 } else { 1 };
        for _ in 0..count {
            version += 1;
            fleet.publish(version, options.routes);
            tokio::time::sleep(STORM.1).await;
        }
        let pause = random.random_range(2000..2500) - STORM.1.as_millis() as u64;
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Has faults hit the fleet until `end`, one beginning every few seconds.
async fn disturb(
    fleet: sync::Arc<fleet::Fleet>,
    options: Options,
    began: time::Instant,
    end: time::Instant,
) {
    let Some(mix) = options.mix else {
        return;
    };
    let mut random = StdRng::seed_from_u64(options.seed + 1);
    let mut strikes = tokio::task::JoinSet::new();
    while time::Instant::now() < end {
        let (description, strike) = faults::begin(&fleet, mix, &mut random).await;
        println!("{:7.2} {description}", began.elapsed().as_secs_f64());
        strikes.spawn(strike.wait());
        let pause = random.random_range(500..5000);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
    while strikes.join_next().await.is_some() {}
}

async fn play(options: Options) -> check::Report {
    println!("{options:?}");
    let fleet = fleet::Fleet::start(options.routes).await;
    let mut background = tokio::task::JoinSet::new();
    background.spawn(sync::Arc::clone(&fleet).keep_registered());
    tokio::time::sleep(START_TIME).await;
    for daemon in 0..fleet.daemons.len() {
        background.spawn(sync::Arc::clone(&fleet).probe(daemon));
    }
    let began = time::Instant::now();
    let end = began + options.length;
    let operating = tokio::spawn(operate(sync::Arc::clone(&fleet), options, end));
    let faulting = tokio::spawn(disturb(sync::Arc::clone(&fleet), options, began, end));
    operating.await.expect("the operator does not panic");
    faulting.await.expect("the faults do not panic");
    tokio::time::sleep(check::BOUND).await;
    background.shutdown().await;
    let report = check::check(&fleet);
    for is_in_touch in [true, false] {
        if let Some(lag) = report.longest(is_in_touch) {
            println!(
                "longest lag, in touch {is_in_touch}: {:?} {} version {} held {} at {:.2}",
                lag.span,
                fleet.name(lag.daemon),
                lag.version,
                lag.held,
                (lag.sent_at - began).as_secs_f64()
            );
        }
    }
    for lag in report.violations() {
        println!(
            "VIOLATION {:?} {} version {} held {} at {:.2}",
            lag.span,
            fleet.name(lag.daemon),
            lag.version,
            lag.held,
            (lag.sent_at - began).as_secs_f64()
        );
    }
    println!(
        "probes {} regressions {:?}",
        report.probes, report.regressions
    );
    report
}

/// Plays a run, and checks that each daemon acted on each version in time.
async fn expect_in_force_in_time(options: Options) {
    // Two fleets at once would compete for the processors.
    let _turn = TURN.lock().await;

    let report = play(options).await;

    assert!(report.probes > 0, "no daemon served a request");
    assert_eq!(report.violations().count(), 0, "daemons acted too late");
    assert!(report.regressions.is_empty(), "{:?}", report.regressions);
}

/// Guards against daemons that use an older configuration because those that read the store for them
/// fail one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_in_force_in_time_while_readers_fail() {
    expect_in_force_in_time(Options {
        seed: 1,
        length: time::Duration::from_secs(20),
        routes: SMALL,
        mix: Some(faults::READERS),
        has_storms: false,
    })
    .await;
}

/// Guards against daemons that use an older configuration because large ones come faster than a link
/// carries them to all daemons of a failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn storm_of_large_configurations_is_in_force_in_time() {
    expect_in_force_in_time(Options {
        seed: 1,
        length: time::Duration::from_secs(16),
        routes: LARGE,
        mix: None,
        has_storms: true,
    })
    .await;
}

/// Plays the run that the variables of the environment select.
#[ignore = "for runs by hand"]
#[tokio::test(flavor = "multi_thread")]
async fn selected_run_is_in_force_in_time() {
    let plan: String = variable("SPREAD_PLAN").unwrap_or_else(|| "all".to_owned());
    let (mix, has_storms) = match plan.as_str() {
        "calm" => (None, false),
        "storms" => (None, true),
        "readers" => (Some(faults::READERS), false),
        "series" => (Some(faults::SERIES), false),
        "squeezes" => (Some(faults::SQUEEZES), true),
        "shares" => (Some(faults::SHARES), false),
        "all" => (Some(faults::SHARES), true),
        other => panic!("unknown plan `{other}`"),
    };

    expect_in_force_in_time(Options {
        seed: variable("SPREAD_SEED").unwrap_or(1),
        length: time::Duration::from_secs(variable("SPREAD_SECONDS").unwrap_or(45)),
        routes: variable("SPREAD_ROUTES").unwrap_or(SMALL),
        mix,
        has_storms,
    })
    .await;
}
