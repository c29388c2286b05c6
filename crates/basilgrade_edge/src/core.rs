//! State shared by all tasks of the daemon.

mod announcements;

use std::net;
use std::sync;
use std::sync::atomic;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use basilgrade_fleet::balance;
use basilgrade_fleet::balance::exchange;
use basilgrade_fleet::budget;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::health;
use basilgrade_fleet::model::prompt;
use basilgrade_fleet::pace;
use basilgrade_fleet::paths;
use basilgrade_fleet::ranking;
use basilgrade_fleet::streams;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::answer_memory;
use crate::http::pool;
use crate::http::request_memory;
use crate::metrics;
use crate::peers::links;
use crate::request;
use crate::settings;
use crate::view;

/// Settings, routing snapshot, connection pool, metrics and shutdown state of the daemon.
pub struct Core {
    /// Settings in force; replaced on reload.
    pub settings: ArcSwap<settings::Settings>,
    /// Pools whose upstreams differ in speed.
    pub uneven: ArcSwap<IndexSet<id::PoolId>>,
    pub clock: clock::SystemClock,
    /// Number drawn at the start, by which other daemons notice that this one has lost its memory.
    pub run: u64,
    /// Latest snapshot of the configuration and the upstreams.
    pub view: ArcSwap<view::View>,
    /// Idle keep-alive connections to the store.
    pub connections: pool::ConnectionPool,
    /// Account of the answers of upstreams that are held.
    pub answers: sync::Arc<answer_memory::AnswerMemory>,
    /// Account of the bodies of requests that are held.
    pub request_memory: sync::Arc<request_memory::RequestMemory>,
    /// Connections to other daemons.
    pub links: links::PeerLinks,
    /// Connections to the daemons that keep copies of streams.
    pub stream_links: links::PeerLinks,
    /// Connections for reports of load; those of earlier builds close on such a call.
    pub load_links: links::PeerLinks,
    /// Connections that this daemon forwards for others.
    pub tunnels: TaskTracker,
    /// Upstreams that this daemon reaches through others only.
    paths: sync::Mutex<paths::Paths>,
    pub metrics: metrics::Metrics,
    /// Why the newest configuration is not in force; `None` if it is readable.
    pub configuration_fault: ArcSwapOption<String>,
    budget: sync::Mutex<budget::Budget>,
    /// Paces at which the engines of the pools generate tokens.
    paces: sync::Mutex<IndexMap<id::PoolId, pace::TokenPace>>,
    /// Recent requests by their last shared prompt part.
    popularity: sync::Mutex<balance::Popularity>,
    /// Reports of load of the daemons of this failure domain, for the shards that this daemon
    /// aggregates.
    aggregators: sync::Mutex<IndexMap<usize, exchange::Aggregator>>,
    /// Evidence about requests and prompt parts that crash engines.
    suspects: sync::Mutex<suspects::Suspects>,
    /// Software versions at which streams began.
    streams: sync::Mutex<streams::Streams>,
    /// Notified when this daemon has streams or software versions to share.
    pub streams_changed: tokio::sync::Notify,
    /// Number of streams that this daemon has begun or taken up.
    streams_begun: tokio::sync::watch::Sender<u64>,
    /// Notified when this daemon has new evidence.
    pub evidence_changed: tokio::sync::Notify,
    draining: atomic::AtomicBool,
    /// Unix time in milliseconds by which open requests must be answered before the process ends;
    /// `u64::MAX` while the daemon is not shutting down.
    closing_at: atomic::AtomicU64,
    closing: CancellationToken,
    active: atomic::AtomicUsize,
}

/// Guard that counts a request as in progress until the guard is dropped.
pub struct ActiveRequest {
    core: sync::Arc<Core>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.core.active.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Core {
    /// Creates the state from the initial settings and the initial routing snapshot.
    ///
    /// # Errors
    ///
    /// A message if the metrics cannot be registered.
    pub fn new(settings: settings::Settings, view: view::View) -> Result<Self, String> {
        let metrics = metrics::Metrics::new()?;
        let given_up = metrics.given_up_answers.clone();
        let answers = answer_memory::AnswerMemory::new(settings.memory, given_up);
        Ok(Self {
            budget: sync::Mutex::new(budget::Budget::new(settings.retries)),
            request_memory: sync::Arc::new(request_memory::RequestMemory::new(
                settings.memory,
                metrics.given_up_uploads.clone(),
            )),
            answers: sync::Arc::new(answers),
            settings: ArcSwap::from_pointee(settings),
            uneven: ArcSwap::default(),
            clock: clock::SystemClock::new(),
            configuration_fault: ArcSwapOption::default(),
            run: rand::random(),
            view: ArcSwap::from_pointee(view),
            connections: pool::ConnectionPool::default(),
            links: links::PeerLinks::default(),
            stream_links: links::PeerLinks::default(),
            load_links: links::PeerLinks::default(),
            tunnels: TaskTracker::new(),
            paths: sync::Mutex::default(),
            metrics,
            paces: sync::Mutex::default(),
            popularity: sync::Mutex::default(),
            aggregators: sync::Mutex::default(),
            suspects: sync::Mutex::default(),
            streams: sync::Mutex::default(),
            streams_changed: tokio::sync::Notify::new(),
            streams_begun: tokio::sync::watch::Sender::default(),
            evidence_changed: tokio::sync::Notify::new(),
            draining: atomic::AtomicBool::new(false),
            closing_at: atomic::AtomicU64::new(u64::MAX),
            closing: CancellationToken::new(),
            active: atomic::AtomicUsize::new(0),
        })
    }

    /// Current time of the process clock.
    pub fn now(&self) -> clock::Millis {
        clock::Clock::now(&self.clock)
    }

    /// Whether the daemon can serve requests: not draining, and configuration and upstreams known.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_draining() && view.configuration.is_some() && view.has_upstreams
    }

    /// Whether the upstream `id` at `address` accepts new requests, as far as this daemon knows now.
    pub fn accepts(&self, id: &id::UpstreamId, address: net::SocketAddr) -> bool {
        let view = self.view.load();
        view.directory
            .get(id)
            .filter(|entry| entry.address == address && entry.is_accepting(self.now()))
            .is_some_and(|entry| !view.directory.is_evacuated(entry))
    }

    /// Whether `entry` still has the software version that it had when it was chosen; an upstream may
    /// start again under its id.
    pub fn has_version(&self, entry: &upstream::Upstream) -> bool {
        let view = self.view.load();
        let known = view.directory.get(&entry.id);
        known.is_some_and(|known| known.version == entry.version)
    }

    /// Whether graceful shutdown has started.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Relaxed)
    }

    /// Starts graceful shutdown; open requests are answered by `deadline`.
    pub fn drain(&self, deadline: clock::Millis) {
        self.closing_at.store(deadline.0, atomic::Ordering::Relaxed);
        self.draining.store(true, atomic::Ordering::Relaxed);
    }

    /// Time by which open requests must be answered; the maximum while not shutting down.
    pub fn closing_at(&self) -> clock::Millis {
        clock::Millis(self.closing_at.load(atomic::Ordering::Relaxed))
    }

    /// Has all open requests answered now, as the process is about to end.
    pub fn signal_closing(&self) {
        self.closing.cancel();
    }

    /// Waits until [`Core::signal_closing`] is called.
    pub async fn wait_closing(&self) {
        self.closing.cancelled().await;
    }

    /// Number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn begin_request(self: &sync::Arc<Self>) -> ActiveRequest {
        self.active.fetch_add(1, atomic::Ordering::Relaxed);
        ActiveRequest {
            core: sync::Arc::clone(self),
        }
    }

    fn budget(&self) -> sync::MutexGuard<'_, budget::Budget> {
        self.budget
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Paths to upstreams that this daemon does not reach by itself.
    pub fn paths(&self) -> sync::MutexGuard<'_, paths::Paths> {
        self.paths
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn paces(&self) -> sync::MutexGuard<'_, IndexMap<id::PoolId, pace::TokenPace>> {
        self.paces
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that the stream of `request` took `span` from its first event on.
    pub fn record_generation(&self, request: &request::Request, span: clock::Millis) {
        if let Some(prompt) = &request.head.prompt {
            let mut paces = self.paces();
            let pace = paces.entry(request.pool.clone()).or_default();
            pace.record(prompt.max_output, span);
        }
    }

    /// Time that the stream of `request` may take from its first event on; `None` if that is
    /// unknown.
    pub fn generation_time(&self, request: &request::Request) -> Option<clock::Millis> {
        let prompt = request.head.prompt.as_ref()?;
        self.paces().get(&request.pool)?.span(prompt.max_output)
    }

    /// Whether upstreams are selected by learned loads.
    pub fn is_balancing(&self) -> bool {
        self.settings.load().balance == balance::Mode::Learned
    }

    /// Whether the upstreams of `pool` differ in speed, as far as is known.
    pub fn is_uneven(&self, pool: &id::PoolId) -> bool {
        self.uneven.load().contains(pool)
    }

    /// Draw for the selection of an upstream for `request`, the same each time; `None` if loads are
    /// not learned, or if the engines of its pool are alike: affinity by cached prompt parts alone
    /// serves these better.
    pub fn draw(&self, request: &request::Request) -> Option<balance::Draw> {
        let has_prompt = request.head.prompt.is_some();
        if !self.is_balancing() || (has_prompt && !self.is_uneven(&request.pool)) {
            return None;
        }
        let prompt = request.head.prompt.as_ref();
        let part = prompt.and_then(prompt::Prompt::last_shared);
        let daemons = self.view.load().daemons;
        let rate = part.map(|part| self.popularity().rate(self.now(), part.id, daemons));
        Some(balance::Draw {
            seed: ranking::weight(self.run ^ request.arrived.0, &request.head.request_id),
            part_rate: rate.unwrap_or_default(),
            by_tokens: request.route.kind.is_stream(),
        })
    }

    /// Counts the shared prompt part of `request`, which is sent to an upstream.
    pub fn record_part(&self, request: &request::Request) {
        let prompt = request.head.prompt.as_ref();
        if let Some(part) = prompt.and_then(prompt::Prompt::last_shared) {
            self.popularity().record(self.now(), part.id);
        }
    }

    fn popularity(&self) -> sync::MutexGuard<'_, balance::Popularity> {
        self.popularity
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Reports of load that this daemon aggregates, by shard.
    pub fn aggregators(&self) -> sync::MutexGuard<'_, IndexMap<usize, exchange::Aggregator>> {
        self.aggregators
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records a direct connection to the upstream `id`.
    pub fn record_direct(&self, id: &id::UpstreamId) {
        if self.paths().record_direct(id) {
            log::info!("event=path-regained upstream={id}");
        }
    }

    /// Records that the daemon `forwarder` reaches the upstream `entry`, and this one does not.
    pub fn record_tunnel(&self, entry: &upstream::Upstream, forwarder: &id::VmId) {
        self.metrics.tunnels.inc();
        let is_new = self.paths().record_tunnel(self.now(), entry, forwarder);
        if is_new {
            log::warn!(
                "event=path-lost upstream={} domain={} daemon={forwarder}",
                entry.id,
                entry.domain
            );
        }
    }

    /// Evidence of all daemons about requests and prompt parts that crash engines.
    pub fn suspects(&self) -> sync::MutexGuard<'_, suspects::Suspects> {
        self.suspects
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether `request` must not reach engines, because it or a part of its prompt crashes them.
    pub fn is_blocked(&self, request: &request::Request) -> bool {
        self.suspects().is_blocked(&request.suspects)
    }

    /// Records that `request` was refused because it or a part of its prompt crashes engines.
    pub fn record_blocked(&self, request: &request::Request) {
        self.metrics.blocked.inc();
        let now = self.now();
        self.suspects()
            .record_refusal(now, request.suspects.iter().copied());
        self.evidence_changed.notify_one();
    }

    /// Records that the connection to `entry` broke while it ran `request`.
    pub fn record_break(&self, entry: &upstream::Upstream, request: &request::Request) {
        let suspects: Vec<_> = request.suspects.iter().map(ToString::to_string).collect();
        log::info!(
            "event=engine-broke upstream={} started_at={} request={} suspects={}",
            entry.id,
            entry.started_at.unwrap_or_default(),
            request.head.request_id,
            suspects.join(",")
        );
        let now = self.now();
        self.suspects()
            .record_break(now, entry, request.suspects.iter().copied());
        self.evidence_changed.notify_one();
    }

    /// Records that `entry` has sent nothing of the answer to `request` for `limit`, so that another
    /// upstream is sought.
    pub fn record_silence(
        &self,
        entry: &upstream::Upstream,
        request: &request::Request,
        limit: clock::Millis,
    ) {
        let now = self.now();
        entry.stats.record(now, health::Outcome::Silent);
        self.metrics.silences.inc();
        log::info!(
            "event=upstream-silent request={} upstream={} limit={limit} left={}",
            request.head.request_id,
            entry.id,
            request.time_left(now)
        );
    }

    /// Records that an upstream answered `request` completely.
    pub fn record_complete(&self, request: &request::Request) {
        let now = self.now();
        self.suspects()
            .record_success(now, request.suspects.iter().copied());
        self.evidence_changed.notify_one();
    }

    /// Software versions at which streams began.
    pub fn streams(&self) -> sync::MutexGuard<'_, streams::Streams> {
        self.streams
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that the upstream `entry` began the stream of `request`, or took it up.
    pub fn record_stream(&self, request: &request::Request, entry: &upstream::Upstream) {
        if !request.route.kind.is_repeatable() {
            return;
        }
        // Callers name the first attempt each time, so its stream lasts on with each take-up.
        let head = &request.head;
        let first = head.last_event.and(head.resumes.as_ref());
        for id in first.into_iter().chain([&head.request_id]) {
            let attempt = streams::AttemptId::new(id);
            if self.streams().record(self.now(), attempt, entry) {
                self.streams_changed.notify_one();
            }
        }
        self.streams_begun.send_modify(|count| *count += 1);
    }

    /// Receiver that is notified of each stream that this daemon begins or takes up.
    pub fn subscribe_streams(&self) -> tokio::sync::watch::Receiver<u64> {
        self.streams_begun.subscribe()
    }

    /// Records that the upstream `entry` has registered itself.
    pub fn record_registration(&self, entry: &upstream::Upstream) {
        if self.streams().record_registration(self.now(), entry) {
            self.streams_changed.notify_one();
        }
    }

    /// Updates the software versions in service from the directory.
    pub fn observe_versions(&self) {
        let view = self.view.load();
        let known = view.configuration.iter();
        let routes = known.flat_map(|known| known.hosts.values().flatten());
        let longest = routes.map(|route| route.timeout).max().unwrap_or_default();
        if self.streams().observe(self.now(), &view.directory, longest) {
            self.streams_changed.notify_one();
        }
    }

    /// Replaces the settings, the configuration of the retry budget and the limits of held bodies.
    pub fn reload(&self, settings: settings::Settings) {
        self.budget().set_config(settings.retries);
        self.answers.set_memory(settings.memory);
        self.request_memory.set_memory(settings.memory);
        self.settings.store(sync::Arc::new(settings));
    }

    /// Credits one request to the retry budget of `pool`.
    pub fn deposit_retry(&self, pool: &id::PoolId) {
        self.budget().deposit(self.now(), pool);
    }

    /// Whether a retry is left in the retry budget of `pool`.
    pub fn has_retry(&self, pool: &id::PoolId) -> bool {
        let daemons = self.view.load().daemons;
        self.budget().has_retry(self.now(), pool, daemons)
    }

    /// Takes one retry from the retry budget of `pool`; `false` if the budget is exhausted.
    #[must_use]
    pub fn try_withdraw_retry(&self, pool: &id::PoolId) -> bool {
        let daemons = self.view.load().daemons;
        self.budget().try_withdraw(self.now(), pool, daemons)
    }
}
