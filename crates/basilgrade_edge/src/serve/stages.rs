//! Runs the stages of a route whose results a request needs.

use basilgrade_fleet::admission::path;
use basilgrade_fleet::admission::whole;
use basilgrade_fleet::batch::job;
use basilgrade_fleet::batch::outcome;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::model::priority;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use futures::StreamExt;
use futures::stream;
use indexmap::IndexMap;

use crate::request;
use crate::request::failure;
use crate::request::terms;
use crate::serve;
use crate::serve::attempt;
use crate::serve::stage_results;
use crate::settings;

/// Maximum number of times all stages are run again after a result was lost.
const MAX_RERUNS: usize = 1;

/// Size from which on a piece's result is large; large results are computed as late as possible.
const LARGE_RESULT: size::ByteCount = size::ByteCount(200_000);

/// Reason why the stages of a request ended without results.
enum StageFailure {
    /// An input was lost, because it expired or the upstream that held it ended.
    InputGone,
    /// The request cannot be served; running the stages again would not help.
    Final(failure::RequestFailure),
}

/// Runs the stages of a request on `terms`; stages that do not depend on each other run
/// concurrently.
///
/// # Errors
///
/// [`failure::RequestFailure`] if a stage fails; the request itself has not run.
pub async fn run(
    service: &serve::Service,
    request: &request::Request,
    terms: terms::Terms,
) -> Result<stage_results::StageResults, failure::RequestFailure> {
    let mut results = stage_results::StageResults::new(std::sync::Arc::clone(&service.job_client));
    if request.route.stages.is_empty() || request.head.piece_counts.is_empty() {
        return Ok(results);
    }
    for _ in 0..=MAX_RERUNS {
        match run_once(service, request, terms, &mut results).await {
            Ok(()) => return Ok(results),
            Err(StageFailure::Final(failure)) => return Err(failure),
            Err(StageFailure::InputGone) => {
                let now = service.core.now();
                let (spent, left) = (now - request.arrived, terms.send_by - now);
                let drops = service.core.settings.load().admission.drop_unservable;
                let is_rerun = !drops.is_on()
                    || terms.has_begun
                    || whole::may_rerun(spent, request.target_left(now), left);
                log::info!(
                    "event=stage-input-gone request={} rerun={is_rerun} spent={spent} left={left}",
                    request.head.request_id
                );
                if !is_rerun {
                    service.core.metrics.dropped_stages.inc();
                    let reason = "stage results expired in an overloaded queue; retry later";
                    let wait = service.retry_after(request, left, clock::Millis::ZERO);
                    return Err(failure::RequestFailure::refused(reason, wait));
                }
                service.admit(request, terms)?;
                results =
                    stage_results::StageResults::new(std::sync::Arc::clone(&service.job_client));
            }
        }
    }
    Err(failure::RequestFailure::unavailable(
        "stage results were lost repeatedly; retry later",
    ))
}

async fn run_once(
    service: &serve::Service,
    request: &request::Request,
    terms: terms::Terms,
    results: &mut stage_results::StageResults,
) -> Result<(), StageFailure> {
    let count = request.route.stages.len();
    let mut started = vec![false; count];
    let mut done = vec![false; count];
    let mut running = stream::FuturesUnordered::new();
    loop {
        for index in 0..count {
            let stage = &request.route.stages[index];
            let is_ready = stage
                .after
                .iter()
                .all(|after| done.get(*after) != Some(&false));
            if started[index] || !is_ready || should_wait(request, index, &started) {
                continue;
            }
            started[index] = true;
            if piece_count(request, index) == 0 {
                done[index] = true;
                continue;
            }
            let inputs = results.of(stage.after.iter().copied());
            running.push(run_stage(service, request, terms, (index, inputs)));
        }
        // A stage without pieces completes at once, so a stage that depends on it may start now.
        let can_start = (0..count).any(|index| {
            let after = &request.route.stages[index].after;
            !started[index]
                && after.iter().all(|after| done.get(*after) != Some(&false))
                && !should_wait(request, index, &started)
        });
        if can_start {
            continue;
        }
        let Some(ended) = running.next().await else {
            return Ok(());
        };
        let (index, handles) = ended?;
        let stage = &request.route.stages[index];
        results.add(index, stage.pool.clone(), stage.bytes, handles);
        done[index] = true;
        release_used(request, results, &done);
    }
}

/// Whether a last stage with large results should wait until all stages with small results have
/// started.
///
/// Large results would otherwise take up scarce upstream memory while the request waits for the
/// other stages.
fn should_wait(request: &request::Request, index: usize, started: &[bool]) -> bool {
    let stages = &request.route.stages;
    if stages[index].bytes < LARGE_RESULT || !request.route.last_stages().any(|last| last == index)
    {
        return false;
    }
    let is_startable = |other: usize| {
        other != index
            && !started[other]
            && piece_count(request, other) > 0
            && stages[other].bytes < LARGE_RESULT
    };
    (0..stages.len()).any(is_startable)
}

fn piece_count(request: &request::Request, index: usize) -> u32 {
    request.head.piece_counts.get(index).copied().unwrap_or(0)
}

/// Frees the results of stages whose dependent stages are all done.
fn release_used(
    request: &request::Request,
    results: &mut stage_results::StageResults,
    done: &[bool],
) {
    let stages = &request.route.stages;
    for index in 0..stages.len() {
        let mut consumers = stages
            .iter()
            .zip(done)
            .filter(|(stage, _)| stage.after.contains(&index))
            .peekable();
        if consumers.peek().is_none() || !consumers.all(|(_, is_done)| *is_done) {
            continue;
        }
        match sole_consumer(request, index) {
            // The queue of the dependent stage has freed these results after fetching them.
            Some(_) => results.forget(index),
            None => results.release(index),
        }
    }
}

/// Failure domain that holds the most inputs of the stage at `index`, and the number of bytes that
/// all pieces of the stage fetch from there; without inputs, the domain that needs the results.
fn source_domain(
    service: &serve::Service,
    request: &request::Request,
    index: usize,
    source: &job::Source,
) -> (id::DomainId, size::ByteCount) {
    let own = service.core.settings.load().domain.clone();
    let job::Source::Results(handles) = source else {
        // Large results are computed in the failure domain of the engine that will fetch them.
        let is_large = request.route.stages[index].bytes >= LARGE_RESULT;
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
    let predecessors = stages[index]
        .after
        .iter()
        .filter_map(|after| stages.get(*after));
    let bytes = predecessors
        .map(|stage| stage.bytes.0)
        .max()
        .unwrap_or_default();
    let pieces = u64::from(piece_count(request, index));
    let fetch_size = count.saturating_mul(bytes).saturating_mul(pieces);
    (domain, size::ByteCount(fetch_size))
}

/// Index of the only stage that depends on the stage at `index`, if that stage has no other input.
fn sole_consumer(request: &request::Request, index: usize) -> Option<usize> {
    let stages = &request.route.stages;
    let mut consumers =
        (0..stages.len()).filter(|consumer| stages[*consumer].after.contains(&index));
    let consumer = consumers.next()?;
    (consumers.next().is_none() && stages[consumer].after.len() == 1).then_some(consumer)
}

/// Pool and size of the inputs of the stage at `index`, if no other stage depends on them.
fn exclusive_inputs(request: &request::Request, index: usize) -> Option<job::Inputs> {
    let stages = &request.route.stages;
    let predecessor = *stages[index].after.first()?;
    sole_consumer(request, predecessor)?;
    let producer = stages.get(predecessor)?;
    Some(job::Inputs {
        pool: producer.pool.clone(),
        bytes: producer.bytes,
    })
}

/// Refusal of a request whose stage at `index` cannot end in time.
fn refused_stage(
    service: &serve::Service,
    request: &request::Request,
    index: usize,
    priority: priority::Priority,
) -> StageFailure {
    let pool = &request.route.stages[index].pool;
    let wait = service.job_client.load(pool).wait_for(priority);
    let left = request.time_left(service.core.now());
    let wait = service.retry_after(request, left, wait);
    let reason = format!("stage `{index}` cannot end before the deadline; retry later");
    StageFailure::Final(failure::RequestFailure::refused(reason, wait))
}

async fn run_stage(
    service: &serve::Service,
    request: &request::Request,
    terms: terms::Terms,
    (index, inputs): (usize, Vec<handle::Handle>),
) -> Result<(usize, Vec<handle::Handle>), StageFailure> {
    let stage = &request.route.stages[index];
    let source = if stage.after.is_empty() {
        let key = request.head.piece_key.clone().ok_or_else(|| {
            let reason =
                "the header with the piece key is missing; send it, as the route's stages need it";
            StageFailure::Final(failure::RequestFailure::rejected(
                hyper::StatusCode::BAD_REQUEST,
                reason,
            ))
        })?;
        job::Source::Key(key)
    } else {
        job::Source::Results(inputs)
    };
    let (domain, fetch_size) = source_domain(service, request, index, &source);
    let now = service.core.now();
    let priority = request.priority(terms.has_begun);
    let later = |waits_of| {
        let steps = service.steps(request, waits_of);
        path::remaining(&steps, index).plus(serve::FIRST_EVENT_TIME)
    };
    let remaining = later(None);
    let time_left = terms.send_by - now - remaining;
    let pieces = piece_count(request, index);
    let least = service.least_call_time(&stage.pool, pieces);
    let drops = service.core.settings.load().admission.drop_unservable;
    if drops.is_on() && !whole::is_servable(terms.send_by - now, least, remaining) {
        service.core.metrics.dropped_stages.inc();
        log::info!(
            "event=stage-dropped request={} stage={index} pool={} pieces={pieces} least={least} \
             later={remaining} left={}",
            request.head.request_id,
            stage.pool,
            terms.send_by - now
        );
        return Err(refused_stage(service, request, index, priority));
    }
    // A stream that has begun has met its target latency or missed it.
    let target_left = if terms.has_begun {
        time_left
    } else {
        let plan = service.core.settings.load().plan;
        request.target_left(now)
            - match plan {
                settings::Plan::Calls => remaining,
                settings::Plan::Waits => later(Some(priority)),
            }
    };
    let job = job::Job {
        request: request.head.request_id.clone(),
        stage: index as u32,
        pieces: piece_count(request, index),
        source,
        priority,
        target_left,
        time_left,
        bytes: stage.bytes,
        domain,
        fetch_size,
        inputs: exclusive_inputs(request, index),
        fallback: job::Fallback::Wait,
    };
    let expected = service.job_client.load(&stage.pool).wait_for(priority);
    let outcome = service
        .job_client
        .compute(&stage.pool, job, request.job_terms())
        .await;
    if !matches!(outcome, outcome::JobOutcome::Completed(_)) {
        log::info!(
            "event=stage-failed request={} stage={index} pool={} pieces={} outcome={outcome} \
             left={time_left} wait={expected} span={} resumes={}",
            request.head.request_id,
            stage.pool,
            piece_count(request, index),
            service.core.now() - now,
            request.resumed_name()
        );
    }
    match outcome {
        outcome::JobOutcome::Completed(handles) => {
            log::info!(
                "event=stage-done request={} stage={index} pieces={} span={}",
                request.head.request_id,
                handles.len(),
                service.core.now() - now
            );
            Ok((index, handles))
        }
        outcome::JobOutcome::InputGone => Err(StageFailure::InputGone),
        outcome::JobOutcome::TimedOut => Err(refused_stage(service, request, index, priority)),
        outcome::JobOutcome::Failed | outcome::JobOutcome::HandedBack => {
            let reason =
                format!("stage `{index}` failed at every upstream that was tried; retry later");
            Err(StageFailure::Final(failure::RequestFailure::unavailable(
                reason,
            )))
        }
    }
}
