//! Compares the figures with the targets of the design page.

use std::io;
use std::io::Write;

use crate::outcome;
use crate::strategy;

/// Looks up the figures of one row by the names of its deployment, scenario and strategy.
pub(crate) type Lookup<'a> =
    dyn Fn(&str, &str, strategy::Strategy) -> Option<outcome::Figures> + 'a;

/// One target and what was measured.
struct Target {
    name: &'static str,
    deployment: &'static str,
    scenario: &'static str,
    measured: f64,
    bound: f64,
    /// Whether the measured value has to be at least the bound, or else at most.
    least: bool,
}

impl Target {
    fn met(&self) -> bool {
        if self.least {
            self.measured >= self.bound
        } else {
            self.measured <= self.bound
        }
    }
}

/// All targets whose rows were run.
fn targets(lookup: &Lookup, capacity: &dyn Fn(&str) -> f64) -> Vec<Target> {
    let policy =
        |deployment: &str, scenario: &str| lookup(deployment, scenario, strategy::Strategy::Policy);
    let mut targets = Vec::new();
    for deployment in ["birrete", "adwenkor"] {
        let mut add = |name, scenario, measured, bound, least| {
            targets.push(Target {
                name,
                deployment,
                scenario,
                measured,
                bound,
                least,
            });
        };
        if let Some(found) = policy(deployment, "slow-engine") {
            add("attainment", "slow-engine", found.attainment, 0.99, true);
            add("recovery in s", "slow-engine", found.recovery, 10.0, false);
        }
        if let Some(found) = policy(deployment, "domain-lost") {
            add("recovery in s", "domain-lost", found.recovery, 10.0, false);
        }
        if let Some(found) = policy(deployment, "overload-1.5") {
            let share = found.generated / capacity(deployment);
            add("goodput per capacity", "overload-1.5", share, 0.9, true);
        }
        if let (Some(beside), Some(alone)) = (
            policy(deployment, "greedy"),
            policy(deployment, "steady-0.7"),
        ) {
            let lost = alone.others - beside.others;
            add(
                "attainment lost to a greedy customer",
                "greedy",
                lost,
                0.01,
                false,
            );
        }
        for scenario in ["steady-0.5", "steady-0.7", "steady-0.9", "lost-events"] {
            let full = lookup(deployment, scenario, strategy::Strategy::Oracle);
            if let (Some(found), Some(full)) = (policy(deployment, scenario), full) {
                let share = found.hits / full.hits.max(1e-9);
                add("hits of full knowledge", scenario, share, 0.9, true);
            }
            if let Some(found) = policy(deployment, scenario)
                && let Some(least) = least_billed(lookup, deployment, scenario, found.attainment)
                && deployment == "adwenkor"
            {
                // A tenth of a MiB per 1,000 requests is counted as none.
                let ratio = (found.billed + 0.1) / (least + 0.1);
                add("billed bytes of the least", scenario, ratio, 1.1, false);
            }
        }
    }
    targets
}

/// The least traffic of a full-knowledge strategy that meets as many deadlines, within a thousandth.
fn least_billed(lookup: &Lookup, deployment: &str, scenario: &str, attainment: f64) -> Option<f64> {
    [strategy::Strategy::Oracle, strategy::Strategy::Thrift]
        .into_iter()
        .filter_map(|strategy| lookup(deployment, scenario, strategy))
        .filter(|found| found.attainment >= attainment - 0.001)
        .map(|found| found.billed)
        .min_by(f64::total_cmp)
}

/// Prints all targets and writes them to `file`.
pub(crate) fn write(
    lookup: &Lookup,
    capacity: &dyn Fn(&str) -> f64,
    file: &mut impl Write,
) -> io::Result<()> {
    writeln!(file, "target,deployment,scenario,measured,bound,met")?;
    for target in targets(lookup, capacity) {
        let relation = if target.least { ">=" } else { "<=" };
        let verdict = if target.met() { "met" } else { "missed" };
        println!(
            "{verdict:6} {:9} {:14} {:37} {:.4} {relation} {}",
            target.deployment, target.scenario, target.name, target.measured, target.bound
        );
        writeln!(
            file,
            "{},{},{},{:.5},{},{verdict}",
            target.name, target.deployment, target.scenario, target.measured, target.bound
        )?;
    }
    Ok(())
}
