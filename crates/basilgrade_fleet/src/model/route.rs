//! Route from a host and path prefix to pools of upstreams.

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;

use crate::model::allowed_regions;
use crate::model::request_kind;
use crate::model::route_target;
use crate::model::stage;

/// Upstream pools that serve the requests of a host and path prefix, and the limits and targets of
/// these requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name for logs.
    pub name: CompactString,
    /// Host name of the requests.
    pub host: CompactString,
    /// Prefix of the request paths, with a slash at both ends.
    pub prefix: CompactString,
    /// Whether requests may be retried and whether they are streams.
    pub kind: request_kind::RequestKind,
    /// Maximum time until the response ends.
    pub timeout: clock::Millis,
    /// Time within which a response, or the first event of a stream, counts as in time.
    pub target_latency: clock::Millis,
    /// Target for the time between two events of a stream.
    pub event_gap: clock::Millis,
    /// Longest time that callers wait for the first event of a stream; [`Route::timeout`] if they
    /// wait as long as for the whole response.
    pub patience: clock::Millis,
    /// Priority of the route, 0 the highest.
    pub priority: u8,
    /// Pools that share the requests of the route.
    pub targets: Vec<route_target::RouteTarget>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<stage::Stage>,
    /// Whether callers need no API key.
    pub public: bool,
    /// Regions in which the requests may be served.
    pub regions: allowed_regions::AllowedRegions,
}

impl Route {
    /// Selects the pool for a request according to the shares; `sample` is uniform in 0..1.
    pub fn pool(&self, sample: f64) -> Option<&id::PoolId> {
        let total_share: f64 = self.targets.iter().map(|target| target.share).sum();
        let mut remaining = sample * total_share;
        for target in &self.targets {
            remaining -= target.share;
            if remaining < 0.0 {
                return Some(&target.pool);
            }
        }
        self.targets.last().map(|target| &target.pool)
    }

    /// Pools that get requests.
    pub fn pools(&self) -> impl Iterator<Item = &id::PoolId> {
        let used = self.targets.iter().filter(|target| target.share > 0.0);
        used.map(|target| &target.pool)
    }

    /// Indices of the stages whose results go to the engine, as no other stage needs them.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(|index| {
            let needs = |stage: &stage::Stage| stage.after.contains(index);
            !self.stages.iter().any(needs)
        })
    }
}
