//! The promises, checked against what callers and upstreams saw.

use std::collections::HashMap;
use std::time;

use crate::record;
use crate::upstream;
use crate::world;

/// A daemon that was not disturbed stops sending to a departed upstream within this time.
const DRAIN: time::Duration = time::Duration::from_secs(4);

/// Time after a fault of a daemon or the store during which its promises are not checked.
const SETTLE: time::Duration = time::Duration::from_secs(5);

/// Findings after a run.
pub(crate) fn all(world: &world::World) -> Vec<String> {
    let mut findings = record::all(&world.record.findings);
    let requests = record::all(&world.record.requests);
    let mut runs: HashMap<String, Vec<(String, upstream::Run)>> = HashMap::new();
    for member in &world.members {
        for run in member.upstream.runs() {
            let entry = (member.upstream.id.clone(), run);
            runs.entry(entry.1.request.clone()).or_default().push(entry);
        }
    }
    let harmed = record::all(&world.record.harmed);
    for request in &requests {
        let own = runs.get(&request.id).map(Vec::as_slice).unwrap_or_default();
        let problems = [
            runs_twice(request, own),
            false_refusal(request, own),
            wrong_answer(request, own),
            foreign_inputs(request, own),
            cut_off(request, own, &harmed),
        ];
        let found = problems.into_iter().flatten();
        findings.extend(found.map(|problem| format!("{problem}: {request:?}; runs: {own:?}")));
    }
    findings.extend(went_back(&requests));
    findings.extend(ran_after_drain(world, &requests, &runs, &harmed));
    findings
}

fn runs_twice(request: &record::Request, runs: &[(String, upstream::Run)]) -> Option<String> {
    let may_repeat = matches!(
        request.kind,
        record::Kind::Safe | record::Kind::Resumable | record::Kind::Probe(_)
    );
    (!may_repeat && runs.len() > 1).then(|| "ran twice".to_owned())
}

fn false_refusal(request: &record::Request, runs: &[(String, upstream::Run)]) -> Option<String> {
    let is_bound = matches!(request.kind, record::Kind::Once | record::Kind::Stream);
    let refused = matches!(request.status, Some(408 | 421 | 429 | 503));
    (is_bound && refused && !runs.is_empty()).then(|| "refused although it ran".to_owned())
}

fn wrong_answer(request: &record::Request, runs: &[(String, upstream::Run)]) -> Option<String> {
    if request.status != Some(200) {
        return None;
    }
    if runs.is_empty() {
        return Some("succeeded without a run".to_owned());
    }
    if !matches!(request.kind, record::Kind::Stream | record::Kind::Resumable) {
        let is_right = runs
            .iter()
            .any(|(upstream, run)| request.body == format!("{upstream} {}", run.request));
        return (request.is_whole && !is_right).then(|| "another answer".to_owned());
    }
    let events: Vec<_> = request.body.split_inclusive("\n\n").collect();
    let mut makers = Vec::new();
    for (place, event) in events.iter().enumerate() {
        let start = format!("id: {}\ndata: {}.", place + 1, request.id);
        let Some(rest) = event.strip_prefix(start.as_str()) else {
            return Some(format!("event {} is out of order or broken", place + 1));
        };
        if !event.ends_with("\n\n") {
            return Some("an event was cut".to_owned());
        }
        makers.push(rest.rsplit_once('-').map_or(rest, |(maker, _)| maker));
    }
    if request.is_whole && events.len() as u64 != upstream::EVENTS {
        return Some("a broken stream looks complete".to_owned());
    }
    makers.dedup();
    let is_joined = request.kind == record::Kind::Stream && makers.len() > 1;
    is_joined.then(|| "joined from two runs".to_owned())
}

/// Engines get the results of the request's own last stage.
fn foreign_inputs(request: &record::Request, runs: &[(String, upstream::Run)]) -> Option<String> {
    if !matches!(request.kind, record::Kind::Stream | record::Kind::Resumable) {
        return None;
    }
    let own = format!("/{}.1.", request.id);
    let is_wrong = |(_, run): &&(String, upstream::Run)| {
        let inputs = run.headers.get("x-inputs");
        let inputs = inputs.and_then(|inputs| inputs.to_str().ok()).unwrap_or("");
        let count = inputs.split(',').count();
        count != 3 || inputs.matches(&own).count() != count
    };
    runs.iter()
        .find(is_wrong)
        .map(|(upstream, _)| format!("`{upstream}` got foreign inputs"))
}

/// A request that was passed on gets an answer, unless its daemon was harmed meanwhile.
fn cut_off(
    request: &record::Request,
    runs: &[(String, upstream::Run)],
    harmed: &[record::Harmed],
) -> Option<String> {
    let is_cut = request.status.is_none() && !request.gave_up && !runs.is_empty();
    let is_excused = is_harmed(
        harmed,
        Some(request.daemon),
        request.sent,
        request.ended + SETTLE,
    );
    (is_cut && !is_excused).then(|| "cut off without an answer".to_owned())
}

fn is_harmed(
    harmed: &[record::Harmed],
    daemon: Option<usize>,
    from: time::Instant,
    until: time::Instant,
) -> bool {
    harmed
        .iter()
        .any(|harm| harm.daemon == daemon && harm.from <= until && harm.until + SETTLE >= from)
}

/// In one run of a daemon's process the configuration never goes back.
fn went_back(requests: &[record::Request]) -> Vec<String> {
    let probe = |request: &record::Request| match (request.kind, request.status) {
        (record::Kind::Probe(version), Some(200)) => Some(version),
        _ => None,
    };
    let mut findings = Vec::new();
    for later in requests {
        let Some(old) = probe(later) else { continue };
        let newer = requests.iter().find(|earlier| {
            let is_before = earlier.ended < later.sent;
            let is_same =
                (earlier.daemon, earlier.incarnation) == (later.daemon, later.incarnation);
            is_before && is_same && probe(earlier).is_some_and(|version| version > old)
        });
        if let Some(newer) = newer {
            findings.push(format!("configuration went back: {newer:?} then {later:?}"));
        }
    }
    findings
}

fn ran_after_drain(
    world: &world::World,
    requests: &[record::Request],
    runs: &HashMap<String, Vec<(String, upstream::Run)>>,
    harmed: &[record::Harmed],
) -> Vec<String> {
    let mut findings = Vec::new();
    for left in record::all(&world.record.left) {
        for request in requests {
            let own = runs.get(&request.id).map(Vec::as_slice).unwrap_or_default();
            let is_late = |(upstream, run): &&(String, upstream::Run)| {
                *upstream == left.upstream && run.at > left.from + DRAIN && run.at < left.until
            };
            let is_excused = |(_, run): &&(String, upstream::Run)| {
                is_harmed(harmed, Some(request.daemon), left.from, run.at)
                    || is_harmed(harmed, None, left.from, run.at)
            };
            let found = own.iter().find(|run| is_late(run) && !is_excused(run));
            if let Some(run) = found {
                findings.push(format!("ran after its upstream left: {request:?}; {run:?}"));
            }
        }
    }
    findings
}
