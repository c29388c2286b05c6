//! Comparison of the measured figures with the targets of the design.

use std::io;
use std::io::Write;

use crate::outcome;
use crate::strategy;

/// Function that returns the figures for the names of a deployment and scenario, and a strategy.
pub(crate) type Lookup<'a> =
    dyn Fn(&str, &str, strategy::Strategy) -> Option<outcome::Figures> + 'a;

/// A target and the measured value.
struct Target {
    name: &'static str,
    deployment: &'static str,
    scenario: &'static str,
    measured: f64,
    bound: f64,
    /// Whether the bound is a minimum of the measured value; otherwise it is a maximum.
    minimum: bool,
}

impl Target {
    fn met(&self) -> bool {
        if self.minimum {
            self.measured >= self.bound
        } else {
            self.measured <= self.bound
        }
    }
}

/// All targets for which the required figures exist.
fn targets(lookup: &Lookup, capacity: &dyn Fn(&str) -> f64) -> Vec<Target> {
    let policy =
        |deployment: &str, scenario: &str| lookup(deployment, scenario, strategy::Strategy::Policy);
    let mut targets = Vec::new();
    for deployment in ["birrete", "adwenkor"] {
        let mut add_target = |name, scenario, measured, bound, minimum| {
            targets.push(Target {
                name,
                deployment,
                scenario,
                measured,
                bound,
                minimum,
            });
        };
        if let Some(found) = policy(deployment, "slow-engine") {
            add_target("attainment", "slow-engine", found.attainment, 0.99, true);
            add_target("recovery in s", "slow-engine", found.recovery, 10.0, false);
        }
        if let Some(found) = policy(deployment, "domain-lost") {
            add_target("recovery in s", "domain-lost", found.recovery, 10.0, false);
        }
        if let Some(found) = policy(deployment, "overload-1.5") {
            let share = found.generated / capacity(deployment);
            add_target("goodput per capacity", "overload-1.5", share, 0.9, true);
        }
        if let (Some(with_greedy), Some(without_greedy)) = (
            policy(deployment, "greedy"),
            policy(deployment, "steady-0.7"),
        ) {
            let lost = without_greedy.others - with_greedy.others;
            add_target(
                "attainment lost to a greedy customer",
                "greedy",
                lost,
                0.01,
                false,
            );
        }
        for scenario in ["steady-0.5", "steady-0.7", "steady-0.9", "lost-events"] {
            let full_knowledge = lookup(deployment, scenario, strategy::Strategy::Oracle);
            if let (Some(found), Some(full_knowledge)) =
                (policy(deployment, scenario), full_knowledge)
            {
                let share = found.hits / full_knowledge.hits.max(1e-9);
                add_target("hits of full knowledge", scenario, share, 0.9, true);
            }
            if let Some(found) = policy(deployment, scenario)
                && let Some(minimum) = least_billed(lookup, deployment, scenario, found.attainment)
                && deployment == "adwenkor"
            {
                // Adding a tenth of a MiB per 1,000 requests keeps the ratio finite and ignores
                // negligible traffic.
                let ratio = (found.billed + 0.1) / (minimum + 0.1);
                add_target("billed bytes of the least", scenario, ratio, 1.1, false);
            }
        }
    }
    targets
}

/// Lowest traffic of the strategies with full knowledge whose attainment is at most 0.001 below
/// `attainment`.
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
        let comparison = if target.minimum { ">=" } else { "<=" };
        let result = if target.met() { "met" } else { "missed" };
        println!(
            "{result:6} {:9} {:14} {:37} {:.4} {comparison} {}",
            target.deployment, target.scenario, target.name, target.measured, target.bound
        );
        writeln!(
            file,
            "{},{},{},{:.5},{},{result}",
            target.name, target.deployment, target.scenario, target.measured, target.bound
        )?;
    }
    Ok(())
}
