//! A route from host and path to pools of upstreams.

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;

use crate::model::request_kind;
use crate::model::route_target;
use crate::model::stage;

/// Which upstreams serve the requests of a host and prefix, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: CompactString,
    /// Host that requests name.
    pub host: CompactString,
    /// Prefix of their paths, with a slash at both ends.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: request_kind::RequestKind,
    /// Longest time until the answer ends.
    pub timeout: clock::Millis,
    /// Time within which an answer, or the first event of a stream, has its full worth.
    pub target_latency: clock::Millis,
    /// Longest pause between events.
    pub event_gap: clock::Millis,
    /// Rank, 0 the highest.
    pub priority: u8,
    /// Pools with their shares.
    pub targets: Vec<route_target::RouteTarget>,
    /// Most upstreams that one request is sent to.
    pub attempts: u32,
    /// Stages before the request itself.
    pub stages: Vec<stage::Stage>,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The pool for a request, by shares; `draw` is uniform in 0..1.
    pub fn pool(&self, draw: f64) -> Option<&id::PoolId> {
        let whole: f64 = self.targets.iter().map(|target| target.share).sum();
        let mut rest = draw * whole;
        for target in &self.targets {
            rest -= target.share;
            if rest < 0.0 {
                return Some(&target.pool);
            }
        }
        self.targets.last().map(|target| &target.pool)
    }

    /// Stages whose results go to the engine: those that no other stage needs.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(|place| {
            let needed = |stage: &stage::Stage| stage.after.contains(place);
            !self.stages.iter().any(needed)
        })
    }
}
