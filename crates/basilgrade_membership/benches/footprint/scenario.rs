//! What is measured of one shape.

use std::fs;

use basilgrade_membership::status;

use super::counting_allocator;
use super::deployment_shape;
use super::measurement;
use super::world;

/// Time for the daemons to find one another and fill their state.
const SETTLE_MS: u64 = 30_000;
/// Time over which traffic and processor time are measured for the slopes.
pub(crate) const WINDOW_MS: u64 = 30_000;
/// The same for the target shape alone. Prefix hints accumulate for two minutes, and the busiest
/// daemon of 380 is busy mostly by chance in a short window.
pub(crate) const TARGET_WINDOW_MS: u64 = 180_000;
/// Configuration changes that are timed.
const CHANGE_COUNT: u64 = 20;
/// Daemons that are killed, one after another.
const MAX_KILLED_DAEMONS: usize = 20;

/// Footprint of one shape, per daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Footprint {
    pub(crate) shape: deployment_shape::DeploymentShape,
    /// Encoded bytes a second, in and out, mean over the daemons.
    pub(crate) bytes: f64,
    /// The same with what surrounds each message on the wire.
    pub(crate) on_wire: f64,
    /// The same of the busiest daemon.
    pub(crate) busiest: f64,
    /// The same as `on_wire`, mean over the log readers.
    pub(crate) reader: f64,
    /// Messages a second, in and out.
    pub(crate) messages: f64,
    /// Percent of a core, with the simulation itself.
    pub(crate) cpu_percent: f64,
    /// Heap bytes of a node.
    pub(crate) memory: f64,
    /// Bytes that a node counts against its memory limit.
    pub(crate) held: f64,
    /// Reads of the log a second, of all daemons together.
    pub(crate) reads: f64,
}

/// Lets a shape settle and measures its steady traffic.
pub(crate) fn measure_steady_traffic(
    shape: deployment_shape::DeploymentShape,
    seed: u64,
    window: u64,
) -> (Footprint, world::World) {
    let mut world = world::World::new(shape, seed);
    world.run(SETTLE_MS);
    world.traffic.fill(measurement::Traffic::default());
    world.log.reads.clear();
    let started = processor_time();
    world.run(window);
    let spent = processor_time() - started;
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
        bytes: encoded as f64 / seconds / daemons,
        on_wire: per_daemon.iter().sum::<f64>() / daemons,
        busiest: per_daemon.iter().copied().fold(0.0, f64::max),
        reader: readers.iter().sum::<f64>() / readers.len().max(1) as f64,
        messages: messages as f64 / seconds / daemons,
        cpu_percent: spent as f64 / 1e9 / seconds / daemons * 100.0,
        memory: node_memory(&world),
        held: world
            .nodes
            .iter()
            .map(|node| node.encoded_size() as f64)
            .sum::<f64>()
            / daemons,
        reads: reads as f64 / seconds,
    };
    (footprint, world)
}

/// Heap bytes of one node, as the difference that copies of all nodes make.
fn node_memory(world: &world::World) -> f64 {
    let before = counting_allocator::bytes_in_use();
    let copies = world.nodes.clone();
    let after = counting_allocator::bytes_in_use();
    (after - before) as f64 / copies.len() as f64
}

/// Processor time of this thread in nanoseconds.
fn processor_time() -> u64 {
    fs::read_to_string("/proc/thread-self/schedstat")
        .ok()
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Times from the append of a change until it is in force: at each daemon, and everywhere.
pub(crate) fn measure_config_changes(
    world: &mut world::World,
) -> (measurement::LatencyStats, measurement::LatencyStats, f64) {
    let mut each = Vec::new();
    let mut everywhere = Vec::new();
    let before: u64 = pulled(world);
    for change in 0..CHANGE_COUNT {
        // Not a multiple of the poll interval, so that the changes meet every phase of it.
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

/// Lets time pass until the newest revision is in force everywhere, at most ten seconds.
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

/// Times from a death until the last member of the domain counts the daemon as dead.
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

/// Most reads of the log in one second while it is down for 30 s and in the 10 s after, and the
/// time after the outage until a change is in force everywhere.
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
