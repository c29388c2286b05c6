//! The shapes that are measured, and the report.

use super::fit;
use super::sample;
use super::scenario;
use super::shape;

const SEED: u64 = 2026;

/// Shapes that the slopes are fitted to.
const FITTED: [shape::Shape; 9] = [
    shape::Shape::new(1, 8),
    shape::Shape::new(1, 19),
    shape::Shape::new(1, 38),
    shape::Shape::new(4, 19),
    shape::Shape::new(10, 8),
    shape::Shape::new(10, 19),
    shape::Shape::new(20, 8),
    shape::Shape::new(20, 19),
    shape::Shape::new(10, 38),
];

/// Too small for the full fan-out, so outside the fit.
const SMALL: [shape::Shape; 2] = [shape::Shape::new(1, 3), shape::Shape::new(3, 3)];

/// Shapes that the prediction is checked against.
const CHECKED: [shape::Shape; 2] = [shape::Shape::new(40, 19), shape::Shape::new(20, 38)];

const TARGET: shape::Shape = shape::Shape::new(20, 19);

pub(crate) fn run() {
    // `-- target` measures the target shape alone.
    if std::env::args().any(|argument| argument == "target") {
        let (footprint, mut world) = scenario::steady(TARGET, SEED, scenario::LONG_WINDOW);
        print_head();
        print_row(&footprint);
        print_events(&mut world);
        return;
    }
    print_head();
    for shape in SMALL {
        print_row(&scenario::steady(shape, SEED, scenario::WINDOW).0);
    }
    let mut fitted = Vec::new();
    for shape in FITTED {
        let (footprint, mut world) = scenario::steady(shape, SEED, scenario::WINDOW);
        print_row(&footprint);
        if shape == TARGET {
            print_events(&mut world);
        }
        fitted.push(footprint);
    }
    let fits = QUANTITIES.map(|(name, value)| {
        let points: Vec<_> = fitted
            .iter()
            .map(|footprint| {
                let shape = footprint.shape;
                (shape.size as f64, shape.domains as f64, value(footprint))
            })
            .collect();
        let fit = fit::Fit::of(&points);
        let [c0, c1, c2] = fit.coefficients;
        let [e0, e1, e2] = fit.errors;
        println!(
            "fit {name}: {c0:.4} ± {e0:.4} + ({c1:.4} ± {e1:.4}) per member + ({c2:.4} ± {e2:.4}) per domain"
        );
        fit
    });
    for shape in CHECKED {
        let (footprint, mut world) = scenario::steady(shape, SEED, scenario::WINDOW);
        print_row(&footprint);
        for ((name, value), fit) in QUANTITIES.iter().zip(&fits) {
            let predicted = fit.at(shape.size as f64, shape.domains as f64);
            let measured = value(&footprint);
            println!(
                "  {name}: predicted {predicted:.3}, measured {measured:.3}, ratio {:.3}",
                measured / predicted
            );
        }
        if shape == CHECKED[0] {
            print_events(&mut world);
        }
    }
}

fn print_head() {
    println!(
        "seed {SEED}; per daemon; wire adds {} B per message (on paper)",
        sample::WIRE
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

type Quantity = (&'static str, fn(&scenario::Footprint) -> f64);

const QUANTITIES: [Quantity; 4] = [
    ("bytes/s on wire", |footprint| footprint.on_wire),
    ("messages/s", |footprint| footprint.messages),
    ("core %", |footprint| footprint.processor),
    ("heap KB", |footprint| footprint.memory / 1000.0),
];

fn print_row(footprint: &scenario::Footprint) {
    println!(
        "{:>8} {:>7} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>7.1} {:>8.4} {:>9.1} {:>8.1} {:>7.1}",
        footprint.shape.domains,
        footprint.shape.size,
        footprint.bytes,
        footprint.on_wire,
        footprint.busiest,
        footprint.reader,
        footprint.messages,
        footprint.processor,
        footprint.memory / 1000.0,
        footprint.held / 1000.0,
        footprint.reads,
    );
}

fn print_events(world: &mut super::world::World) {
    let (each, everywhere, pulled) = scenario::changes(world);
    println!(
        "  change in force at a daemon: median {} ms, 99th percentile {} ms, max {} ms",
        each.median, each.high, each.max
    );
    println!(
        "  change in force everywhere: median {} ms, 99th percentile {} ms, max {} ms; pulled {pulled:.0} B per change and daemon",
        everywhere.median, everywhere.high, everywhere.max
    );
    let (during, after, caught_up) = scenario::outage(world);
    println!(
        "  log down 30 s: at most {during} reads/s during it, {after} after it; change in force everywhere {caught_up} ms after it"
    );
    let deaths = scenario::deaths(world);
    println!(
        "  death known in the whole domain: median {} ms, 99th percentile {} ms, max {} ms",
        deaths.median, deaths.high, deaths.max
    );
}
