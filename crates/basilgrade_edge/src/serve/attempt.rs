//! Selection of an upstream, and one attempt to send a request to it.

use std::sync;

use basilgrade_adapter::answer;
use basilgrade_adapter::forwarded_head;
use basilgrade_fleet::balance;
use basilgrade_fleet::brittleness;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::limit;
use basilgrade_fleet::model::handle;
use basilgrade_fleet::placement;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::verdict;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header;
use tokio::sync::watch;

use crate::core;
use crate::follow::registrations;
use crate::http::connection;
use crate::http::error;
use crate::request;
use crate::serve::buffered;
use crate::serve::engine_memory;
use crate::serve::stage_results;
use crate::tunnel::dialer;

/// Pause of a request that was denied permits for several upstreams and has no other candidate.
const HOLD_PAUSE: clock::Millis = clock::Millis(50);

/// Reason why a request is not sent to upstreams at their limits.
pub const LIMITED: &str = "the upstreams are at the limits that they name, or have no memory for the request; retry later";

/// Reason why a request is sent to no upstream while all of them want none.
pub const PAUSED: &str = "the upstreams want no requests for a while; retry later";

/// Cost, in milliseconds of delay, of transferring a megabyte of stage results to another failure
/// domain: the transfer time plus the billed price, converted to delay at the rate that applies to
/// recomputing shared prompt prefixes.
const RESULT_COST_MS_PER_MB: f64 = 10.0;

/// Reason of a refusal of a request that crashes engines, itself or by a part of its prompt.
pub const BLOCKED: &str =
    "the request or a part of its prompt crashes engines; do not send it again";

/// Guard that counts a request and its unread prompt tokens at an upstream until it is dropped.
pub struct LoadGuard {
    stats: sync::Arc<health::Stats>,
    tokens: u64,
    /// Units of work until the first event or the answer, by which the speed is learned.
    units: f64,
    _memory: engine_memory::MemoryGuard,
}

impl LoadGuard {
    fn begin(
        core: &core::Core,
        request: &request::Request,
        entry: &upstream::Upstream,
        memory: engine_memory::MemoryGuard,
    ) -> Self {
        let prompt = request.head.prompt.as_ref();
        let expected = match prompt {
            Some(prompt) if core.is_balancing() => {
                core.record_part(request);
                let view = core.view.load();
                let ready = view.directory.ready(&request.pool);
                Some(placement::expected_tokens(
                    &view.topology,
                    prompt,
                    entry,
                    ready,
                ))
            }
            _ => prompt.map(|prompt| prompt.tokens),
        };
        let work = request.route.kind.is_stream();
        let work = work.then(|| expected.unwrap_or_default());
        let units = entry.stats.expected_units(core.now(), work, entry.slots);
        let tokens = if core.is_uneven(&request.pool) {
            expected
        } else {
            prompt.map(|prompt| prompt.tokens)
        };
        let tokens = tokens.unwrap_or_default();
        entry.stats.begin();
        entry.stats.add_tokens(tokens);
        Self {
            stats: sync::Arc::clone(&entry.stats),
            tokens,
            units,
            _memory: memory,
        }
    }

    /// Records that the first event or the answer has arrived `span` after the request was sent.
    pub fn record_speed(&self, now: clock::Millis, span: clock::Millis) {
        let units = self.units;
        let sample = balance::Sample { units, span };
        self.stats.tracker().record_sample(now, sample);
    }

    /// Records that the engine has read the prompt.
    pub fn prompt_read(&mut self) {
        self.stats.remove_tokens(self.tokens);
        self.tokens = 0;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.prompt_read();
        self.stats.end();
    }
}

/// Answer of an upstream, of which the head has arrived and the body has not been read.
pub struct UnreadAnswer {
    /// Status and properties decoded from the head of the answer.
    pub answer: answer::Answer,
    pub headers: HeaderMap,
    pub body: Incoming,
    /// Connection that carries the body; closed on drop.
    pub connection: connection::Connection,
    /// Guard that counts the request at the upstream.
    pub load: LoadGuard,
    /// Time at which the request was sent.
    pub sent: clock::Millis,
}

/// Data sent to an upstream in addition to the caller's request.
#[derive(Clone, Debug, Default)]
pub struct SendExtras {
    /// Handles of the results of the route's last stages.
    pub results: Vec<handle::Handle>,
    /// Id of the last stream event that the caller has received.
    pub last_event: Option<u64>,
    /// Read again before a stream that must go on at its software version leaves.
    pub registrations: Option<sync::Arc<registrations::Registrations>>,
    /// Set when the request leaves.
    pub sent: watch::Sender<bool>,
}

/// Failure domain of the upstream that would be chosen for `request` regardless of stage results.
pub fn preferred_domain(core: &core::Core, request: &request::Request) -> Option<id::DomainId> {
    let view = core.view.load();
    let demand = placement::Demand {
        prompt: request.head.prompt.as_ref(),
        result_domain: None,
        transfer_cost: 0.0,
        tried: &[],
        held: &[],
        draw: core.draw(request),
    };
    let now = core.now();
    let ready = view.directory.ready(&request.pool);
    let ready = ready.filter(|entry| {
        entry.is_accepting(now) && view.topology.is_allowed(&request.regions, &entry.domain)
    });
    let chosen = placement::choose(now, &view.topology, &demand, ready)?;
    Some(chosen.domain.clone())
}

/// Whether the pool has an upstream in good health that may get `request` after those in `sends`.
pub fn has_candidate(
    core: &core::Core,
    request: &request::Request,
    sends: &buffered::SendHistory,
) -> bool {
    let now = core.now();
    let view = core.view.load();
    let mut ready = view.directory.ready(&request.pool);
    ready.any(|entry| {
        let required = sends.version.as_ref();
        required.is_none_or(|version| entry.version == *version)
            && view.topology.is_allowed(&request.regions, &entry.domain)
            && !sends.tried.contains(&entry.id)
            && entry.is_accepting(now)
            && !entry.stats.is_backing_off(now)
    })
}

/// Choice of the upstream for a send.
pub enum Choice {
    /// The best upstream.
    Chosen {
        entry: sync::Arc<upstream::Upstream>,
        /// Permits that the request may take there.
        claim: limit::Claim,
        /// Whether other daemons may know of a limit that this one does not know.
        is_doubtful: bool,
    },
    /// Every candidate is at its limit, or at that of this daemon for it, until this time or later.
    Held(clock::Millis),
    /// The pool has no candidate.
    Nothing,
}

/// Chooses a ready upstream for `request` that was not tried in `sends` and has the software version
/// that it names, by load, distance and the location of `results`.
///
/// Upstreams with a limit are left out while this daemon gets no permit for them, and all of them if
/// `skips_limited` is set.
pub fn choose(
    core: &core::Core,
    request: &request::Request,
    results: &stage_results::StageResults,
    sends: &buffered::SendHistory,
    skips_limited: bool,
) -> Choice {
    let view = core.view.load();
    let now = core.now();
    let tried = &sends.tried;
    let is_eligible = |entry: &&sync::Arc<upstream::Upstream>| {
        let required = sends.version.as_ref();
        required.is_none_or(|version| entry.version == *version)
            && view.topology.is_allowed(&request.regions, &entry.domain)
            && entry.is_accepting(now)
            && !(sends.has_silent && entry.stats.is_backing_off(now))
    };
    let ready = || view.directory.ready(&request.pool).filter(is_eligible);
    let is_pool_limited = ready().any(|entry| entry.stats.is_limited());
    let is_doubtful = is_pool_limited || !ready().any(|entry| entry.stats.is_heard());
    // Requests that others serve as well leave the permits to those that gain from cached parts.
    let claim = match &request.head.prompt {
        Some(prompt)
            if !placement::gains_from_cache(prompt)
                && !ready().all(|entry| entry.stats.is_limited()) =>
        {
            limit::Claim::Spare
        }
        _ => limit::Claim::Any,
    };
    let mut holds = Holds::default();
    let untried = || ready().filter(|entry| !tried.contains(&entry.id));
    for entry in untried() {
        let is_cold = entry.stats.is_cold(now) && core.refresh_cold(entry);
        if !is_pool_limited && !is_cold {
            continue;
        }
        let known = entry.stats.limit();
        match known.need(now, claim_at(&known, claim), is_pool_limited) {
            limit::Need::Held(until) => holds.add(&entry.id, until),
            _ if skips_limited && known.is_bound() => {
                holds.add(&entry.id, now.plus(HOLD_PAUSE));
            }
            _ => {}
        }
    }
    for entry in untried().filter(|entry| is_brittle_full(entry, now, view.daemons)) {
        holds.add(&entry.id, now.plus(HOLD_PAUSE));
    }
    for id in engine_memory::full(core, &view, request, ready()) {
        if !tried.contains(&id) {
            holds.add(&id, now.plus(HOLD_PAUSE));
        }
    }
    let holder = largest_holder(&view.directory, results);
    let demand = placement::Demand {
        prompt: request.head.prompt.as_ref(),
        result_domain: holder.as_ref().map(|(domain, _)| domain),
        transfer_cost: holder.as_ref().map_or(0.0, |(_, cost)| *cost),
        tried,
        held: &holds.upstreams,
        draw: core.draw(request),
    };
    let chosen = placement::choose(now, &view.topology, &demand, ready());
    let Some(chosen) = chosen else {
        return holds.until.map_or(Choice::Nothing, Choice::Held);
    };
    let known = chosen.stats.tracker();
    log::info!(
        "event=placed request={} upstream={} pool={} domain={} active={} tokens={} tried={} \
         version={} software={} resumes={} pace={:.4} others_tokens={:.0} report_age={}",
        request.head.request_id,
        chosen.id,
        request.pool,
        chosen.domain,
        chosen.stats.active(),
        chosen.stats.pending_tokens(),
        tried.len(),
        view.configuration.as_ref().map_or(0, |known| known.version),
        chosen.version,
        request.resumed_name(),
        known.pace().unwrap_or_default(),
        known.others_work(now).tokens,
        known
            .report_age(now)
            .map_or_else(|| "none".to_owned(), |age| age.to_string())
    );
    let claim = claim_at(&chosen.stats.limit(), claim);
    drop(known);
    Choice::Chosen {
        entry: sync::Arc::clone(chosen),
        claim,
        is_doubtful,
    }
}

/// Upstreams that get no request of this daemon now.
#[derive(Default)]
struct Holds {
    upstreams: Vec<id::UpstreamId>,
    /// Time at which the first of them may get one.
    until: Option<clock::Millis>,
}

impl Holds {
    fn add(&mut self, id: &id::UpstreamId, until: clock::Millis) {
        if !self.upstreams.contains(id) {
            self.upstreams.push(id.clone());
        }
        self.until = Some(self.until.map_or(until, |known| known.min(until)));
    }
}

/// Whether `entry` is brittle and has as many requests of this daemon, one of `daemons`, as it may.
fn is_brittle_full(entry: &upstream::Upstream, now: clock::Millis, daemons: usize) -> bool {
    let notices = &entry.stats.notices;
    let shares = brittleness::Shares {
        daemons,
        slots: entry.slots,
    };
    notices.is_brittle()
        && notices
            .brittleness()
            .is_full(now, shares, entry.stats.active())
}

/// Permits that a request may take at an upstream with the limit `known`.
///
/// An upstream that is cold has no prompt parts in its cache, so its permits are kept for no request.
fn claim_at(known: &limit::Limit, claim: limit::Claim) -> limit::Claim {
    if known.rate().is_none() && known.is_bound() {
        return limit::Claim::Any;
    }
    claim
}

/// Time until an upstream takes `request`, if all upstreams that may get it want no requests now.
pub fn pause(
    core: &core::Core,
    request: &request::Request,
    version: Option<&upstream::Version>,
) -> Option<clock::Millis> {
    let view = core.view.load();
    let now = core.now();
    let ready = view.directory.ready(&request.pool);
    let eligible = ready.filter(|entry| {
        version.is_none_or(|version| entry.version == *version)
            && view.topology.is_allowed(&request.regions, &entry.domain)
    });
    let until = eligible
        .map(|entry| entry.stats.notices.paused_until())
        .min()?;
    (until > now).then(|| until - now)
}

/// Failure domain that holds the most bytes of `results`, and the cost, in milliseconds of delay,
/// of transferring these bytes to another failure domain.
fn largest_holder(
    directory: &basilgrade_fleet::directory::Directory,
    results: &stage_results::StageResults,
) -> Option<(id::DomainId, f64)> {
    let mut bytes: indexmap::IndexMap<&id::DomainId, u64> = indexmap::IndexMap::new();
    for (handle, size) in results.sized() {
        let Some(address) = handle.holder() else {
            continue;
        };
        if let Some(domain) = directory.domain(address) {
            let sum = bytes.entry(domain).or_default();
            *sum = sum.saturating_add(size);
        }
    }
    let (domain, size) = bytes.into_iter().max_by_key(|(_, size)| *size)?;
    Some((domain.clone(), size as f64 / 1e6 * RESULT_COST_MS_PER_MB))
}

/// Sends `request` to the upstream `entry` and waits for the head of the answer.
///
/// # Errors
///
/// [`error::SendError`] with the verdict on whether the request may have run.
pub async fn send(
    core: &core::Core,
    request: &request::Request,
    entry: &upstream::Upstream,
    permit: limit::Permit,
    extras: &SendExtras,
) -> Result<UnreadAnswer, error::SendError> {
    let memory = engine_memory::MemoryGuard::begin(core, request, entry)
        .ok_or_else(|| error::SendError::unsent(engine_memory::FULL))?;
    let load = LoadGuard::begin(core, request, entry, memory);
    let mut connection = dialer::open(core, entry, &request.regions)
        .await
        .inspect_err(|_| entry.stats.record(core.now(), health::Outcome::Unreachable))?;
    if let Some(registrations) = &extras.registrations {
        // The upstream may have started again at another version since its registration was read.
        // The run that has accepted the connection is in what the store has now.
        if let Err(reason) = registrations.confirm().await {
            log::info!(
                "event=registrations-unread request={} upstream={} reason={reason:?}",
                request.head.request_id,
                entry.id
            );
        }
    }
    if core.is_blocked(request) {
        return Err(error::SendError::unsent(BLOCKED));
    }
    if !core.accepts(&entry.id, entry.address) || !core.has_version(entry) {
        return Err(error::SendError::unsent(
            "the upstream is leaving or was replaced",
        ));
    }
    let topology = sync::Arc::clone(&core.view.load().topology);
    if !topology.is_allowed(&request.regions, &entry.domain) {
        return Err(error::SendError::unsent(
            "the upstream is in a region that does not serve the request",
        ));
    }
    let sent = core.now();
    if !entry.stats.limit().allows(sent, permit) {
        return Err(error::SendError::unsent(LIMITED));
    }
    let forward = forwarded_head::ForwardedHead {
        upstream: &entry.id,
        time_left: request.time_left(sent),
        customer: request.customer.as_ref().map(|customer| &customer.name),
        has_keys: request.has_keys,
        priority: request
            .route
            .kind
            .is_stream()
            .then(|| request.priority(request.has_begun(extras.last_event))),
        results: &extras.results,
        last_event: extras.last_event,
    };
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = forward.headers(&request.headers);
    if !request.body.is_empty() {
        let length = header::HeaderValue::from(request.body.len());
        message.headers_mut().insert(header::CONTENT_LENGTH, length);
    }
    request.begin_send();
    extras.sent.send_replace(true);
    request.upload.begin(&connection.written);
    let sent_message = connection.send(message).await;
    request.upload.end();
    let response = sent_message.inspect_err(|failure| {
        if failure.verdict == verdict::Verdict::NotRun {
            request.end_unexecuted();
        } else {
            core.record_break(entry, request);
        }
        entry.stats.record(core.now(), health::Outcome::Unreachable);
    })?;
    let (head, body) = response.into_parts();
    let answer = answer::Answer::decode(head.status, &head.headers, &request.head.request_id);
    if answer.is_matching == Some(false) {
        entry.stats.record(core.now(), health::Outcome::Failed);
        return Err(error::SendError::broken(
            "the answer echoes the id of another request",
        ));
    }
    core.record_limit(entry, &answer);
    core.record_notices(entry, &answer, core.view.load().daemons);
    if answer.is_unexecuted {
        request.end_unexecuted();
        entry.stats.record(core.now(), health::Outcome::Full);
    }
    Ok(UnreadAnswer {
        answer,
        headers: head.headers,
        body,
        connection,
        load,
        sent,
    })
}
