//! Control traffic, processor time and memory of idle daemon processes in one failure domain.
//!
//! The footprint benchmark of the membership package measures only the membership protocol. This
//! one measures whole processes, including frames, keyed hashes, polls and claims.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::time;

use basilgrade_standins::caller;
use support::deployment;

/// Numbers of daemons to measure, one deployment each.
const DAEMON_COUNTS: [usize; 4] = [3, 7, 13, 19];

/// Time before the measurement, in which the daemons join each other and receive their first
/// grants.
const WARM_UP: time::Duration = time::Duration::from_secs(10);

/// Duration of the measurement.
const MEASUREMENT_TIME: time::Duration = time::Duration::from_secs(20);

/// Clock ticks per second, the unit in which Linux reports processor time to programs; fixed at
/// 100.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage since the start, summed over all daemons of a deployment.
#[derive(Clone, Copy, Default)]
struct Reading {
    sent_bytes: f64,
    received_bytes: f64,
    processor_seconds: f64,
    /// Resident memory at the time of the reading.
    memory_mb: f64,
}

#[tokio::main]
async fn main() {
    println!("daemons  sent_B_per_s  received_B_per_s  core_percent  resident_MB");
    for daemon_count in DAEMON_COUNTS {
        let domains = vec!["a"; daemon_count];
        let deployment = deployment::start(&domains).await;
        tokio::time::sleep(WARM_UP).await;
        let before = read_usage(&deployment).await;
        tokio::time::sleep(MEASUREMENT_TIME).await;
        let after = read_usage(&deployment).await;
        let seconds = MEASUREMENT_TIME.as_secs_f64() * daemon_count as f64;
        println!(
            "{daemon_count:>7} {:>13.0} {:>17.0} {:>13.2} {:>12.1}",
            (after.sent_bytes - before.sent_bytes) / seconds,
            (after.received_bytes - before.received_bytes) / seconds,
            (after.processor_seconds - before.processor_seconds) / seconds * 100.0,
            after.memory_mb / daemon_count as f64,
        );
    }
}

/// Reads the resource usage of all daemons.
async fn read_usage(deployment: &deployment::Deployment) -> Reading {
    let mut sum = Reading::default();
    for daemon in &deployment.daemons {
        let response = caller::get(daemon.caller_address, "/metrics")
            .await
            .expect("the daemon serves its metrics");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        sum.sent_bytes += sum_peer_bytes(&text, "direction=\"sent\"");
        sum.received_bytes += sum_peer_bytes(&text, "direction=\"received\"");
        let process_id = daemon.process_id().expect("the daemon process was started");
        sum.processor_seconds += processor_seconds(process_id);
        sum.memory_mb += resident_memory_mb(process_id);
    }
    sum
}

/// Sums the values of the counter `basilgrade_peer_bytes` with `label` in a metrics page.
fn sum_peer_bytes(text: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with("basilgrade_peer_bytes") && line.contains(label))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Returns the processor time of a process since its start, in seconds.
fn processor_seconds(process_id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    // The command name may contain spaces, so fields are counted from its closing parenthesis.
    // Fields 11 and 12 after it are the ticks in user mode and in kernel mode.
    let after_name = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let fields: Vec<f64> = after_name
        .split(' ')
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in MB.
fn resident_memory_mb(process_id: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(0.0, |kibibytes| kibibytes * 1024.0 / 1e6)
}
