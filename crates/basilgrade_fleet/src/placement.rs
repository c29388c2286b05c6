//! Placement of a request that one upstream serves as a whole.
//!
//! The load consists of many small requests that share parts of their prompts. Requests with the
//! same shared part go to the same engine while it has capacity, and they stay in the failure
//! domain of the daemon while that adds no delay.

use std::sync;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::balance;
use crate::directory::upstream;
use crate::model::allowed_regions;
use crate::model::prompt;
use crate::ranking;

/// Prompt tokens that an engine prefills per millisecond; fixed, as prefill rates are not measured.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Cost of crossing into another failure domain of the same region, in milliseconds of delay: a
/// round trip plus the price of the transferred bytes.
const DOMAIN_CROSSING_COST_MS: f64 = 15.0;
/// Cost of crossing into another region, in milliseconds of delay: a round trip plus the price of
/// the transferred bytes.
const REGION_CROSSING_COST_MS: f64 = 60.0;

/// Cost of each request of this daemon at the upstream, as each one slows token generation for the
/// others.
const ACTIVE_REQUEST_COST_MS: f64 = 4.0;

/// Cost of an upstream that fails often, so that other upstreams are preferred.
const UNRELIABLE_COST_MS: f64 = 400.0;
/// Cost of an upstream that names a limit, less the delay that the cached parts of a prompt save
/// there, so that its few requests are those that gain most.
const LIMITED_COST_MS: f64 = 60.0;
/// Cost of an upstream that is backed off, so that it is chosen only if all others are backed off
/// too.
const BACKOFF_COST_MS: f64 = 100_000.0;

/// Position of this daemon among the failure domains and regions.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Failure domain of this daemon.
    pub domain: id::DomainId,
    /// Region of each failure domain.
    pub regions: IndexMap<id::DomainId, id::RegionId>,
}

impl Topology {
    /// Whether `regions` allows the failure domain `domain`.
    pub fn is_allowed(
        &self,
        regions: &allowed_regions::AllowedRegions,
        domain: &id::DomainId,
    ) -> bool {
        !regions.is_restricted() || regions.allows(self.regions.get(domain))
    }

    /// Whether `regions` allows any failure domain of the deployment.
    pub fn allows_any(&self, regions: &allowed_regions::AllowedRegions) -> bool {
        let mut domains = self.regions.keys();
        !regions.is_restricted() || domains.any(|domain| self.is_allowed(regions, domain))
    }

    /// Cost of crossing from one failure domain to another, in milliseconds of delay.
    pub fn crossing_cost(&self, from: &id::DomainId, to: &id::DomainId) -> f64 {
        if from == to {
            return 0.0;
        }
        let is_same_region = match (self.regions.get(from), self.regions.get(to)) {
            (Some(one), Some(other)) => one == other,
            _ => false,
        };
        if is_same_region {
            DOMAIN_CROSSING_COST_MS
        } else {
            REGION_CROSSING_COST_MS
        }
    }
}

/// Properties of a request that affect its placement.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Prompt of the request, if the request is a generation.
    pub prompt: Option<&'a prompt::Prompt>,
    /// Failure domain that holds large stage results for the request.
    pub result_domain: Option<&'a id::DomainId>,
    /// Cost of transferring the stage results to another failure domain, in milliseconds of delay.
    pub transfer_cost: f64,
    /// Upstreams that the request was already sent to.
    pub tried: &'a [id::UpstreamId],
    /// Upstreams that get no request now because of their limits.
    pub held: &'a [id::UpstreamId],
    /// Draw of the candidates if loads are learned; `None` in the mode [`balance::Mode::Off`].
    pub draw: Option<balance::Draw>,
}

/// Cost of sending `demand` to `candidate`, in milliseconds of delay; the lowest cost wins.
///
/// `is_preferred` tells that the candidate probably has the shared parts of the prompt in its
/// cache.
pub fn cost(
    now: clock::Millis,
    topology: &Topology,
    demand: &Demand<'_>,
    candidate: &upstream::Upstream,
    is_preferred: bool,
) -> f64 {
    let stats = &candidate.stats;
    let mut cost = topology.crossing_cost(&topology.domain, &candidate.domain);
    cost += f64::from(stats.active()) * ACTIVE_REQUEST_COST_MS;
    let mut saved = 0.0;
    if let Some(prompt) = demand.prompt {
        // Requests of other daemons are spread evenly over the engines, so they do not affect the
        // choice.
        let pending = stats.pending_tokens() as f64;
        let cached = if is_preferred {
            prompt.shared_tokens().min(prompt.tokens)
        } else {
            0
        };
        saved = cached as f64 / PREFILL_TOKENS_PER_MS;
        cost += (pending + prompt.tokens as f64) / PREFILL_TOKENS_PER_MS - saved;
    } else {
        cost += stats.latency().as_f64();
    }
    with_penalties(cost, now, demand, candidate, saved)
}

/// Cost of sending `demand` to `candidate` by its estimated `load`, in milliseconds of delay.
fn learned_cost(
    now: clock::Millis,
    topology: &Topology,
    demand: &Demand<'_>,
    candidate: &upstream::Upstream,
    load: &balance::Load,
    by_tokens: bool,
    is_preferred: bool,
) -> f64 {
    let mut cost = topology.crossing_cost(&topology.domain, &candidate.domain);
    if !by_tokens {
        return with_penalties(cost + load.time(1.0), now, demand, candidate, 0.0);
    }
    let tokens = |has_shared_parts| {
        let prompt = demand.prompt;
        prompt.map_or(0, |prompt| uncached_tokens(prompt, has_shared_parts))
    };
    let uncached = tokens(is_preferred);
    let repeated = (uncached - tokens(true)) as f64 * balance::REPEATED_TOKEN_COST;
    cost += load.time(balance::prompt_units(uncached) + repeated);
    cost += load.active * ACTIVE_REQUEST_COST_MS;
    let saved = load.pace * (tokens(false) - uncached) as f64;
    with_penalties(cost, now, demand, candidate, saved)
}

/// Prompt tokens that an engine has to process, which `has_shared_parts` in its cache or has not.
fn uncached_tokens(prompt: &prompt::Prompt, has_shared_parts: bool) -> u64 {
    let cached = if has_shared_parts {
        prompt.shared_tokens()
    } else {
        0
    };
    prompt.tokens.saturating_sub(cached)
}

/// `cost` with the costs of transfers, limits and failures, in milliseconds of delay; `saved` is the
/// delay that cached parts of the prompt save.
fn with_penalties(
    mut cost: f64,
    now: clock::Millis,
    demand: &Demand<'_>,
    candidate: &upstream::Upstream,
    saved: f64,
) -> f64 {
    let stats = &candidate.stats;
    if demand
        .result_domain
        .is_some_and(|domain| *domain != candidate.domain)
    {
        cost += demand.transfer_cost;
    }
    if stats.is_limited() || stats.is_cold(now) {
        cost += (LIMITED_COST_MS - saved).max(0.0);
    }
    if stats.is_unreliable() {
        cost += UNRELIABLE_COST_MS;
    }
    if stats.is_backing_off(now) {
        cost += BACKOFF_COST_MS;
    }
    cost
}

/// The candidate with the lowest cost, or `None` if every candidate was already tried or is held.
pub fn choose<'a>(
    now: clock::Millis,
    topology: &Topology,
    demand: &Demand<'_>,
    candidates: impl Iterator<Item = &'a sync::Arc<upstream::Upstream>>,
) -> Option<&'a sync::Arc<upstream::Upstream>> {
    let candidates: Vec<_> = candidates
        .filter(|candidate| !demand.tried.contains(&candidate.id))
        .collect();
    if let Some(draw) = demand.draw {
        return choose_learned(now, topology, demand, &candidates, draw);
    }
    let preferred_engines = demand
        .prompt
        .map(|prompt| preferred_engines(now, prompt, &candidates, demand.held));
    let preferred_engines = preferred_engines.unwrap_or_default();
    candidates
        .into_iter()
        .filter(|candidate| !demand.held.contains(&candidate.id))
        .map(|candidate| {
            let is_preferred = preferred_engines.contains(&&candidate.id);
            (
                cost(now, topology, demand, candidate, is_preferred),
                candidate,
            )
        })
        .min_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, candidate)| candidate)
}

/// The candidate with the lowest cost among a few random ones and the engines that are preferred for
/// the shared part of the prompt.
///
/// Half of the draws are from the own failure domain, the others are weighted by nearness; all are
/// weighted by speed. Candidates in good health are considered first.
fn choose_learned<'a>(
    now: clock::Millis,
    topology: &Topology,
    demand: &Demand<'_>,
    candidates: &[&'a sync::Arc<upstream::Upstream>],
    draw: balance::Draw,
) -> Option<&'a sync::Arc<upstream::Upstream>> {
    let is_open = |entry: &&&sync::Arc<upstream::Upstream>| !demand.held.contains(&entry.id);
    let open: Vec<_> = candidates.iter().filter(is_open).copied().collect();
    let is_healthy = |entry: &&&sync::Arc<upstream::Upstream>| {
        !entry.stats.is_backing_off(now) && !entry.stats.is_unreliable()
    };
    let healthy: Vec<_> = open.iter().filter(is_healthy).copied().collect();
    let candidates = if healthy.is_empty() { open } else { healthy };
    let loads = balance::loads(now, &candidates, draw.by_tokens);
    let weight = |candidate: &upstream::Upstream, load: &balance::Load| {
        let crossing = topology.crossing_cost(&topology.domain, &candidate.domain);
        1.0 / load.pace / (1.0 + crossing / DOMAIN_CROSSING_COST_MS)
    };
    let known = || candidates.iter().zip(&loads);
    let near = known().map(|(candidate, load)| {
        let is_near = candidate.domain == topology.domain;
        if is_near { 1.0 / load.pace } else { 0.0 }
    });
    let all = known().map(|(candidate, load)| weight(candidate, load));
    let mut drawn = balance::draw(draw.seed, near);
    drawn.extend(balance::draw(ranking::mix(draw.seed, u64::MAX), all));
    let preferred = demand
        .prompt
        .filter(|_| draw.by_tokens)
        .map(|prompt| preferred_by_load(topology, prompt, &candidates, &loads, draw));
    let preferred = preferred.unwrap_or_default();
    let all = preferred.iter().map(|index| (*index, true));
    let drawn = drawn
        .iter()
        .filter(|index| !preferred.contains(index))
        .map(|index| (*index, false));
    all.chain(drawn)
        .map(|(index, is_preferred)| {
            let (candidate, load) = (candidates[index], &loads[index]);
            let cost = learned_cost(
                now,
                topology,
                demand,
                candidate,
                load,
                draw.by_tokens,
                is_preferred,
            );
            let random = ranking::mix(draw.seed, index as u64) as f64 / u64::MAX as f64;
            let cost = cost * (1.0 + random * balance::COST_VARIATION);
            (cost, candidate)
        })
        .min_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, candidate)| candidate)
}

/// Indices of the engines among `candidates` that are preferred for the shared part of `prompt` with
/// these `loads`; one for all failure domains or the one of the own domain, as
/// [`preferred_engines`].
fn preferred_by_load(
    topology: &Topology,
    prompt: &prompt::Prompt,
    candidates: &[&sync::Arc<upstream::Upstream>],
    loads: &[balance::Load],
    draw: balance::Draw,
) -> Vec<usize> {
    let Some(last_shared) = prompt.last_shared() else {
        return Vec::new();
    };
    let is_global = gains_from_cache(prompt);
    let in_scope = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| is_global || candidate.domain == topology.domain);
    let mut ranked: Vec<_> = in_scope
        .map(|(index, candidate)| {
            let weight = ranking::weight(last_shared.id.0, candidate.id.as_str());
            (std::cmp::Reverse(weight), index)
        })
        .collect();
    let units = balance::prompt_units(uncached_tokens(prompt, true));
    // Requests of other failure domains prefer their own engines, unless one is preferred by all.
    let share = ranked.len() as f64 / candidates.len().max(1) as f64;
    let ranks =
        balance::AFFINITY_RANKS + balance::additional_ranks(draw.part_rate * share, units, loads);
    if ranked.len() > ranks {
        ranked.select_nth_unstable(ranks);
        ranked.truncate(ranks);
    }
    ranked.sort_unstable();
    let ranked: Vec<_> = ranked.into_iter().map(|(_, index)| index).collect();
    balance::preferred(&ranked, loads, units, draw.seed)
}

/// Tokens of `prompt` that `engine` is expected to process: without the shared parts if it is one of
/// those among `candidates` that are preferred for them.
pub fn expected_tokens<'a>(
    topology: &Topology,
    prompt: &prompt::Prompt,
    engine: &upstream::Upstream,
    candidates: impl Iterator<Item = &'a sync::Arc<upstream::Upstream>>,
) -> u64 {
    let Some(last_shared) = prompt.last_shared() else {
        return prompt.tokens;
    };
    let is_global = gains_from_cache(prompt);
    let is_in_scope = is_global || engine.domain == topology.domain;
    let rank = |entry: &upstream::Upstream| ranking::weight(last_shared.id.0, entry.id.as_str());
    let own = rank(engine);
    let before = candidates
        .filter(|entry| is_global || entry.domain == engine.domain)
        .filter(|entry| rank(entry) > own);
    let has_shared_parts = is_in_scope && before.count() < balance::AFFINITY_RANKS;
    uncached_tokens(prompt, has_shared_parts)
}

/// Whether prefilling the shared parts of `prompt` again costs more than crossing into another
/// region.
pub fn gains_from_cache(prompt: &prompt::Prompt) -> bool {
    prompt.shared_tokens() as f64 / PREFILL_TOKENS_PER_MS > REGION_CROSSING_COST_MS
}

/// Engines that receive all requests with the shared part of this prompt, while they have capacity.
///
/// Returns one engine for all failure domains if prefilling the shared parts again costs more than
/// crossing into another region, and one engine in each failure domain otherwise. While that engine
/// is in `held`, an engine without a limit takes its place.
fn preferred_engines<'a>(
    now: clock::Millis,
    prompt: &prompt::Prompt,
    candidates: &[&'a sync::Arc<upstream::Upstream>],
    held: &[id::UpstreamId],
) -> Vec<&'a id::UpstreamId> {
    let Some(last_shared) = prompt.last_shared() else {
        return Vec::new();
    };
    let is_global = gains_from_cache(prompt);
    let is_healthy = |candidate: &&&sync::Arc<upstream::Upstream>| {
        !candidate.stats.is_backing_off(now) && !candidate.stats.is_unreliable()
    };
    let mut best: IndexMap<Option<&id::DomainId>, Preferred<'_>> = IndexMap::new();
    for candidate in candidates.iter().filter(is_healthy) {
        let ranked = Some((
            ranking::weight(last_shared.id.0, candidate.id.as_str()),
            &candidate.id,
        ));
        let scope = (!is_global).then_some(&candidate.domain);
        let entry = best.entry(scope).or_default();
        entry.first = entry.first.max(ranked);
        if !candidate.stats.is_limited() {
            entry.unlimited = entry.unlimited.max(ranked);
        }
    }
    let engines = best.into_values().filter_map(|entry| {
        let is_held = entry.first.is_some_and(|(_, id)| held.contains(id));
        if is_held {
            entry.unlimited
        } else {
            entry.first
        }
    });
    engines.map(|(_, id)| id).collect()
}

/// Engines with the highest weights for a shared part, each with its weight.
#[derive(Default)]
struct Preferred<'a> {
    first: Option<(u64, &'a id::UpstreamId)>,
    /// The first one among those without a limit.
    unlimited: Option<(u64, &'a id::UpstreamId)>,
}
