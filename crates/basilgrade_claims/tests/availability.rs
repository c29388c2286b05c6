//! What is refused, and for how long, when a part of the system fails.

mod sim;

use basilgrade_claims::decision::Decision;
use basilgrade_claims::decision::Refusal;
use basilgrade_claims::safety::SafetyChecks;
use sim::history::Event;
use sim::plan::Call;
use sim::plan::Fault;
use sim::plan::Plan;

/// When the failure begins, in milliseconds from the start of a run.
const FAILURE: u64 = 20_000;

/// Calls with new keys every 20 ms at the daemons in `callers`.
fn plan(seed: u64, vms: usize, callers: &[usize], faults: &[Fault]) -> Plan {
    let call = |number: usize| Call {
        at: 10_000 + 20 * number as u64,
        key: number,
        vm: callers[number % callers.len()],
        other_body: false,
    };
    Plan {
        seed,
        span: 50_000,
        domains: 1,
        vms,
        key_spread: 0,
        claim_limit: 100_000,
        faults: faults.iter().map(|fault| (FAILURE, *fault)).collect(),
        calls: (0..2_000).map(call).collect(),
    }
}

/// Times of the calls that were not granted, and why, in milliseconds from the failure.
fn refusals(plan: &Plan) -> Vec<(i64, Decision)> {
    let world = sim::run(plan, SafetyChecks::default());
    assert_eq!(world.history.violation(), None);
    let events = &world.history.events;
    let called = |attempt: u128| {
        let of = |event: &&(u64, usize, u128, Event)| event.2 == attempt;
        events.iter().find(of).map_or(0, |event| event.0)
    };
    let mut refusals = Vec::new();
    for (_, _, attempt, event) in events {
        if let Event::Decided { decision } = event
            && *decision != Decision::Granted
        {
            let at = called(*attempt) as i64 - (sim::START + FAILURE) as i64;
            refusals.push((at, decision.clone()));
        }
    }
    refusals
}

/// Guards against a dead VM affecting others' requests beyond detection (3 s) and a new grant
/// (3 s).
#[test]
fn one_death_is_over_in_seconds() {
    for seed in 0..5 {
        let death = Fault::Kill {
            vm: 0,
            down: 90_000,
        };
        let refusals = refusals(&plan(seed, 4, &[1, 2, 3], &[death]));

        let last = refusals.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let before = refusals.iter().filter(|(at, _)| *at < -1_500).count();

        println!(
            "seed {seed}: {} of 2000 refused, the last {last} ms after",
            refusals.len()
        );
        assert_eq!(before, 0, "seed {seed}");
        assert!(last < 6_000, "seed {seed}: {last}");
    }
}

/// Guards against a log outage shorter than what is left of the autonomy refusing any request.
#[test]
fn log_outage_within_the_autonomy_refuses_nothing() {
    for seed in 0..5 {
        let outage = Fault::NoLog {
            group: 0b1111,
            span: 7_000,
        };

        let refusals = refusals(&plan(seed, 4, &[0, 1, 2, 3], &[outage]));

        assert_eq!(refusals, [], "seed {seed}");
    }
}

/// Guards against slots staying without owner, or lost keys running, after both members died.
#[test]
fn death_of_both_members_is_over_at_the_ceiling() {
    for seed in 0..5 {
        // One of four daemons is left, so the pairs among the other three are gone.
        let deaths = [0, 1, 2].map(|vm| Fault::Kill { vm, down: 90_000 });

        let refusals = refusals(&plan(seed, 4, &[3], &deaths));

        let last = refusals.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let unknown = refusals
            .iter()
            .filter(|(_, decision)| *decision == Decision::MayHaveRun)
            .count();
        println!(
            "seed {seed}: {} refused, {unknown} lost, the last {last} ms after",
            refusals.len()
        );
        // The autonomy of 12 s, clocks that differ by up to 4 s, and detection.
        assert!(unknown > 0, "seed {seed}: no pair was lost");
        assert!(last < 19_000, "seed {seed}: {last}");
    }
}

/// Guards against a graceful shutdown refusing requests of other daemons.
#[test]
fn drained_daemon_refuses_nobody_else() {
    for seed in 0..5 {
        let drain = Fault::Drain { vm: 0 };

        let refusals = refusals(&plan(seed, 4, &[1, 2, 3], &[drain]));

        let busy = refusals
            .iter()
            .filter(|(_, decision)| *decision != Decision::NotRun(Refusal::Ahead))
            .count();
        println!("seed {seed}: {busy} refused");
        assert_eq!(busy, 0, "seed {seed}: {refusals:?}");
    }
}

/// Guards against claims or answers being lost when all VMs are replaced one after another: a key
/// that ran gets its stored answer from a pair that did not exist when it ran.
#[test]
fn answers_survive_the_replacement_of_all_daemons() {
    for seed in 0..5 {
        let mut plan = plan(seed, 4, &[0, 1, 2, 3], &[]);
        plan.faults = (0..4)
            .map(|vm| (12_000 + 5_000 * vm as u64, Fault::Drain { vm }))
            .collect();
        plan.calls.truncate(50);
        let repeat = |call: &Call| Call {
            at: call.at + 23_000,
            ..*call
        };
        let repeats: Vec<_> = plan.calls.iter().map(repeat).collect();
        plan.calls.extend(repeats);

        let world = sim::run(&plan, SafetyChecks::default());

        assert_eq!(world.history.violation(), None);
        let since = sim::START + 30_000;
        let events = &world.history.events;
        let ran = events
            .iter()
            .filter(|(at, _, _, event)| {
                *at < since && matches!(event, Event::Answered { verdict: "ran" })
            })
            .count();
        let answered = events.iter().filter(|(.., event)| {
            let answered = |decision: &Decision| matches!(decision, Decision::Answered(_));
            matches!(event, Event::Decided { decision } if answered(decision))
        });
        let starts = (0..4).filter_map(|vm| world.claims(vm));
        println!("seed {seed}: {ran} ran, all of 50 repeated");
        assert!(starts.map(|claims| claims.node().incarnation.0).min() > Some(sim::START + 12_000));
        assert_eq!(answered.count(), ran, "seed {seed}");
    }
}
