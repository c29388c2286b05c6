//! Simulates deployments in virtual time and compares the policy with baseline strategies.
//!
//! `cargo bench --bench policy` runs all scenarios on the reporting seeds. `-- --tune` uses the
//! tuning seeds, and `-- --only a,b` runs only the scenarios whose names start with one of the
//! given texts.

mod cache;
mod daemon;
mod deployment;
mod event;
mod outcome;
mod report;
mod scenario;
mod server;
mod simulation;
mod strategy;
mod targets;
mod workload;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().collect();
    report::run(&report::Options::parse(&arguments))
}
