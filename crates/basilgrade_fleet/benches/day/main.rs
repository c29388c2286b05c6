//! A day of stage pools in virtual time, with the decision code of the daemon.
//!
//! Prints what callers get under several policies, from the same arrivals. `--seed N` draws other
//! arrivals, `--load X` multiplies them.

mod day;
mod maker;
mod report;
mod shape;

use std::env;

use day::Policy;

fn option(name: &str, default: f64) -> f64 {
    let mut arguments = env::args().skip_while(|argument| argument != name).skip(1);
    let value = arguments.next().and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

fn main() {
    let seed = option("--seed", 1.0) as u64;
    let load = option("--load", 1.0);
    for shape in [shape::ticketing(), shape::mastering()] {
        println!("{} seed={seed} load={load}", shape.name);
        let worth: Vec<_> = shape.kinds.iter().map(|kind| kind.worth).collect();
        for policy in [
            Policy::Cells,
            Policy::OneQueue,
            Policy::NoAdmission,
            Policy::Arrival,
            Policy::OneRequest,
        ] {
            let report = day::play(&shape, policy, seed, load);
            println!(
                "  {policy:?}: worth={:.3} strict={:.3} fill={:.2} no_room={} input_gone={} \
                 crossed_gb={:.2}",
                report.worth(&worth, true),
                report.worth(&worth, false),
                report.pieces as f64 / report.places.max(1) as f64,
                report.no_room,
                report.input_gone,
                report.crossed as f64 / 1e9
            );
            for (kind, ends) in shape.kinds.iter().zip(&report.kinds) {
                println!(
                    "    {}: owed={} in_time={:.3} late={:.3} refused={:.3} failed={:.3} \
                     returned={} refused_after_ms={:.0}",
                    kind.name,
                    ends.owed,
                    ends.in_time as f64 / ends.owed as f64,
                    ends.late as f64 / ends.owed as f64,
                    ends.refused as f64 / ends.owed as f64,
                    ends.failed as f64 / ends.owed as f64,
                    ends.returned,
                    ends.refused_after as f64 / ends.refused.max(1) as f64
                );
            }
        }
    }
}
