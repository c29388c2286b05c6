//! Placement, admission, health checks, retry budget, ranking of daemons and the directory.

mod common;

use std::sync;

use basilgrade_fleet::admission;
use basilgrade_fleet::budget;
use basilgrade_fleet::daemon;
use basilgrade_fleet::directory;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::model::priority;
use basilgrade_fleet::model::prompt;
use basilgrade_fleet::placement;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use common::domain;
use common::upstream;

const NOW: clock::Millis = clock::Millis(100_000);

fn topology() -> placement::Topology {
    let regions = [("a", "north"), ("b", "south")];
    placement::Topology {
        domain: domain("a"),
        regions: regions
            .into_iter()
            .map(|(name, region)| (domain(name), region.parse().expect("valid name")))
            .collect(),
    }
}

fn demand<'a>(
    tried: &'a [id::UpstreamId],
    prompt: Option<&'a prompt::Prompt>,
) -> placement::Demand<'a> {
    placement::Demand {
        prompt,
        result_domain: None,
        transfer_cost: 0.0,
        tried,
        held: &[],
        draw: None,
    }
}

fn prompt(subject: &str) -> prompt::Prompt {
    prompt::Prompt {
        tokens: 9000,
        max_output: 50,
        parts: vec![
            prompt::Part::new("system", 2500),
            prompt::Part::new(subject, 3800),
            prompt::Part::new("own", 2700),
        ],
    }
}

fn choose(
    upstreams: &[sync::Arc<upstream::Upstream>],
    demand: &placement::Demand<'_>,
) -> Option<String> {
    placement::choose(NOW, &topology(), demand, upstreams.iter())
        .map(|chosen| chosen.id.as_str().to_owned())
}

fn engines() -> Vec<sync::Arc<upstream::Upstream>> {
    let near = (0..4).map(|number| upstream(number, "a"));
    let far = (4..8).map(|number| upstream(number, "b"));
    near.chain(far).map(sync::Arc::new).collect()
}

/// Guards against long shared parts of prompts that an engine in each failure domain prefills
/// again, and against short shared parts that send requests to another region.
#[test]
fn requests_with_shared_prompt_parts_use_one_engine() {
    let engines = engines();
    let mut far = topology();
    far.domain = domain("b");
    let mut reached = std::collections::HashSet::new();
    for subject in ["x", "y", "z", "u", "v", "w"] {
        let long = prompt(subject);
        let wanted = demand(&[], Some(&long));
        let near = placement::choose(NOW, &topology(), &wanted, engines.iter())
            .expect("an engine was chosen");
        let other =
            placement::choose(NOW, &far, &wanted, engines.iter()).expect("an engine was chosen");
        assert_eq!(near.id, other.id);
        reached.insert(near.domain.clone());

        let mut short = prompt(subject);
        for part in &mut short.parts {
            part.tokens /= 20;
        }
        short.tokens /= 20;
        let wanted = demand(&[], Some(&short));
        let near = placement::choose(NOW, &topology(), &wanted, engines.iter())
            .expect("an engine was chosen");
        assert_eq!(near.domain, domain("a"));
    }
    assert_eq!(reached.len(), 2);
}

/// Guards against overload of the engine that is preferred for a popular part of prompts.
#[test]
fn loaded_engine_is_not_preferred() {
    let engines = engines();
    let prompt = prompt("popular");
    let home = choose(&engines, &demand(&[], Some(&prompt))).expect("an engine was chosen");
    let loaded = engines.iter().find(|entry| entry.id.as_str() == home);
    let stats = &loaded
        .expect("chosen engine is one of the candidates")
        .stats;
    for _ in 0..4 {
        stats.begin();
        stats.add_tokens(9000);
    }

    let next = choose(&engines, &demand(&[], Some(&prompt))).expect("an engine was chosen");

    assert_ne!(next, home);
}

/// Guards against requests that go to an upstream which has just failed.
#[test]
fn failed_and_tried_upstreams_are_avoided() {
    let engines = engines();
    for entry in &engines[..3] {
        entry.stats.record(NOW, health::Outcome::Unreachable);
        entry.stats.record(NOW, health::Outcome::Unreachable);
    }

    let chosen = choose(&engines, &demand(&[], None));
    let tried: Vec<id::UpstreamId> = engines[3..].iter().map(|entry| entry.id.clone()).collect();
    let last_resort = choose(&engines, &demand(&tried, None));

    assert_eq!(chosen.as_deref(), Some("u3"));
    assert!(
        last_resort.is_some(),
        "a failing upstream stays available as the last resort"
    );
}

/// Guards against large stage results that are transferred to another failure domain without need.
#[test]
fn request_is_placed_near_large_results() {
    let engines = engines();
    let holder = domain("b");
    let mut wanted = demand(&[], None);
    wanted.result_domain = Some(&holder);
    wanted.transfer_cost = 300.0;

    let chosen = choose(&engines, &wanted).expect("an engine was chosen");

    assert!(["u4", "u5", "u6", "u7"].contains(&chosen.as_str()));
}

/// Guards against an upstream that stays backed off after it has recovered.
#[test]
fn backoff_grows_with_failures_and_ends() {
    let stats = health::Stats::default();
    for _ in 0..2 {
        stats.record(NOW, health::Outcome::Unreachable);
    }
    assert!(stats.is_backing_off(NOW));
    assert!(!stats.is_backing_off(NOW.plus(clock::Millis(2500))));

    for _ in 0..8 {
        stats.record(NOW, health::Outcome::Unreachable);
    }
    assert!(stats.is_backing_off(NOW.plus(clock::Millis(7000))));
    assert!(!stats.is_backing_off(NOW.plus(clock::Millis(9000))));

    stats.record(NOW, health::Outcome::Answered(clock::Millis(20)));
    stats.record(NOW, health::Outcome::Failed);
    assert!(!stats.is_backing_off(NOW.plus(clock::Millis(9000))));
}

/// Guards against a sound upstream that is avoided for seconds after it was silent for a moment.
#[test]
fn backoff_for_a_silence_ends_with_the_silence() {
    let stats = health::Stats::default();
    for _ in 0..30 {
        stats.record(NOW, health::Outcome::Silent);
    }
    assert!(stats.is_backing_off(NOW));
    assert!(!stats.is_backing_off(NOW.plus(clock::Millis(1500))));

    stats.record_event();

    assert!(!stats.is_backing_off(NOW));
    assert!(!stats.is_unreliable());
    stats.record(NOW, health::Outcome::Silent);
    assert!(!stats.is_backing_off(NOW));
}

/// Guards against daemons that together send more retries than the shared budget allows.
#[test]
fn retries_of_all_daemons_stay_within_the_budget() {
    let pool = common::pool_id("pool");
    let config = budget::Config {
        ratio: 0.2,
        floor: 58.0,
        window: clock::Millis(10_000),
    };
    let daemons = 9;
    let mut retries = 0;
    for _ in 0..daemons {
        let mut budget = budget::Budget::new(config);
        for step in 0..100 {
            let now = NOW.plus(clock::Millis(step * 50));
            budget.deposit(now, &pool);
            retries += u32::from(budget.try_withdraw(now, &pool, daemons));
        }
    }

    assert!(f64::from(retries) <= 0.2 * 900.0 + 58.0);
    assert!(retries > 100, "budget allows only {retries} retries");
}

/// Guards against requests that wait although they cannot be served before their deadline.
#[test]
fn request_without_enough_time_is_refused() {
    let arrival = |left, stages| admission::Arrival {
        time_left: clock::Millis(left),
        stage_time: clock::Millis(stages),
        first_byte: clock::Millis(150),
    };

    assert_eq!(
        admission::admit(&arrival(2000, 1000)),
        admission::Admission::Admit
    );
    let refused = admission::admit(&arrival(2000, 3000));
    assert_eq!(refused, admission::Admission::Refuse(clock::Millis(1150)));
}

/// Guards against refused callers that all retry at once, or too late to be served.
#[test]
fn retry_delay_is_spread_within_a_third_of_the_time_left() {
    let time_left = clock::Millis(6000);
    let capacity_in = clock::Millis(800);

    let first = admission::retry_after(time_left, capacity_in, 0.0);
    let last = admission::retry_after(time_left, capacity_in, 0.999);

    assert_eq!(first, capacity_in);
    assert!(last > clock::Millis(1500) && last <= clock::Millis(2000));
    assert_eq!(
        admission::retry_after(time_left, clock::Millis(9000), 0.5),
        clock::Millis(2000)
    );
}

/// Guards against daemons that disagree on which daemon performs a duty, and against one daemon
/// that performs all duties.
#[test]
fn daemons_agree_on_duties_and_share_them() {
    let daemon = |number: u16| daemon::Daemon {
        name: format!("vm{number}").parse().expect("valid name"),
        address: ([10, 0, 0, 2], number).into(),
        domain: domain("a"),
        seen_at: NOW,
        keeps_streams: true,
        shares_loads: true,
        packs_updates: true,
    };
    let mut chosen = std::collections::HashSet::new();
    for duty in 0..40 {
        let mut one: Vec<_> = (0..9).map(daemon).collect();
        let mut other: Vec<_> = (0..9).rev().map(daemon).collect();
        daemon::rank(&format!("duty{duty}"), &mut one);
        daemon::rank(&format!("duty{duty}"), &mut other);
        assert_eq!(one, other);
        chosen.insert(one[0].name.clone());
    }

    assert!(chosen.len() >= 7);
}

/// Guards against a route priority that outranks the customer's, or that has no effect among
/// requests of the same customer priority.
#[test]
fn customer_priority_outranks_route_priority() {
    let urgent = priority::Priority::new(Some(1), 0);
    let usual = priority::Priority::new(Some(1), 2);
    let first_customer = priority::Priority::new(Some(0), 2);

    assert!(urgent < usual);
    assert!(first_customer < urgent);
    assert_eq!(priority::Priority::new(None, 2), usual);
}

/// Guards against failures of one run of an upstream that count against the next run.
#[test]
fn stats_are_reset_for_a_new_run() {
    let mut directory = directory::Directory::default();
    let mut entry = upstream(1, "a");
    entry.started_at = Some(clock::Millis(1));
    directory.put(entry.clone());
    let known = directory
        .get(&entry.id)
        .expect("upstream is in the directory");
    known.stats.begin();

    let mut same = upstream(1, "a");
    same.started_at = Some(clock::Millis(1));
    directory.put(same);
    assert_eq!(
        directory
            .get(&entry.id)
            .expect("upstream is in the directory")
            .stats
            .active(),
        1
    );

    let mut restarted = upstream(1, "a");
    restarted.started_at = Some(clock::Millis(2));
    directory.put(restarted);
    assert_eq!(
        directory
            .get(&entry.id)
            .expect("upstream is in the directory")
            .stats
            .active(),
        0
    );
}

/// Guards against upstreams that are removed because the log was unavailable and their entries
/// lapsed.
#[test]
fn missing_upstreams_are_kept_until_expiry() {
    let mut directory = directory::Directory::default();
    directory.put(upstream(1, "a"));
    directory.put(upstream(2, "a"));
    let pool = common::pool_id("pool");
    for number in [1, 2] {
        directory.mark_missing(&upstream(number, "a").id);
    }
    assert_eq!(directory.ready(&pool).count(), 2);

    directory.put(upstream(2, "a"));
    let expired = directory.expire();

    assert_eq!(expired.len(), 1);
    let left: Vec<_> = directory
        .ready(&pool)
        .map(|entry| entry.id.as_str().to_owned())
        .collect();
    assert_eq!(left, ["u2"]);
}

/// Guards against new requests to an upstream that is shutting down.
#[test]
fn draining_upstream_is_not_ready() {
    let mut directory = directory::Directory::default();
    let mut draining = upstream(1, "a");
    draining.state = upstream::State::Draining;
    directory.put(draining);

    assert_eq!(directory.ready(&common::pool_id("pool")).count(), 0);
}

/// Guards against permits of an engine with a limit that are spent on requests which any engine
/// serves as well, and against requests that leave the engine with their shared parts.
#[test]
fn engine_with_a_limit_serves_requests_with_shared_parts_first() {
    let engines: Vec<_> = (0..4)
        .map(|number| sync::Arc::new(upstream(number, "a")))
        .collect();
    let shared = prompt("subject");
    let home = choose(&engines, &demand(&[], Some(&shared))).expect("there is an engine");
    let limited = engines
        .iter()
        .find(|engine| engine.id.as_str() == home)
        .expect("the engine exists");
    let rate = Some(rate::RequestRate(1.0));
    limited
        .stats
        .update_limit(|limit| limit.record_answer(NOW, rate));
    let held = [limited.id.clone()];

    let with_parts = choose(&engines, &demand(&[], Some(&shared)));
    let plain: Vec<_> = (0..20)
        .map(|_| choose(&engines, &demand(&[], None)))
        .collect();
    let elsewhere = choose(
        &engines,
        &placement::Demand {
            held: &held,
            draw: None,
            ..demand(&[], Some(&shared))
        },
    );

    assert_eq!(with_parts, Some(home.clone()));
    assert!(!plain.contains(&Some(home.clone())));
    assert!(elsewhere.is_some_and(|id| id != home));
}
