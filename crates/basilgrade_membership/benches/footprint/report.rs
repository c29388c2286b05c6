//! Shapes to measure, and printing of the results.

use super::deployment_shape;
use super::measurement;
use super::plane_fit;
use super::scenario;

const SEED: u64 = 2026;

/// Shapes to which the footprint model is fitted.
const FITTED_SHAPES: [deployment_shape::DeploymentShape; 9] = [
    deployment_shape::DeploymentShape::new(1, 8),
    deployment_shape::DeploymentShape::new(1, 19),
    deployment_shape::DeploymentShape::new(1, 38),
    deployment_shape::DeploymentShape::new(4, 19),
    deployment_shape::DeploymentShape::new(10, 8),
    deployment_shape::DeploymentShape::new(10, 19),
    deployment_shape::DeploymentShape::new(20, 8),
    deployment_shape::DeploymentShape::new(20, 19),
    deployment_shape::DeploymentShape::new(10, 38),
];

/// Shapes that are too small for the full gossip fan-out and therefore excluded from the fit.
const SMALL_SHAPES: [deployment_shape::DeploymentShape; 2] = [
    deployment_shape::DeploymentShape::new(1, 3),
    deployment_shape::DeploymentShape::new(3, 3),
];

/// Shapes for which the prediction of the fit is compared with a measurement.
const CHECKED_SHAPES: [deployment_shape::DeploymentShape; 2] = [
    deployment_shape::DeploymentShape::new(40, 19),
    deployment_shape::DeploymentShape::new(20, 38),
];

const TARGET_SHAPE: deployment_shape::DeploymentShape =
    deployment_shape::DeploymentShape::new(20, 19);

pub(crate) fn run() {
    // With the argument `target`, only the target shape is measured.
    if std::env::args().any(|argument| argument == "target") {
        let (footprint, mut world) =
            scenario::measure_steady_traffic(TARGET_SHAPE, SEED, scenario::TARGET_WINDOW_MS);
        print_head();
        print_row(&footprint);
        print_events(&mut world);
        return;
    }
    print_head();
    for shape in SMALL_SHAPES {
        print_row(&scenario::measure_steady_traffic(shape, SEED, scenario::WINDOW_MS).0);
    }
    let mut fitted = Vec::new();
    for shape in FITTED_SHAPES {
        let (footprint, mut world) =
            scenario::measure_steady_traffic(shape, SEED, scenario::WINDOW_MS);
        print_row(&footprint);
        if shape == TARGET_SHAPE {
            print_events(&mut world);
        }
        fitted.push(footprint);
    }
    let fits = FITTED_QUANTITIES.map(|(name, value)| {
        let points: Vec<_> = fitted
            .iter()
            .map(|footprint| {
                let shape = footprint.shape;
                (shape.size as f64, shape.domains as f64, value(footprint))
            })
            .collect();
        let fit = plane_fit::PlaneFit::of(&points);
        let [c0, c1, c2] = fit.coefficients;
        let [e0, e1, e2] = fit.errors;
        println!(
            "fit {name}: {c0:.4} ± {e0:.4} + ({c1:.4} ± {e1:.4}) per member + ({c2:.4} ± {e2:.4}) per domain"
        );
        fit
    });
    for shape in CHECKED_SHAPES {
        let (footprint, mut world) =
            scenario::measure_steady_traffic(shape, SEED, scenario::WINDOW_MS);
        print_row(&footprint);
        for ((name, value), fit) in FITTED_QUANTITIES.iter().zip(&fits) {
            let predicted = fit.at(shape.size as f64, shape.domains as f64);
            let measured = value(&footprint);
            println!(
                "  {name}: predicted {predicted:.3}, measured {measured:.3}, ratio {:.3}",
                measured / predicted
            );
        }
        if shape == CHECKED_SHAPES[0] {
            print_events(&mut world);
        }
    }
}

fn print_head() {
    println!(
        "seed {SEED}; values per daemon; framing adds {} B per message (calculated)",
        measurement::WIRE_OVERHEAD_BYTES
    );
    println!(
        "{:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>7} {:>8} {:>9} {:>8} {:>7}",
        "domains",
        "size",
        "B/s",
        "on wire",
        "busiest",
        "reader",
        "msg/s",
        "core %",
        "heap KB",
        "held KB",
        "reads/s"
    );
}

type FittedQuantity = (&'static str, fn(&scenario::Footprint) -> f64);

const FITTED_QUANTITIES: [FittedQuantity; 4] = [
    ("bytes/s on wire", |footprint| footprint.wire_bytes),
    ("messages/s", |footprint| footprint.messages),
    ("core %", |footprint| footprint.cpu_percent),
    ("heap KB", |footprint| footprint.heap_bytes / 1000.0),
];

fn print_row(footprint: &scenario::Footprint) {
    println!(
        "{:>8} {:>7} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>7.1} {:>8.4} {:>9.1} {:>8.1} {:>7.1}",
        footprint.shape.domains,
        footprint.shape.size,
        footprint.payload_bytes,
        footprint.wire_bytes,
        footprint.max_wire,
        footprint.reader_wire,
        footprint.messages,
        footprint.cpu_percent,
        footprint.heap_bytes / 1000.0,
        footprint.item_bytes / 1000.0,
        footprint.log_reads,
    );
}

fn print_events(world: &mut super::world::World) {
    let (each, everywhere, pulled) = scenario::measure_config_changes(world);
    println!(
        "  change in force at a daemon: median {} ms, 99th percentile {} ms, max {} ms",
        each.median, each.p99, each.max
    );
    println!(
        "  change in force everywhere: median {} ms, 99th percentile {} ms, max {} ms; pulled {pulled:.0} B per change and daemon",
        everywhere.median, everywhere.p99, everywhere.max
    );
    let (during, after, caught_up) = scenario::measure_log_outage(world);
    println!(
        "  log outage of 30 s: at most {during} reads/s during the outage, {after} reads/s after it; change in force everywhere {caught_up} ms after the outage"
    );
    let detection = scenario::measure_failure_detection(world);
    println!(
        "  death detected by the whole domain: median {} ms, 99th percentile {} ms, max {} ms",
        detection.median, detection.p99, detection.max
    );
}
