//! Simulates both deployments in virtual time and compares the policy with its baselines.
//!
//! `cargo bench --bench policy` runs everything on the reporting seeds; `-- --tune` uses the tuning
//! seeds, and `-- --only a,b` runs only scenarios whose names start with one of the given texts.

mod cache;
mod daemon;
mod deployment;
mod event;
mod outcome;
mod report;
mod scenario;
mod server;
mod strategy;
mod targets;
mod workload;
mod world;

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().collect();
    report::run(&report::Options::parse(&arguments))
}
