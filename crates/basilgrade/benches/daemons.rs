//! Control traffic, processor time and memory of idle daemon processes in one failure domain.
//!
//! The footprint benchmark of the membership package measures the protocol alone; this one measures
//! whole processes, with frames, keyed hashes, polls and claims.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::time;

use basilgrade_standins::caller;
use support::deployment;

/// Numbers of daemons measured.
const SIZES: [usize; 4] = [3, 7, 13, 19];

/// Time in which the joins and the first grants are left behind.
const WARM_UP: time::Duration = time::Duration::from_secs(10);

/// Time measured after the daemons have settled.
const SPAN: time::Duration = time::Duration::from_secs(20);

/// Clock ticks per second that the kernel reports processor time in; fixed on Linux.
const TICKS: f64 = 100.0;

#[derive(Clone, Copy, Default)]
struct Reading {
    sent: f64,
    received: f64,
    processor: f64,
    memory: f64,
}

#[tokio::main]
async fn main() {
    println!("daemons  sent_B_per_s  received_B_per_s  core_percent  resident_MB");
    for size in SIZES {
        let domains = vec!["a"; size];
        let deployment = deployment::start(&domains).await;
        tokio::time::sleep(WARM_UP).await;
        let before = read(&deployment).await;
        tokio::time::sleep(SPAN).await;
        let after = read(&deployment).await;
        let seconds = SPAN.as_secs_f64() * size as f64;
        println!(
            "{size:>7} {:>13.0} {:>17.0} {:>13.2} {:>12.1}",
            (after.sent - before.sent) / seconds,
            (after.received - before.received) / seconds,
            (after.processor - before.processor) / seconds * 100.0,
            after.memory / size as f64,
        );
    }
}

/// Sums over all daemons.
async fn read(deployment: &deployment::Deployment) -> Reading {
    let mut sum = Reading::default();
    for daemon in &deployment.daemons {
        let response = caller::get(daemon.caller, "/metrics")
            .await
            .expect("the daemon answers");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        sum.sent += counter(&text, "direction=\"sent\"");
        sum.received += counter(&text, "direction=\"received\"");
        let process = daemon.process().expect("the daemon runs");
        sum.processor += processor(process);
        sum.memory += memory(process);
    }
    sum
}

fn counter(text: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with("basilgrade_peer_bytes") && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Processor time of a process so far, in seconds.
fn processor(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // Fields are counted after the command name, which may contain spaces.
    let rest = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<f64> = rest
        .split(' ')
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS
}

/// Resident memory of a process, in MB.
fn memory(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(0.0, |kibibytes| kibibytes * 1024.0 / 1e6)
}
