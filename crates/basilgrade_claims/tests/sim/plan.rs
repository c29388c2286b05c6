//! Plans of simulations: faults and calls, listed explicitly so that a failing plan can be reduced.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// An injected fault; `down` and `span` are durations in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The daemon is killed; a new one starts on the same VM after `down`.
    Kill { vm: usize, down: u64 },
    /// The daemon is suspended for `span` and does not notice it.
    Pause { vm: usize, span: u64 },
    /// The VMs in `group`, a bit set, and the other VMs cannot reach each other.
    Partition { group: u32, span: u64 },
    /// The VMs in `group`, a bit set, cannot reach the log.
    NoLog { group: u32, span: u64 },
    /// The log stores appends, but this percentage of its answers is lost.
    LostAnswers { percent: u8, span: u64 },
    /// The network loses and delays many messages between daemons.
    Lossy { span: u64 },
    /// Daemon `vm` treats daemon `of` as dead although it may be alive.
    FalseSuspicion { vm: usize, of: usize, span: u64 },
    /// The daemon shuts down gracefully, and a new one starts on the same VM.
    Drain { vm: usize },
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// Milliseconds after the start of the simulation.
    pub(crate) at: u64,
    /// The number of the request key; calls with the same number use the same key.
    pub(crate) key: usize,
    pub(crate) vm: usize,
    /// Whether the request has a different body than the first one under its key.
    pub(crate) other_body: bool,
}

/// The input of a simulation. Times are in milliseconds after its start.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) span: u64,
    pub(crate) domains: usize,
    pub(crate) vms: usize,
    /// The range of the differences between creation times of keys and the simulated time, in
    /// milliseconds.
    pub(crate) key_spread: u64,
    /// The most claims that each daemon keeps.
    pub(crate) claim_limit: usize,
    pub(crate) faults: Vec<(u64, Fault)>,
    pub(crate) calls: Vec<Call>,
}

impl Plan {
    /// A plan for `vms` daemons in `domains` failure domains, with random faults and calls.
    pub(crate) fn random(seed: u64, domains: usize, vms: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let span = 60_000;
        let all = 1_u32 << vms;
        let faults = (0..rng.random_range(3..16))
            .map(|_| {
                let at = rng.random_range(2_000..span);
                let vm = rng.random_range(0..vms);
                let long = rng.random_range(500..15_000);
                let group = rng.random_range(1..all);
                let fault = match rng.random_range(0..10) {
                    0 => Fault::Kill {
                        vm,
                        down: rng.random_range(100..8_000),
                    },
                    1 | 2 => Fault::Pause { vm, span: long },
                    3 => Fault::Partition { group, span: long },
                    4 => Fault::NoLog { group, span: long },
                    5 => Fault::NoLog {
                        group: all - 1,
                        span: long,
                    },
                    6 => Fault::LostAnswers {
                        percent: rng.random_range(20..100),
                        span: long,
                    },
                    7 => Fault::Lossy { span: long },
                    8 => Fault::FalseSuspicion {
                        vm,
                        of: rng.random_range(0..vms),
                        span: long,
                    },
                    _ => Fault::Drain { vm },
                };
                (at, fault)
            })
            .collect();
        let keys = rng.random_range(10..60);
        let mut calls = Vec::new();
        for key in 0..keys {
            let first = rng.random_range(1_000..span);
            for repeat in 0..rng.random_range(1..5) {
                let gap = match rng.random_range(0..4) {
                    0 => 0,
                    1 => rng.random_range(0..300),
                    2 => rng.random_range(0..5_000),
                    _ => rng.random_range(0..40_000),
                };
                calls.push(Call {
                    at: first + if repeat == 0 { 0 } else { gap },
                    key,
                    vm: rng.random_range(0..vms),
                    other_body: repeat > 0 && rng.random_bool(0.05),
                });
            }
        }
        Self {
            seed,
            span,
            domains,
            vms,
            key_spread: 9_000,
            claim_limit: 30,
            faults,
            calls,
        }
    }

    /// Reduces the plan by removing faults and calls as long as `fails` still holds.
    pub(crate) fn shrink(mut self, fails: impl Fn(&Self) -> bool) -> Self {
        let mut part = self.faults.len().max(self.calls.len()).max(1);
        while part > 0 {
            let mut start = 0;
            while start < self.faults.len() {
                let mut smaller = self.clone();
                smaller
                    .faults
                    .drain(start..(start + part).min(self.faults.len()));
                if fails(&smaller) {
                    self = smaller;
                } else {
                    start += part;
                }
            }
            let mut start = 0;
            while start < self.calls.len() {
                let mut smaller = self.clone();
                smaller
                    .calls
                    .drain(start..(start + part).min(self.calls.len()));
                if fails(&smaller) {
                    self = smaller;
                } else {
                    start += part;
                }
            }
            part /= 2;
        }
        self
    }
}
