//! Runs all combinations of deployment, scenario and strategy, and writes the result tables.

use std::fs;
use std::io;
use std::io::Write;
use std::path;
use std::sync::Mutex;
use std::sync::atomic;
use std::thread;

use crate::deployment;
use crate::outcome;
use crate::scenario;
use crate::simulation;
use crate::strategy;
use crate::targets;
use crate::workload;

/// Seeds on which the constants of the policy were chosen.
const TUNING_SEEDS: [u64; 3] = [11, 12, 13];

/// Seeds for the reported figures; no constant was chosen on them.
const REPORTING_SEEDS: [u64; 3] = [101, 102, 103];

/// Number of parallel runs, limited because other users share the machine.
const THREADS: usize = 5;

/// Command-line options that select what to run.
#[derive(Debug)]
pub(crate) struct Options {
    seeds: [u64; 3],
    deployments: Vec<String>,
    scenarios: Vec<String>,
    strategies: Vec<String>,
    /// Whether to print how the requests of each pipeline ended.
    trace: bool,
}

impl Options {
    pub(crate) fn parse(arguments: &[String]) -> Self {
        let list = |name: &str| {
            let position = arguments.iter().position(|argument| argument == name);
            position
                .and_then(|position| arguments.get(position + 1))
                .map(|text| text.split(',').map(str::to_owned).collect())
                .unwrap_or_default()
        };
        let tune = arguments.iter().any(|argument| argument == "--tune");
        Self {
            seeds: if tune { TUNING_SEEDS } else { REPORTING_SEEDS },
            deployments: list("--in"),
            scenarios: list("--only"),
            strategies: list("--with"),
            trace: arguments.iter().any(|argument| argument == "--trace"),
        }
    }

    fn includes(list: &[String], name: &str) -> bool {
        list.is_empty() || list.iter().any(|prefix| name.starts_with(prefix.as_str()))
    }
}

/// One combination and its figures.
struct Row {
    deployment: usize,
    scenario: usize,
    strategy: usize,
    figures: outcome::Figures,
}

/// Requests per second that saturate the engines under the router with full knowledge.
///
/// The capacity is measured as engine calls finished per second at twice the estimated load.
fn capacity(deployment: &deployment::Deployment) -> f64 {
    let saturated = scenario::Scenario {
        name: "saturated",
        kind: scenario::Kind::Steady,
        load: 2.0,
    };
    let mut without_deadlines = deployment.clone();
    for pipeline in &mut without_deadlines.pipelines {
        pipeline.deadline = 1_000_000;
    }
    let estimate = deployment.rough_capacity();
    let requests = workload::draw(&without_deadlines, &saturated, estimate, TUNING_SEEDS[0]);
    let oracle = strategy::Strategy::Oracle;
    let outcome = simulation::Simulation::new(
        &without_deadlines,
        &saturated,
        oracle,
        &requests,
        f64::INFINITY,
        1,
    )
    .run();
    let rate =
        outcome.generated as f64 * 1000.0 / (scenario::ARRIVALS_END_MS - scenario::WARM_UP_MS);
    rate / deployment.engine_share()
}

/// Runs all combinations that `options` select, prints the tables and writes them to files.
pub(crate) fn run(options: &Options) -> io::Result<()> {
    let deployments = [
        deployment::Deployment::birrete(),
        deployment::Deployment::adwenkor(),
        deployment::Deployment::fleet(),
    ];
    let mut capacities: Vec<f64> = deployments[..2].iter().map(capacity).collect();
    // Measuring the fleet would take long. It is a multiple of the first deployment, which has 12
    // engines.
    capacities.push(capacities[0] * deployments[2].pools[0].count as f64 / 12.0);
    let mut combinations = Vec::new();
    for (deployment, shape) in deployments.iter().enumerate() {
        let fleet = shape.name == "fleet";
        for (scenario, found) in scenario::ALL.iter().enumerate() {
            for (strategy, variant) in strategy::ALL.iter().enumerate() {
                if (!fleet || (found.runs_on_fleet() && variant.runs_on_fleet()))
                    && Options::includes(&options.deployments, shape.name)
                    && Options::includes(&options.scenarios, found.name)
                    && Options::includes(&options.strategies, &variant.name())
                {
                    combinations.push((deployment, scenario, strategy));
                }
            }
        }
    }
    let next = atomic::AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(combination) =
                    combinations.get(next.fetch_add(1, atomic::Ordering::Relaxed))
                {
                    let (deployment, scenario, strategy) = *combination;
                    let row = Row {
                        deployment,
                        scenario,
                        strategy,
                        figures: figures(
                            &deployments[deployment],
                            &scenario::ALL[scenario],
                            strategy::ALL[strategy],
                            capacities[deployment],
                            options,
                        ),
                    };
                    if let Ok(mut rows) = rows.lock() {
                        rows.push(row);
                    }
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_default();
    rows.sort_by_key(|row| (row.deployment, row.scenario, row.strategy));
    for (deployment, capacity) in deployments.iter().zip(&capacities) {
        println!("{}: capacity {capacity:.1} requests/s", deployment.name);
    }
    print(&deployments, &rows);
    write(&deployments, &rows)?;
    let lookup = |deployment: &str, scenario: &str, strategy: strategy::Strategy| {
        rows.iter()
            .find(|row| {
                deployments[row.deployment].name == deployment
                    && scenario::ALL[row.scenario].name == scenario
                    && strategy::ALL[row.strategy] == strategy
            })
            .map(|row| row.figures)
    };
    let capacity = |name: &str| {
        let position = deployments.iter().position(|found| found.name == name);
        // The capacity in targets counts only the requests that use the engines.
        position.map_or(0.0, |position| {
            capacities[position] * deployments[position].engine_share()
        })
    };
    let mut file = fs::File::create(results_directory()?.join("targets.csv"))?;
    targets::write(&lookup, &capacity, &mut file)
}

/// Creates the directory of the results and returns its path.
fn results_directory() -> io::Result<path::PathBuf> {
    let results_directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/policy");
    fs::create_dir_all(&results_directory)?;
    Ok(results_directory)
}

fn figures(
    deployment: &deployment::Deployment,
    scenario: &scenario::Scenario,
    strategy: strategy::Strategy,
    capacity: f64,
    options: &Options,
) -> outcome::Figures {
    // One run of the fleet has as many requests as 15 runs of the other deployments.
    let count = if deployment.name == "fleet" {
        1
    } else {
        options.seeds.len()
    };
    let runs: Vec<_> = options
        .seeds
        .iter()
        .take(count)
        .map(|seed| {
            let requests = workload::draw(deployment, scenario, capacity, *seed);
            let outcome = simulation::Simulation::new(
                deployment, scenario, strategy, &requests, capacity, *seed,
            )
            .run();
            if options.trace {
                for (index, pipeline) in deployment.pipelines.iter().enumerate() {
                    let ends = outcome.trace(index);
                    println!(
                        "{} {} {seed} {}: {ends}",
                        scenario.name,
                        strategy.name(),
                        pipeline.name
                    );
                }
            }
            outcome.figures(deployment.customers.len())
        })
        .collect();
    outcome::Figures::mean(&runs)
}

fn print(deployments: &[deployment::Deployment], rows: &[Row]) {
    print!("{:9} {:14} {:17}", "", "", "");
    for name in outcome::COLUMNS {
        print!(" {name:>9}");
    }
    println!();
    for row in rows {
        print!(
            "{:9} {:14} {:17}",
            deployments[row.deployment].name,
            scenario::ALL[row.scenario].name,
            strategy::ALL[row.strategy].name(),
        );
        for value in row.figures.columns() {
            print!(" {value:>9.4}");
        }
        println!();
    }
}

fn write(deployments: &[deployment::Deployment], rows: &[Row]) -> io::Result<()> {
    let mut file = fs::File::create(results_directory()?.join("policy.csv"))?;
    writeln!(
        file,
        "deployment,scenario,strategy,{}",
        outcome::COLUMNS.join(",")
    )?;
    for row in rows {
        let values: Vec<_> = row
            .figures
            .columns()
            .iter()
            .map(|value| format!("{value:.5}"))
            .collect();
        writeln!(
            file,
            "{},{},{},{}",
            deployments[row.deployment].name,
            scenario::ALL[row.scenario].name,
            strategy::ALL[row.strategy].name(),
            values.join(",")
        )?;
    }
    Ok(())
}
