//! Requests of a run. They are drawn before the run, so that every strategy gets the same requests.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use xxhash_rust::xxh3;

use crate::deployment;
use crate::scenario;

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Milliseconds since the start of the run.
    pub(crate) arrival: f64,
    pub(crate) customer: usize,
    pub(crate) pipeline: usize,
    pub(crate) region: usize,
    /// Position of the daemon within the region in which the request enters.
    pub(crate) entry: usize,
    /// Hashes of the prompt's blocks.
    pub(crate) hashes: Vec<u64>,
    pub(crate) prompt: u32,
    /// Factor on the mean number of generated tokens.
    pub(crate) length_factor: f64,
    /// Factor on the time of a call without its tokens.
    pub(crate) time_factor: f64,
}

/// Draws an index with the probabilities `fractions`, which add up to 1.
fn draw_index(fractions: impl Iterator<Item = f64>, rng: &mut rngs::StdRng) -> usize {
    let mut draw: f64 = rng.random();
    let mut last = 0;
    for (index, fraction) in fractions.enumerate() {
        last = index;
        draw -= fraction;
        if draw < 0.0 {
            break;
        }
    }
    last
}

/// Draws a log-normal factor with mean 1.
fn lognormal(sigma: f64, rng: &mut rngs::StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Draws the requests of a run. A load of 1 corresponds to `capacity` requests per second.
pub(crate) fn draw(
    deployment: &deployment::Deployment,
    scenario: &scenario::Scenario,
    capacity: f64,
    seed: u64,
) -> Vec<Request> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let topics = deployment.prompts.topics;
    let weights: Vec<f64> = (0..topics)
        .map(|rank| 1.0 / (rank as f64 + 1.0).powf(0.8))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut requests = Vec::new();
    let mut now = 0.0;
    while now < scenario::ARRIVALS_END_MS {
        let rates = scenario.rates(now, &deployment.customers);
        let (non_idempotent, slots) = deployment.non_idempotent_pipeline();
        let base_rate = rates.iter().sum::<f64>() * capacity / 1000.0;
        let rush_rate = scenario.rush(now) * slots / 1000.0;
        let rate = base_rate + rush_rate;
        now += -(1.0 - rng.random::<f64>()).ln() / rate;
        let sum: f64 = rates.iter().sum();
        let customer = draw_index(rates.iter().map(|rate| rate / sum), &mut rng);
        let pipeline = draw_index(
            deployment.pipelines.iter().map(|found| found.share),
            &mut rng,
        );
        let is_rush = rush_rate > 0.0 && rng.random::<f64>() < rush_rate / rate;
        let pipeline = if is_rush { non_idempotent } else { pipeline };
        let topic = draw_index(weights.iter().map(|weight| weight / total), &mut rng);
        let tail = deployment.prompts.tail_tokens * lognormal(0.4, &mut rng);
        let hashes = prompt_hashes(&deployment.prompts, customer, topic);
        requests.push(Request {
            arrival: now,
            customer,
            pipeline,
            region: draw_index(deployment.entry.iter().copied(), &mut rng),
            entry: rng.random_range(0..deployment.daemons),
            prompt: (hashes.len() as f64 * crate::cache::BLOCK_TOKENS + tail) as u32,
            hashes,
            length_factor: lognormal(0.3, &mut rng),
            time_factor: lognormal(0.3, &mut rng),
        });
    }
    requests
}

/// Hashes of the prompt's blocks: first the blocks of the customer, then those of the topic.
fn prompt_hashes(prompts: &deployment::Prompts, customer: usize, topic: usize) -> Vec<u64> {
    let common = (0..prompts.common_blocks).map(|block| [customer, 0, block]);
    let own = (0..prompts.topic_blocks).map(|block| [customer, topic + 1, block]);
    common
        .chain(own)
        .map(|parts| {
            let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
            xxh3::xxh3_64(&bytes)
        })
        .collect()
}
