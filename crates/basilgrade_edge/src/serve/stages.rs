//! The stages before a request.

use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use futures::StreamExt;
use futures::stream;
use indexmap::IndexMap;

use crate::serve;
use crate::serve::attempt;
use crate::serve::failure;
use crate::serve::request;
use crate::serve::results;

/// Times that the stages are run again because a result was gone.
const RERUNS: usize = 1;

/// Results of at least this size are made as late as possible.
const LARGE: size::ByteCount = size::ByteCount(200_000);

/// Why the stages of a request ended without results.
enum Failed {
    /// A result expired, or its holder ended.
    InputGone,
    /// The request cannot be served.
    Final(failure::Failure),
}

/// Runs the stages of a request, those that do not need each other at the same time.
///
/// # Errors
///
/// [`failure::Failure`]; the request itself has not run.
pub async fn run(
    service: &serve::Service,
    request: &request::Request,
) -> Result<results::Results, failure::Failure> {
    let mut results = results::Results::new(std::sync::Arc::clone(&service.pieces));
    if request.route.stages.is_empty() || request.head.pieces.is_empty() {
        return Ok(results);
    }
    for _ in 0..=RERUNS {
        match run_once(service, request, &mut results).await {
            Ok(()) => return Ok(results),
            Err(Failed::Final(failure)) => return Err(failure),
            Err(Failed::InputGone) => {
                log::info!("event=stage-input-gone request={}", request.head.request);
                service.admit(request)?;
                results = results::Results::new(std::sync::Arc::clone(&service.pieces));
            }
        }
    }
    Err(failure::Failure::unavailable("stage results were lost"))
}

async fn run_once(
    service: &serve::Service,
    request: &request::Request,
    results: &mut results::Results,
) -> Result<(), Failed> {
    let count = request.route.stages.len();
    let mut started = vec![false; count];
    let mut done = vec![false; count];
    let mut running = stream::FuturesUnordered::new();
    loop {
        for place in 0..count {
            let stage = &request.route.stages[place];
            let is_ready = stage
                .after
                .iter()
                .all(|after| done.get(*after) != Some(&false));
            if started[place] || !is_ready || can_wait(request, place, &started) {
                continue;
            }
            started[place] = true;
            if pieces(request, place) == 0 {
                done[place] = true;
                continue;
            }
            let inputs = results.of(stage.after.iter().copied());
            running.push(run_stage(service, request, place, inputs));
        }
        // A stage without pieces is done at once, and may be what another one waited for.
        let is_stuck = (0..count).any(|place| {
            let after = &request.route.stages[place].after;
            !started[place]
                && after.iter().all(|after| done.get(*after) != Some(&false))
                && !can_wait(request, place, &started)
        });
        if is_stuck {
            continue;
        }
        let Some(ended) = running.next().await else {
            return Ok(());
        };
        let (place, handles) = ended?;
        let stage = &request.route.stages[place];
        results.add(place, stage.pool.clone(), stage.bytes, handles);
        done[place] = true;
        free_used(request, results, &done);
    }
}

/// Whether a stage with large results should wait for other stages to start.
///
/// Its results would take up scarce room while the request waits for the others.
fn can_wait(request: &request::Request, place: usize, started: &[bool]) -> bool {
    let stages = &request.route.stages;
    if stages[place].bytes < LARGE || !request.route.last_stages().any(|last| last == place) {
        return false;
    }
    let is_due = |other: usize| {
        other != place
            && !started[other]
            && pieces(request, other) > 0
            && stages[other].bytes < LARGE
    };
    (0..stages.len()).any(is_due)
}

fn pieces(request: &request::Request, place: usize) -> u32 {
    request.head.pieces.get(place).copied().unwrap_or(0)
}

/// Frees results that all stages after them have used.
fn free_used(request: &request::Request, results: &mut results::Results, done: &[bool]) {
    let stages = &request.route.stages;
    for place in 0..stages.len() {
        let mut users = stages
            .iter()
            .zip(done)
            .filter(|(stage, _)| stage.after.contains(&place))
            .peekable();
        if users.peek().is_none() || !users.all(|(_, is_done)| *is_done) {
            continue;
        }
        match only_input(request, place) {
            // They were freed when they had been fetched.
            Some(_) => results.leave(place),
            None => results.free(place),
        }
    }
}

/// The failure domain that holds most inputs, and the bytes that all pieces fetch from there.
fn source_domain(
    service: &serve::Service,
    request: &request::Request,
    place: usize,
    source: &job::Source,
) -> (id::DomainId, size::ByteCount) {
    let own = service.core.settings.load().domain.clone();
    let job::Source::Results(handles) = source else {
        // Large results are best made near the engine that will fetch them.
        let is_large = request.route.stages[place].bytes >= LARGE;
        let engine = is_large.then(|| attempt::preferred_domain(&service.core, request));
        return (engine.flatten().unwrap_or(own), size::ByteCount(0));
    };
    let view = service.core.view.load();
    let mut counts: IndexMap<id::DomainId, u64> = IndexMap::new();
    for holder in handles.iter().filter_map(handle::Handle::holder) {
        if let Some(domain) = view.directory.domain(holder) {
            *counts.entry(domain.clone()).or_default() += 1;
        }
    }
    let Some((domain, count)) = counts.into_iter().max_by_key(|(_, count)| *count) else {
        return (own, size::ByteCount(0));
    };
    let stages = &request.route.stages;
    let before = stages[place]
        .after
        .iter()
        .filter_map(|after| stages.get(*after));
    let bytes = before.map(|stage| stage.bytes.0).max().unwrap_or_default();
    let fetch_size = count * bytes * u64::from(pieces(request, place));
    (domain, size::ByteCount(fetch_size))
}

/// The only stage that needs the results of the stage at `place`, if it needs no others.
fn only_input(request: &request::Request, place: usize) -> Option<usize> {
    let stages = &request.route.stages;
    let mut users = (0..stages.len()).filter(|user| stages[*user].after.contains(&place));
    let user = users.next()?;
    (users.next().is_none() && stages[user].after.len() == 1).then_some(user)
}

/// The pool that holds the inputs of the stage at `place`, if nothing else needs them.
fn own_inputs(request: &request::Request, place: usize) -> Option<job::Inputs> {
    let stages = &request.route.stages;
    let before = *stages[place].after.first()?;
    only_input(request, before)?;
    let maker = stages.get(before)?;
    Some(job::Inputs {
        pool: maker.pool.clone(),
        bytes: maker.bytes,
    })
}

async fn run_stage(
    service: &serve::Service,
    request: &request::Request,
    place: usize,
    inputs: Vec<handle::Handle>,
) -> Result<(usize, Vec<handle::Handle>), Failed> {
    let stage = &request.route.stages[place];
    let source = if stage.after.is_empty() {
        let key = request.head.piece_key.clone().ok_or_else(|| {
            let reason = "the piece key is missing; stages cannot run without it";
            Failed::Final(failure::Failure::rejected(
                hyper::StatusCode::BAD_REQUEST,
                reason,
            ))
        })?;
        job::Source::Key(key)
    } else {
        job::Source::Results(inputs)
    };
    let (domain, fetch_size) = source_domain(service, request, place, &source);
    let now = service.core.now();
    let rest = rest_after(service, request, place);
    let job = job::Job {
        request: request.head.request.clone(),
        stage: place as u32,
        pieces: pieces(request, place),
        source,
        priority: request.rank(),
        target_left: request.aim_left(now) - rest,
        time_left: request.left(now) - rest,
        bytes: stage.bytes,
        domain,
        fetch_size,
        inputs: own_inputs(request, place),
        fallback: job::Fallback::Wait,
    };
    match service.pieces.make(&stage.pool, job).await {
        outcome::JobOutcome::Completed(handles) => {
            log::info!(
                "event=stage-done request={} stage={place} pieces={} span={}",
                request.head.request,
                handles.len(),
                service.core.now() - now
            );
            Ok((place, handles))
        }
        outcome::JobOutcome::InputGone => Err(Failed::InputGone),
        outcome::JobOutcome::TimedOut => {
            let wait = service.pieces.load(&stage.pool).wait_for(request.rank());
            let left = request.left(service.core.now());
            let wait = basilgrade_fleet::admission::retry_after(left, wait, rand::random());
            let reason = format!("stage {place} cannot end in time");
            Err(Failed::Final(failure::Failure::refused(reason, wait)))
        }
        outcome::JobOutcome::Failed | outcome::JobOutcome::HandedBack => {
            let reason = format!("stage {place} failed at all upstreams that were tried");
            Err(Failed::Final(failure::Failure::unavailable(reason)))
        }
    }
}

/// Least time of the stages after `place` and the first event, along the longest path.
fn rest_after(service: &serve::Service, request: &request::Request, place: usize) -> clock::Millis {
    let stages = &request.route.stages;
    let mut rest = vec![clock::Millis::ZERO; stages.len()];
    for other in (0..stages.len()).rev() {
        let own = if pieces(request, other) == 0 {
            clock::Millis::ZERO
        } else {
            service.typical_call(&stages[other].pool)
        };
        for after in &stages[other].after {
            if let Some(known) = rest.get(*after).copied() {
                rest[*after] = known.max(rest[other].plus(own));
            }
        }
    }
    rest[place].plus(serve::FIRST_EVENT)
}
