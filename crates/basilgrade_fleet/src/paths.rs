//! Paths to upstreams: direct ones, and those through another daemon that reaches the upstream.
//!
//! That a daemon cannot connect to an upstream shows nothing about the upstream: the daemon may be
//! partitioned from it. Only a connection that another daemon opens tells the two cases apart.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::daemon;
use crate::directory::upstream;
use crate::ranking;

/// Interval between direct connections that are tried while an upstream is reached through other
/// daemons.
const PROBE_INTERVAL: clock::Millis = clock::Millis(500);

/// Time during which no other daemon is asked for an upstream that none has reached.
const UNREACHABLE_PERIOD: clock::Millis = clock::Millis(500);

/// Time during which other daemons are preferred to one that did not reach an upstream.
const FORWARDER_BACKOFF: clock::Millis = clock::Millis(2000);

/// Time after which a path that is not used is forgotten.
const UNUSED_TTL: clock::Millis = clock::Millis(60_000);

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Directly, and through another daemon if that fails or takes long.
    Direct,
    /// Directly only, as no daemon has reached the upstream a moment ago.
    DirectOnly,
    /// Through another daemon.
    Tunnel,
    /// Through another daemon, and at the same time directly, to notice that the path works again.
    TunnelAndProbe,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Other daemons reach the upstream and this one does not.
    Broken {
        /// Time at which this daemon learned of it.
        since: clock::Millis,
        /// Time of the next direct connection that is tried.
        probe_at: clock::Millis,
    },
    /// No daemon that was asked reached the upstream; not asked again before this time.
    Unreachable { until: clock::Millis },
}

#[derive(Clone, Copy, Debug)]
struct Path {
    state: State,
    used_at: clock::Millis,
}

/// Upstreams that this daemon does not reach, and daemons that do not reach them either.
#[derive(Debug, Default)]
pub struct Paths {
    upstreams: IndexMap<id::UpstreamId, Path>,
    /// Daemons that failed to forward to a pool, and the time until which others are preferred.
    backoffs: IndexMap<(id::VmId, id::PoolId), clock::Millis>,
}

impl Paths {
    /// How to connect to the upstream `id` now.
    pub fn plan(&mut self, now: clock::Millis, id: &id::UpstreamId) -> Plan {
        let Some(path) = self.upstreams.get_mut(id) else {
            return Plan::Direct;
        };
        path.used_at = now;
        match &mut path.state {
            State::Unreachable { until } if now < *until => Plan::DirectOnly,
            State::Unreachable { .. } => Plan::Direct,
            State::Broken { probe_at, .. } if now < *probe_at => Plan::Tunnel,
            State::Broken { probe_at, .. } => {
                *probe_at = now.plus(PROBE_INTERVAL);
                Plan::TunnelAndProbe
            }
        }
    }

    /// Records a direct connection to the upstream `id`; `true` if the path was broken.
    pub fn record_direct(&mut self, id: &id::UpstreamId) -> bool {
        let known = self.upstreams.swap_remove(id);
        known.is_some_and(|path| matches!(path.state, State::Broken { .. }))
    }

    /// Whether the direct path to the upstream `id` was found broken at `start` or later.
    pub fn was_lost_since(&self, start: clock::Millis, id: &id::UpstreamId) -> bool {
        let known = self.upstreams.get(id).map(|path| path.state);
        matches!(known, Some(State::Broken { since, .. }) if since >= start)
    }

    /// Records that the daemon `forwarder` did not reach the upstream `entry`, or did not answer.
    pub fn record_failure(
        &mut self,
        now: clock::Millis,
        entry: &upstream::Upstream,
        forwarder: &id::VmId,
    ) {
        self.backoffs.retain(|_, until| now < *until);
        let key = (forwarder.clone(), entry.pool.clone());
        self.backoffs.insert(key, now.plus(FORWARDER_BACKOFF));
    }

    /// Records that the daemon `forwarder` reached the upstream `entry`, to which no direct
    /// connection was established; `true` if the path was not known to be broken.
    pub fn record_tunnel(
        &mut self,
        now: clock::Millis,
        entry: &upstream::Upstream,
        forwarder: &id::VmId,
    ) -> bool {
        let (id, pool) = (&entry.id, entry.pool.clone());
        self.backoffs.swap_remove(&(forwarder.clone(), pool));
        let known = self.upstreams.get(id).map(|path| path.state);
        if matches!(known, Some(State::Broken { .. })) {
            return false;
        }
        let state = State::Broken {
            since: now,
            probe_at: now,
        };
        self.put(now, id, state);
        true
    }

    /// Records that neither this daemon nor those that were asked reached the upstream `id`.
    pub fn record_unreachable(&mut self, now: clock::Millis, id: &id::UpstreamId) {
        let until = now.plus(UNREACHABLE_PERIOD);
        self.put(now, id, State::Unreachable { until });
    }

    fn put(&mut self, now: clock::Millis, id: &id::UpstreamId, state: State) {
        self.upstreams
            .retain(|_, path| now < path.used_at.plus(UNUSED_TTL));
        let used_at = now;
        self.upstreams.insert(id.clone(), Path { state, used_at });
    }

    /// Orders `daemons` for connections from the failure domain `own` to `entry`: those that have
    /// not failed for its pool first, then those that have not failed for any, then those that cause
    /// no further crossing between failure domains. A random `seed` spreads the load.
    pub fn rank_forwarders(
        &self,
        now: clock::Millis,
        seed: u64,
        own: &id::DomainId,
        entry: &upstream::Upstream,
        daemons: &mut [daemon::Daemon],
    ) {
        daemons.sort_by_cached_key(|daemon| {
            let backoffs = self.backoffs.iter().filter(|(_, until)| now < **until);
            let failed = backoffs.filter(|((name, _), _)| *name == daemon.name);
            let pools: Vec<_> = failed.map(|((_, pool), _)| pool).collect();
            let has_failed = (pools.contains(&&entry.pool), !pools.is_empty());
            let is_detour = daemon.domain != *own && daemon.domain != entry.domain;
            let weight = ranking::weight(seed, daemon.name.as_str());
            (has_failed, is_detour, weight)
        });
    }
}
