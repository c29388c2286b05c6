//! Choice of the upstream for a whole request.
//!
//! Answers the load of many small requests that share parts of their prompts: it keeps requests
//! about the same subject together while their engine has room, and stays in the failure domain
//! while that does not cost time.

use std::sync;

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::directory::upstream;
use crate::model::prompt;
use crate::ranking;

/// Prompt tokens that an engine reads in a millisecond when nothing was measured.
const READ_TOKENS_PER_MS: f64 = 50.0;

/// Added for a crossing into another failure domain of the region, and into another region.
///
/// In milliseconds of delay: a round trip, and the price of the bytes that cross.
const DOMAIN_CROSSING: f64 = 15.0;
const REGION_CROSSING: f64 = 60.0;

/// Added for each request of this daemon at the upstream: each one slows the tokens of the others.
const ACTIVE_COST: f64 = 4.0;

/// Added for an upstream that fails often or rests, so that it is the last resort.
const DOUBT_COST: f64 = 400.0;
const REST_COST: f64 = 100_000.0;

/// Where a daemon stands and what it knows of the distances.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The daemon's failure domain.
    pub domain: id::DomainId,
    /// Region of each failure domain.
    pub regions: IndexMap<id::DomainId, id::RegionId>,
}

impl Topology {
    /// Cost of a crossing from one failure domain to another, in milliseconds.
    pub fn crossing_cost(&self, from: &id::DomainId, to: &id::DomainId) -> f64 {
        if from == to {
            return 0.0;
        }
        let same = match (self.regions.get(from), self.regions.get(to)) {
            (Some(one), Some(other)) => one == other,
            _ => false,
        };
        if same {
            DOMAIN_CROSSING
        } else {
            REGION_CROSSING
        }
    }
}

/// What is placed.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Its prompt, if it is a generation.
    pub prompt: Option<&'a prompt::Prompt>,
    /// Failure domain that holds large stage results for it.
    pub result_domain: Option<&'a id::DomainId>,
    /// Cost of results that cross failure domains, in milliseconds.
    pub transfer_cost: f64,
    /// Upstreams that were tried already.
    pub tried: &'a [id::UpstreamId],
}

/// The cost of `candidate` for `demand`; less is better.
pub fn cost(
    now: clock::Millis,
    place: &Topology,
    demand: &Demand<'_>,
    candidate: &upstream::Upstream,
    is_home: bool,
) -> f64 {
    let evidence = &candidate.stats;
    let mut cost = place.crossing_cost(&place.domain, &candidate.domain);
    cost += f64::from(evidence.active()) * ACTIVE_COST;
    if let Some(prompt) = demand.prompt {
        // Other daemons' requests are spread alike over the engines, so they do not decide.
        let waiting = evidence.pending_tokens() as f64;
        let read = if is_home {
            prompt.tokens.saturating_sub(prompt.shared_tokens())
        } else {
            prompt.tokens
        };
        cost += (waiting + read as f64) / READ_TOKENS_PER_MS;
    } else {
        cost += evidence.latency().as_f64();
    }
    if demand
        .result_domain
        .is_some_and(|domain| *domain != candidate.domain)
    {
        cost += demand.transfer_cost;
    }
    if evidence.is_unreliable() {
        cost += DOUBT_COST;
    }
    if evidence.is_backing_off(now) {
        cost += REST_COST;
    }
    cost
}

/// The best of `candidates`, or `None` when there is none left to try.
pub fn choose<'a>(
    now: clock::Millis,
    place: &Topology,
    demand: &Demand<'_>,
    candidates: impl Iterator<Item = &'a sync::Arc<upstream::Upstream>>,
) -> Option<&'a sync::Arc<upstream::Upstream>> {
    let candidates: Vec<_> = candidates
        .filter(|candidate| !demand.tried.contains(&candidate.id))
        .collect();
    let homes = demand.prompt.map(|prompt| homes(now, prompt, &candidates));
    let homes = homes.unwrap_or_default();
    candidates
        .into_iter()
        .map(|candidate| {
            let is_home = homes.contains(&&candidate.id);
            (cost(now, place, demand, candidate, is_home), candidate)
        })
        .min_by(|one, other| one.0.total_cmp(&other.0))
        .map(|(_, candidate)| candidate)
}

/// The engines that requests with this prompt go to if they have room.
///
/// One for all failure domains if reading the shared parts again costs more than the way to
/// another region, and one in each failure domain otherwise.
fn homes<'a>(
    now: clock::Millis,
    prompt: &prompt::Prompt,
    candidates: &[&'a sync::Arc<upstream::Upstream>],
) -> Vec<&'a id::UpstreamId> {
    let Some(subject) = prompt.last_shared() else {
        return Vec::new();
    };
    let is_global = prompt.shared_tokens() as f64 / READ_TOKENS_PER_MS > REGION_CROSSING;
    let mut best: IndexMap<Option<&id::DomainId>, (u64, &id::UpstreamId)> = IndexMap::new();
    let is_sound = |candidate: &&&sync::Arc<upstream::Upstream>| {
        !candidate.stats.is_backing_off(now) && !candidate.stats.is_unreliable()
    };
    for candidate in candidates.iter().filter(is_sound) {
        let weight = ranking::weight(subject.id, candidate.id.as_str());
        let reach = (!is_global).then_some(&candidate.domain);
        let entry = best.entry(reach).or_insert((weight, &candidate.id));
        if weight > entry.0 {
            *entry = (weight, &candidate.id);
        }
    }
    best.into_values().map(|(_, id)| id).collect()
}
