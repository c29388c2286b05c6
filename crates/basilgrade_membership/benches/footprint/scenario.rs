//! Measurements of one deployment shape.

use std::fs;

use basilgrade_membership::status;

use super::counting_allocator;
use super::deployment_shape;
use super::measurement;
use super::world;

/// Time after the start until the daemons know one another and their state is complete.
const SETTLE_MS: u64 = 30_000;
/// Time over which traffic and CPU time are measured for the fitted shapes.
pub(crate) const WINDOW_MS: u64 = 30_000;
/// Measuring time if only the target shape is measured. It is longer than `WINDOW_MS`, because
/// prefix hints accumulate for two minutes, and in a short window it is mostly chance which of the
/// 380 daemons has the most traffic.
pub(crate) const TARGET_WINDOW_MS: u64 = 180_000;
/// Number of configuration changes whose propagation is timed.
const CHANGE_COUNT: u64 = 20;
/// Maximum number of daemons that are killed, one after another.
const MAX_KILLED_DAEMONS: usize = 20;

/// Footprint of a deployment shape, per daemon unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Footprint {
    pub(crate) shape: deployment_shape::DeploymentShape,
    /// Encoded bytes per second, sent and received, mean over the daemons.
    pub(crate) payload_bytes: f64,
    /// Bytes per second including framing, sent and received, mean over the daemons.
    pub(crate) wire_bytes: f64,
    /// Bytes per second including framing, of the daemon with the most traffic.
    pub(crate) max_wire: f64,
    /// Bytes per second including framing, mean over the log readers.
    pub(crate) reader_wire: f64,
    /// Messages per second, sent and received.
    pub(crate) messages: f64,
    /// CPU usage in percent of a core, including the simulation itself.
    pub(crate) cpu_percent: f64,
    /// Heap bytes per node.
    pub(crate) heap_bytes: f64,
    /// Encoded size of the items that a node counts against its memory limit.
    pub(crate) item_bytes: f64,
    /// Reads of the log per second by all daemons together.
    pub(crate) log_reads: f64,
}

/// Simulates a shape until its state is complete, then measures the traffic of `window` ms.
pub(crate) fn measure_steady_traffic(
    shape: deployment_shape::DeploymentShape,
    seed: u64,
    window: u64,
) -> (Footprint, world::World) {
    let mut world = world::World::new(shape, seed);
    world.run(SETTLE_MS);
    world.traffic.fill(measurement::Traffic::default());
    world.log.reads.clear();
    let started = cpu_time_ns();
    world.run(window);
    let spent = cpu_time_ns() - started;
    let seconds = window as f64 / 1000.0;
    let daemons = shape.daemons() as f64;
    let per_daemon: Vec<f64> = world
        .traffic
        .iter()
        .map(|traffic| traffic.on_wire() as f64 / seconds)
        .collect();
    let now = basilgrade_types::clock::Millis(world.now);
    let readers: Vec<f64> = world
        .nodes
        .iter()
        .zip(&per_daemon)
        .filter(|(node, _)| node.reads_log(now))
        .map(|(_, bytes)| *bytes)
        .collect();
    let messages: u64 = world.traffic.iter().map(|traffic| traffic.messages).sum();
    let encoded: u64 = world
        .traffic
        .iter()
        .map(|traffic| traffic.bytes + traffic.pulled)
        .sum();
    let reads: u64 = world.log.reads.values().sum();
    let footprint = Footprint {
        shape,
        payload_bytes: encoded as f64 / seconds / daemons,
        wire_bytes: per_daemon.iter().sum::<f64>() / daemons,
        max_wire: per_daemon.iter().copied().fold(0.0, f64::max),
        reader_wire: readers.iter().sum::<f64>() / readers.len().max(1) as f64,
        messages: messages as f64 / seconds / daemons,
        cpu_percent: spent as f64 / 1e9 / seconds / daemons * 100.0,
        heap_bytes: heap_bytes_per_node(&world),
        item_bytes: world
            .nodes
            .iter()
            .map(|node| node.encoded_size() as f64)
            .sum::<f64>()
            / daemons,
        log_reads: reads as f64 / seconds,
    };
    (footprint, world)
}

/// Measures the heap bytes per node by the memory that clones of all nodes allocate.
fn heap_bytes_per_node(world: &world::World) -> f64 {
    let before = counting_allocator::in_use();
    let copies = world.nodes.clone();
    let after = counting_allocator::in_use();
    (after - before) as f64 / copies.len() as f64
}

/// Returns the CPU time of this thread in nanoseconds, or 0 if it is not available.
fn cpu_time_ns() -> u64 {
    fs::read_to_string("/proc/thread-self/schedstat")
        .ok()
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Measures the time from the append of a configuration change until it is in force, for each
/// daemon and for all daemons, and the bytes pulled per change and daemon.
pub(crate) fn measure_config_changes(
    world: &mut world::World,
) -> (measurement::LatencyStats, measurement::LatencyStats, f64) {
    let mut each = Vec::new();
    let mut everywhere = Vec::new();
    let before: u64 = pulled(world);
    for change in 0..CHANGE_COUNT {
        // The delay varies, so that changes are appended at all phases of the poll interval.
        world.run(1000 + change * 137 % 1000);
        let appended = world.now;
        world.log.head += 1;
        run_until_in_force(world);
        let times: Vec<u64> = world
            .in_force
            .iter()
            .zip(&world.nodes)
            .zip(&world.killed)
            .filter(|(_, killed)| !**killed)
            .map(|((at, node), _)| {
                if node.progress().revision.0 == world.log.head {
                    at - appended
                } else {
                    u64::MAX
                }
            })
            .collect();
        everywhere.push(times.iter().copied().max().unwrap_or(0));
        each.extend(times);
    }
    let pulls = (pulled(world) - before) as f64 / CHANGE_COUNT as f64 / world.nodes.len() as f64;
    (
        measurement::LatencyStats::of(each),
        measurement::LatencyStats::of(everywhere),
        pulls,
    )
}

/// Advances time until the newest revision is in force at all daemons, by at most ten seconds.
fn run_until_in_force(world: &mut world::World) {
    for _ in 0..100 {
        world.run(100);
        let head = world.log.head;
        let complete = world
            .nodes
            .iter()
            .zip(&world.killed)
            .all(|(node, killed)| *killed || node.progress().revision.0 == head);
        if complete {
            return;
        }
    }
}

fn pulled(world: &world::World) -> u64 {
    world.traffic.iter().map(|traffic| traffic.pulled).sum()
}

/// Measures the time from the death of a daemon until all members of its domain mark it as dead.
pub(crate) fn measure_failure_detection(world: &mut world::World) -> measurement::LatencyStats {
    let mut times = Vec::new();
    let count = MAX_KILLED_DAEMONS.min(world.nodes.len() / 4);
    for index in 0..count {
        let victim = index * world.nodes.len() / count;
        world.run(1000 + index as u64 * 317 % 1000);
        world.killed[victim] = true;
        let killed = world.now;
        let vm = world.nodes[victim].record().vm.clone();
        let domain = world.domain(victim);
        let mut took = u64::MAX;
        while world.now < killed + 20_000 {
            world.run(20);
            let known = (0..world.nodes.len())
                .filter(|daemon| world.domain(*daemon) == domain && !world.killed[*daemon])
                .all(|daemon| world.nodes[daemon].status(&vm) == Some(status::Status::Dead));
            if known {
                took = world.now - killed;
                break;
            }
        }
        times.push(took);
    }
    measurement::LatencyStats::of(times)
}

/// Simulates an outage of the log for 30 s. Returns the maximum number of reads per second during
/// the outage and in the 10 s after it, and the time from the end of the outage until a change is
/// in force at all daemons.
pub(crate) fn measure_log_outage(world: &mut world::World) -> (u64, u64, u64) {
    world.log.reads.clear();
    world.log.down = true;
    world.run(30_000);
    let during = world.log.reads.values().copied().max().unwrap_or(0);
    world.log.reads.clear();
    world.log.down = false;
    world.log.head += 1;
    let up = world.now;
    world.run(10_000);
    let after = world.log.reads.values().copied().max().unwrap_or(0);
    let caught_up = world
        .in_force
        .iter()
        .zip(&world.nodes)
        .zip(&world.killed)
        .filter(|(_, killed)| !**killed)
        .map(|((at, node), _)| {
            if node.progress().revision.0 == world.log.head {
                at.saturating_sub(up)
            } else {
                u64::MAX
            }
        })
        .max()
        .unwrap_or(u64::MAX);
    (during, after, caught_up)
}
