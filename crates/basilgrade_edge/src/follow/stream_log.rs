//! Log of the software versions at which streams began, in a topic of the store.
//!
//! While several versions serve in a pool, each daemon writes the streams that it begins to it; while
//! one serves, one daemon of each failure domain does so for all. Daemons read it only when a caller
//! takes up a stream that they did not begin and that may have begun at several versions.

use std::iter;
use std::sync;

use basilgrade_adapter::store;
use basilgrade_adapter::stream_record;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::streams;
use basilgrade_types::clock;
use basilgrade_types::id;

use crate::core;
use crate::follow::reader;
use crate::follow::registrations;
use crate::follow::stream_records;
use crate::peers::stream_copies;
use crate::request;

/// Time in which the daemon that began a stream has shared it, beyond the interval of its appends.
const SHARE_TIME: clock::Millis = clock::Millis(200);

/// Minimum interval between two reads for each daemon of the deployment.
const READ_INTERVAL_PER_DAEMON: clock::Millis = clock::Millis(1);

/// Maximum number of calls of one read.
const MAX_READ_CALLS: usize = 64;

/// Reader of the log.
pub struct StreamLog {
    core: sync::Arc<core::Core>,
    registrations: sync::Arc<registrations::Registrations>,
    finder: stream_copies::StreamFinder,
    position: tokio::sync::Mutex<Position>,
}

/// How far the log was read.
#[derive(Debug, Default)]
struct Position {
    /// Offset of the next record; `None` before the first read.
    next: Option<u64>,
    /// Offset from which the log is read after all if the first record read is recent.
    earlier: Option<u64>,
    era: u64,
    /// Start of the last complete read.
    read_at: clock::Millis,
}

impl StreamLog {
    /// Creates a reader that has not read yet.
    pub fn new(
        core: sync::Arc<core::Core>,
        registrations: sync::Arc<registrations::Registrations>,
    ) -> Self {
        Self {
            finder: stream_copies::StreamFinder::new(sync::Arc::clone(&core)),
            core,
            registrations,
            position: tokio::sync::Mutex::default(),
        }
    }

    /// Registrations of upstreams, which are read again on demand.
    pub fn registrations(&self) -> &sync::Arc<registrations::Registrations> {
        &self.registrations
    }

    /// Pool and version that began the stream of the attempt `attempt`, which `request` takes up.
    ///
    /// # Errors
    ///
    /// A message if the log could not be read.
    pub async fn origin(
        &self,
        attempt: streams::AttemptId,
        request: &request::Request,
    ) -> Result<(id::PoolId, streams::Origin), String> {
        self.core.observe_versions();
        if let Some(known) = self.known(attempt, request) {
            return Ok(known);
        }
        self.finder.find(attempt).await;
        if let Some(known) = self.known(attempt, request) {
            self.core.metrics.found_copies.inc();
            return Ok(known);
        }
        let knows_routes = self.core.streams().knows_routes(self.core.now());
        if !knows_routes {
            // The route may have been moved before this daemon started.
            self.read().await?;
            if let Some(known) = self.known(attempt, request) {
                return Ok(known);
            }
        }
        let path = request.target.path();
        let only = self.core.streams().only_pool(&request.route, path);
        let Some(pool) = only else {
            self.read().await?;
            let known = self.known(attempt, request);
            return Ok(known.unwrap_or((request.pool.clone(), streams::Origin::Unknown)));
        };
        let origin = self.origin_in(attempt, &pool).await?;
        if let Some(known) = self.known(attempt, request) {
            return Ok(known);
        }
        // A stream that began in another pool has the same version if there is one only.
        let is_certain = |version: &upstream::Version| {
            let now = self.core.now();
            knows_routes || self.core.streams().is_only_version(now, version)
        };
        let origin = match origin {
            streams::Origin::Version(version) if !is_certain(&version) => {
                log::info!(
                    "event=stream-unknown request={} resumes={} reason=\"the route may have been \
                     moved before the start\"",
                    request.head.request_id,
                    request.resumed_name()
                );
                streams::Origin::Unknown
            }
            origin => origin,
        };
        Ok((pool, origin))
    }

    /// Pool and version at which a stream that this daemon knows may go on.
    ///
    /// If its route has been moved, it goes on in another pool that has the version, as the former
    /// pool gets no requests any more.
    fn known(
        &self,
        attempt: streams::AttemptId,
        request: &request::Request,
    ) -> Option<(id::PoolId, streams::Origin)> {
        let view = self.core.view.load();
        let streams = self.core.streams();
        let begun_in = streams.pool(attempt)?;
        let origin = streams.known_origin(attempt, begun_in)?;
        let route = &request.route;
        if route.pools().any(|target| target == begun_in) {
            return Some((begun_in.clone(), origin));
        }
        let has_version = |pool: &&id::PoolId| {
            let mut ready = view.directory.ready(pool);
            ready.any(|entry| streams::Origin::Version(entry.version.clone()) == origin)
        };
        let found = iter::once(&request.pool)
            .chain(route.pools())
            .find(has_version);
        Some(match found {
            Some(pool) => (pool.clone(), origin),
            None => (begun_in.clone(), streams::Origin::OtherPool),
        })
    }

    /// Version that began the stream of the attempt `attempt`, of which other daemons keep no copy
    /// and which began in `pool`.
    async fn origin_in(
        &self,
        attempt: streams::AttemptId,
        pool: &id::PoolId,
    ) -> Result<streams::Origin, String> {
        let now = self.core.now();
        if !self.core.streams().has_observed(now)
            && let Err(reason) = self.registrations.read_history().await
        {
            log::info!("event=registrations-unread reason={reason:?}");
        }
        // A daemon that knows of one version may be behind the one that began the stream.
        let is_current = !self.core.streams().has_several_versions(pool);
        if is_current && self.core.streams().has_observed(now) {
            self.registrations.refresh().await?;
            if let Some(origin) = self.find_observed(attempt, pool) {
                return Ok(origin);
            }
            self.read().await?;
        } else if is_current {
            tokio::try_join!(self.registrations.refresh(), self.read())?;
        } else {
            self.read().await?;
        }
        let origin = self.find(attempt, pool, is_current);
        if origin != streams::Origin::Unknown {
            return Ok(origin);
        }
        // The daemon that began the stream may not have shared it yet.
        let wait = stream_records::append_interval(&self.core).plus(SHARE_TIME);
        tokio::time::sleep(wait.duration()).await;
        self.finder.find(attempt).await;
        self.read().await?;
        Ok(self.find(attempt, pool, is_current))
    }

    /// Origin of a stream after a read of the registrations, if the log is not needed to tell it.
    fn find_observed(
        &self,
        attempt: streams::AttemptId,
        pool: &id::PoolId,
    ) -> Option<streams::Origin> {
        let now = self.core.now();
        self.core.streams().observed_origin(now, attempt, pool)
    }

    /// Origin of a stream after a read of the log; only what the log tells unless the registrations
    /// are current.
    fn find(
        &self,
        attempt: streams::AttemptId,
        pool: &id::PoolId,
        is_current: bool,
    ) -> streams::Origin {
        let view = self.core.view.load();
        let now = self.core.now();
        let streams = self.core.streams();
        if is_current {
            return streams.origin(now, attempt, pool, &view.directory);
        }
        let origin = streams.known_origin(attempt, pool);
        origin.unwrap_or(streams::Origin::Unknown)
    }

    /// Reads all records that were in the log when the call began.
    async fn read(&self) -> Result<(), String> {
        let requested = self.core.now();
        let mut position = self.position.lock().await;
        // A read that began later serves this call too.
        if position.read_at > requested && position.next.is_some() {
            return Ok(());
        }
        let daemons = self.core.view.load().daemons as u64;
        let due = position
            .read_at
            .plus(clock::Millis(READ_INTERVAL_PER_DAEMON.0 * daemons));
        tokio::time::sleep((due - self.core.now()).duration()).await;
        let started = self.core.now();
        let is_first = position.next.is_none();
        for _ in 0..MAX_READ_CALLS {
            if self.read_once(&mut position).await? {
                position.read_at = started;
                if is_first {
                    let known = self.core.streams().len();
                    let next = position.next.unwrap_or_default();
                    log::info!("event=streams-loaded next={next} known={known}");
                }
                return Ok(());
            }
        }
        Err("the log of streams grows faster than it is read".to_owned())
    }

    /// Makes one call; returns whether the end of the log was reached.
    async fn read_once(&self, position: &mut Position) -> Result<bool, String> {
        let from = position.next.unwrap_or(0);
        let address = self.core.settings.load().store;
        let message =
            store::read_streams_request(address, from).map_err(|reason| reason.to_string())?;
        let answer = reader::call(&self.core, message, clock::Millis::ZERO).await?;
        let era = store::era(&answer.headers);
        let (end, first) = store::log_bounds(answer.status, &answer.body)
            .ok_or_else(|| format!("status `{}` of the read of streams", answer.status))?;
        if position.next.is_none() || position.era != era {
            let [earlier, next] = self.start_offsets(end, first);
            *position = Position {
                next: Some(next),
                earlier: (earlier < next).then_some(earlier),
                era,
                ..Position::default()
            };
            return Ok(false);
        }
        let read = store::decode_read_answer(answer.status, answer.body, from)
            .map_err(|reason| reason.to_string())?;
        let store::ReadOutcome::Records { records, next } = read else {
            position.next = Some(first);
            return Ok(false);
        };
        let now = self.core.now();
        let mut unreadable = Vec::new();
        let mut first_at = None;
        for record in records {
            let value = record.and_then(|record| record.value);
            match value.map(|value| stream_record::decode(&value)) {
                Some(Ok(shared)) => {
                    first_at.get_or_insert(shared.at);
                    self.core.streams().merge(now, shared);
                }
                Some(Err(reason)) => unreadable.push(reason.to_string()),
                None => unreadable.push("the record is malformed".to_owned()),
            }
        }
        if let Some(reason) = unreadable.first() {
            let count = unreadable.len();
            self.core.metrics.unreadable_records.add(count as u64);
            log::warn!("event=streams-unreadable records={count} reason={reason:?}");
        }
        let lifetime = self.core.streams().lifetime();
        let is_recent = |at: clock::Millis| at.plus(lifetime) > now;
        if let Some(earlier) = position.earlier.take()
            && first_at.is_none_or(is_recent)
        {
            position.next = Some(earlier);
            return Ok(false);
        }
        position.next = Some(next);
        Ok(next >= end)
    }

    /// Offsets from which on the records are recent enough to be needed, if daemons append at once
    /// and if only the recorders of the failure domains append.
    fn start_offsets(&self, end: u64, first: u64) -> [u64; 2] {
        let lifetime = self.core.streams().lifetime();
        // A daemon that has just started does not know how many others append.
        let most = lifetime.0 / stream_records::APPEND_INTERVAL_PER_DAEMON.0;
        let domains = self.core.view.load().topology.regions.len() as u64;
        let records = domains * (lifetime.0 / stream_records::RECORD_INTERVAL.0 + 1);
        [most, records].map(|count| first.max(end.saturating_sub(count)))
    }
}
