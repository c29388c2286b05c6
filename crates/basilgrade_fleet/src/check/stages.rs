//! Checks of the stages of a route.

use basilgrade_types::clock;

use crate::check::routes;
use crate::model::pool;
use crate::model::route;

/// Reports stages without a service, stages that never start, and stages that take too long.
pub(super) fn check(
    route: &route::Route,
    pools: &routes::Pools<'_>,
    problems: &mut routes::Problems,
) {
    for (index, stage) in route.stages.iter().enumerate() {
        match pools.get(&stage.pool).map(|pool| &pool.work) {
            Some(pool::Work::Pieces(_)) => {}
            Some(_) => {
                let problem = format!("stage {index}: service `{}` runs no pieces", stage.pool);
                problems.add(problem, "name a service that does");
            }
            None => {
                let problem = format!("stage {index}: service `{}` does not exist", stage.pool);
                problems.add(problem, "list the service or correct its name");
            }
        }
        for after in &stage.after {
            if *after >= route.stages.len() {
                let problem = format!("stage {index} is to follow stage {after}, which is missing");
                problems.add(problem, "give indices of stages of the same route");
            }
        }
    }
    let ends = least_ends(route, pools);
    if ends.contains(&None) {
        let problem = "stages that wait for each other never start, and the request goes without";
        problems.add(problem, "remove the circle");
    }
    let needed = ends.into_iter().flatten().max().unwrap_or_default();
    let limits = [
        ("timeout", route.timeout),
        ("target latency", route.target_latency),
    ];
    let exceeded = limits
        .into_iter()
        .find(|(_, limit)| *limit > clock::Millis::ZERO && needed >= *limit);
    if let Some((name, limit)) = exceeded {
        let problem = format!("the stages take at least {needed}, the {name} is {limit}");
        problems.add(problem, "raise the limit or shorten the stages");
    }
}

/// Least time until the end of each stage, with one piece each and idle upstreams; `None` for stages
/// that never start.
fn least_ends(route: &route::Route, pools: &routes::Pools<'_>) -> Vec<Option<clock::Millis>> {
    let mut ends: Vec<Option<clock::Millis>> = vec![None; route.stages.len()];
    // Each pass ends at least one more stage, unless the others wait for each other.
    for _ in 0..route.stages.len() {
        for (index, stage) in route.stages.iter().enumerate() {
            let span = match pools.get(&stage.pool).map(|pool| &pool.work) {
                Some(pool::Work::Pieces(profile)) => profile.call_time(1),
                _ => clock::Millis::ZERO,
            };
            // A stage that is missing is not waited for.
            let before = stage.after.iter().filter_map(|after| ends.get(*after));
            let start = before
                .copied()
                .try_fold(clock::Millis::ZERO, |latest, end| {
                    end.map(|end| latest.max(end))
                });
            ends[index] = start.map(|start| start.plus(span));
        }
    }
    ends
}
