//! State of the upstreams as known to a daemon when it chooses one.

use basilgrade_policy::candidate;
use basilgrade_policy::prefix::preferred;
use basilgrade_policy::router;
use basilgrade_policy::share::pressure;

use crate::cache;
use crate::daemon;
use crate::deployment;
use crate::simulation::Simulation;
use crate::strategy::Mechanism;

impl Simulation<'_> {
    /// Transit time in one direction between a daemon and an upstream, in milliseconds.
    pub(super) fn transit_time(&self, from: usize, to: usize, bytes: u32) -> f64 {
        if from == to {
            return self.deployment.near_latency;
        }
        let transfer = f64::from(bytes) / 2.0 / self.deployment.bandwidth;
        (self.deployment.far_latency + transfer) * self.latency_factor
    }

    pub(super) fn call_shape(
        &self,
        request: usize,
        home: usize,
        stage: deployment::Stage,
    ) -> router::CallShape {
        let region = self.daemons[home].region;
        let price = |to: usize| {
            if to == region {
                0.0
            } else {
                self.deployment.link_price as f32
            }
        };
        let uses_prompt = self.deployment.pools[stage.pool].prefill > 0.0;
        router::CallShape {
            region: region as u16,
            bytes: stage.bytes,
            prices: (0..deployment::REGIONS).map(price).collect(),
            latencies: (0..deployment::REGIONS)
                .map(|to| self.transit_time(region, to, stage.bytes) as f32)
                .collect(),
            prompt: if uses_prompt {
                self.requests[request].prompt
            } else {
                0
            },
            output: (stage.output * self.shortening_factor(request)) as u32,
            deadline: self.stage_deadline(request),
            excluded: self.progress[request].excluded.clone(),
        }
    }

    pub(super) fn candidates(
        &mut self,
        request: usize,
        home: usize,
        stage: deployment::Stage,
        candidates: &mut Vec<candidate::Candidate>,
    ) {
        candidates.clear();
        let now = daemon::millis(self.now);
        let shape = &self.deployment.pools[stage.pool];
        let full_knowledge = self.strategy.has_full_knowledge();
        let mut hits = std::mem::take(&mut self.daemons[home].hits);
        let hashes = &self.requests[request].hashes;
        if shape.cache > 0 && self.strategy.has(Mechanism::Prefix) {
            self.daemons[home].index.lookup(now, hashes, &mut hits);
        }
        for index in self.pool_starts[stage.pool]..self.pool_starts[stage.pool + 1] {
            let server = &self.servers[index];
            let view = &self.daemons[home].views[index];
            let load = if full_knowledge {
                server.load()
            } else {
                view.load
            };
            let factor = if full_knowledge {
                (1.0 / server.speed) as f32
            } else if self.strategy.has(Mechanism::Speed) {
                self.relative_slowdown(home, index)
            } else {
                1.0
            };
            let weight = self.weight(home, index);
            let cached_tokens = if shape.cache == 0 {
                0
            } else if full_knowledge {
                server.cache.cached(hashes)
            } else if self.strategy.has(Mechanism::Prefix) {
                (f64::from(hits.blocks(index as u32)) * cache::BLOCK_TOKENS) as u32
            } else {
                0
            };
            candidates.push(candidate::Candidate {
                index: index as u32,
                region: server.region as u16,
                capacity: server.capacity,
                running: load.running,
                queued: load.queued,
                reported: if full_knowledge {
                    now
                } else {
                    daemon::millis(view.reported)
                },
                sent: if full_knowledge {
                    self.in_transit[index]
                } else {
                    view.sent_since_report()
                },
                inflight: view.sent.len() as u32,
                limit: u32::MAX,
                service_time: shape.service as f32 * factor,
                prefill: shape.prefill as f32 * factor,
                decode: shape.decode as f32 * factor,
                cached_tokens,
                weight,
                price: shape.price as f32,
            });
        }
        self.daemons[home].hits = hits;
        let saved_ms = shape.prefill * hashes.len() as f64 * cache::BLOCK_TOKENS;
        let price = self.deployment.link_price * f64::from(stage.bytes) / f64::from(1 << 20);
        let left_ms = (self.stage_deadline(request) - now).0 as f32;
        let settings = self.settings();
        if shape.cache > 0
            && !full_knowledge
            && self.strategy.has(Mechanism::Preferred)
            && preferred::is_cross_region_worthwhile(
                &settings,
                price as f32,
                saved_ms as f32,
                left_ms,
            )
        {
            let open = candidates.iter().filter(|found| found.weight > 0.0);
            let last = hashes.last().copied().unwrap_or_default();
            let preferred = preferred::preferred(last, open.map(|found| found.index));
            let found = candidates
                .iter_mut()
                .find(|found| Some(found.index) == preferred);
            if let Some(found) = found {
                let prompt_tokens = (hashes.len() as f64 * cache::BLOCK_TOKENS) as u32;
                found.cached_tokens = prompt_tokens;
            }
        }
    }

    /// Slowdown factor of an upstream relative to its pool.
    pub(super) fn relative_slowdown(&self, home: usize, server: usize) -> f32 {
        let factor = self.daemons[home].views[server]
            .slowdown
            .factor(daemon::millis(self.now));
        self.daemons[home].outliers[self.servers[server].pool].relative_slowdown(factor)
    }

    /// Weight of an upstream as seen by a daemon.
    pub(super) fn weight(&self, home: usize, server: usize) -> f32 {
        if self.strategy.has_full_knowledge() {
            return if self.servers[server].up { 1.0 } else { 0.0 };
        }
        let view = &self.daemons[home].views[server];
        let connection = if self.strategy.has(Mechanism::Connection) {
            view.connection.weight(daemon::millis(self.now))
        } else if self.now >= view.backoff_until {
            1.0
        } else {
            0.0
        };
        if !self.strategy.has(Mechanism::Outliers) {
            return connection;
        }
        let pool = self.servers[server].pool;
        let member = server - self.pool_starts[pool];
        connection.min(self.daemons[home].outliers[pool].weight(member))
    }

    /// Pressure on the pools that a request needs; busy if at least one of them is busy.
    pub(super) fn pressure(&self, request: usize, home: usize) -> pressure::PoolPressure {
        let pipeline = &self.deployment.pipelines[self.requests[request].pipeline];
        let busy = pipeline.stages.iter().any(|stage| {
            let range = self.pool_starts[stage.pool]..self.pool_starts[stage.pool + 1];
            let (load, capacity) = range.fold((0, 0), |(load, capacity), server| {
                let view = &self.daemons[home].views[server];
                let own = view.load.running + view.load.queued + view.sent_since_report();
                (load + own, capacity + self.servers[server].capacity)
            });
            let pressure = pressure::PoolPressure::from_load(load as f32, capacity as f32);
            pressure == pressure::PoolPressure::Busy
        });
        if busy {
            pressure::PoolPressure::Busy
        } else {
            pressure::PoolPressure::Spare
        }
    }
}
