//! Tests of which claims are refused, and for how long, when parts of the system fail.

mod sim;

use basilgrade_claims::decision::Decision;
use basilgrade_claims::decision::Refusal;
use basilgrade_claims::safety::SafetyChecks;
use sim::history::Event;
use sim::plan::Call;
use sim::plan::Fault;
use sim::plan::Plan;

/// When the failure begins, in milliseconds after the start of a simulation.
const FAILURE_MS: u64 = 20_000;

/// A simulation plan with a call under a new key every 20 ms, at the daemons in `callers` in turn.
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
        faults: faults.iter().map(|fault| (FAILURE_MS, *fault)).collect(),
        calls: (0..2_000).map(call).collect(),
    }
}

/// Runs the plan and returns the calls that were not granted: their times in milliseconds relative
/// to the failure, and the decisions.
fn refusals(plan: &Plan) -> Vec<(i64, Decision)> {
    let simulation = sim::run(plan, SafetyChecks::default());
    assert_eq!(simulation.history.violation(), None);
    let events = &simulation.history.events;
    let called_at = |attempt: u128| {
        let of_attempt = |event: &&(u64, usize, u128, Event)| event.2 == attempt;
        events.iter().find(of_attempt).map_or(0, |event| event.0)
    };
    let mut refusals = Vec::new();
    for (_, _, attempt, event) in events {
        if let Event::Decided { decision } = event
            && *decision != Decision::Granted
        {
            let at = called_at(*attempt) as i64 - (sim::START_MS + FAILURE_MS) as i64;
            refusals.push((at, decision.clone()));
        }
    }
    refusals
}

/// Guards against refusals at other daemons for longer than it takes to detect a dead VM (3 s) and
/// to grant its slots again (3 s).
#[test]
fn refusals_after_daemon_death_end_within_six_seconds() {
    for seed in 0..5 {
        let death = Fault::Kill {
            vm: 0,
            down: 90_000,
        };
        let refusals = refusals(&plan(seed, 4, &[1, 2, 3], &[death]));

        let last = refusals.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let before = refusals.iter().filter(|(at, _)| *at < -1_500).count();

        println!(
            "seed {seed}: {} of 2000 calls refused, the last {last} ms after the failure",
            refusals.len()
        );
        assert_eq!(before, 0, "seed {seed}");
        assert!(last < 6_000, "seed {seed}: {last}");
    }
}

/// Guards against refusals during a log outage that is shorter than the rest of the autonomy, the
/// time for which daemons continue without the log.
#[test]
fn log_outage_within_autonomy_causes_no_refusals() {
    for seed in 0..5 {
        let outage = Fault::NoLog {
            group: 0b1111,
            span: 7_000,
        };

        let refusals = refusals(&plan(seed, 4, &[0, 1, 2, 3], &[outage]));

        assert_eq!(refusals, [], "seed {seed}");
    }
}

/// Guards against slots that stay unowned, and against granting keys with lost claims, after the
/// primary and the backup of a slot have both died.
#[test]
fn refusals_after_death_of_both_members_end_after_ceiling() {
    for seed in 0..5 {
        // One of four daemons survives, so slots whose two members are among the other three are
        // unowned.
        let deaths = [0, 1, 2].map(|vm| Fault::Kill { vm, down: 90_000 });

        let refusals = refusals(&plan(seed, 4, &[3], &deaths));

        let last = refusals.iter().map(|(at, _)| *at).max().unwrap_or(0);
        let unknown = refusals
            .iter()
            .filter(|(_, decision)| *decision == Decision::MayHaveRun)
            .count();
        println!(
            "seed {seed}: {} calls refused, {unknown} of unknown outcome, the last {last} ms after the failure",
            refusals.len()
        );
        // The limit is the autonomy of 12 s, the clock skew of up to 4 s and the detection time of
        // 3 s.
        assert!(
            unknown > 0,
            "seed {seed}: no call may have run, so no slot lost both members"
        );
        assert!(last < 19_000, "seed {seed}: {last}");
    }
}

/// Guards against refusals at other daemons during the graceful shutdown of one daemon.
#[test]
fn drain_causes_no_refusals_at_other_daemons() {
    for seed in 0..5 {
        let drain = Fault::Drain { vm: 0 };

        let refusals = refusals(&plan(seed, 4, &[1, 2, 3], &[drain]));

        let refused = refusals
            .iter()
            .filter(|(_, decision)| *decision != Decision::NotRun(Refusal::Ahead))
            .count();
        println!("seed {seed}: {refused} calls refused");
        assert_eq!(refused, 0, "seed {seed}: {refusals:?}");
    }
}

/// Guards against the loss of claims or stored answers when all daemons are replaced one after
/// another: a repeated call gets its answer from a pair of daemons that did not exist at the time
/// of the first call.
#[test]
fn answers_survive_replacement_of_all_daemons() {
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

        let simulation = sim::run(&plan, SafetyChecks::default());

        assert_eq!(simulation.history.violation(), None);
        let since = sim::START_MS + 30_000;
        let events = &simulation.history.events;
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
        let starts = (0..4).filter_map(|vm| simulation.claims(vm));
        println!("seed {seed}: {ran} of 50 calls ran, all were repeated");
        assert!(
            starts.map(|claims| claims.node().incarnation.0).min() > Some(sim::START_MS + 12_000)
        );
        assert_eq!(answered.count(), ran, "seed {seed}");
    }
}
