//! Copies of the streams that daemons begin, which other daemons keep.
//!
//! The calls have links of their own, so that a keeper that is late does not delay other calls.

use std::sync;

use basilgrade_fleet::daemon;
use basilgrade_fleet::keepers;
use basilgrade_fleet::streams;
use basilgrade_types::clock;
use futures::StreamExt as _;
use futures::stream;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::core;
use crate::peers::service;

/// Time-out of a call, several times the round trip between regions plus the scheduling delay of a
/// busy VM.
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(500);

/// Minimum interval between two batches for each daemon of the failure domain, which limits the
/// batches of all daemons of the domain together to 100 a second for each copy.
const BATCH_INTERVAL_PER_DAEMON: clock::Millis = clock::Millis(10);

/// Interval between two calls if no stream begins, after which a keeper that has restarted or that
/// takes another one's place is noticed.
const KEEPER_CHECK_INTERVAL: clock::Millis = clock::Millis(1000);

/// Interval between searches for a keeper while none is known.
const KEEPER_SEARCH_INTERVAL: clock::Millis = clock::Millis(50);

/// Interval between batches to the daemon that records the streams of the failure domain.
const RECORDER_INTERVAL: clock::Millis = clock::Millis(500);

/// Delay before the next daemon gets the copies of one that does not take them.
const RETRY_DELAY: clock::Millis = clock::Millis(20);

/// Maximum number of streams in a batch.
const MAX_STREAMS: usize = 8000;

/// Minimum interval between two searches for each daemon of the deployment.
const SEARCH_INTERVAL_PER_DAEMON: clock::Millis = clock::Millis(1);

/// Sends the streams that this daemon begins to their keepers, and to the daemon that records those
/// of the failure domain; never returns.
pub async fn send(core: sync::Arc<core::Core>) {
    let keepers = (0..keepers::COPIES).map(Recipient::Keeper);
    let recipients = keepers.chain([Recipient::Recorder]);
    let sends = recipients.map(|recipient| send_copies(&core, recipient));
    futures::future::join_all(sends).await;
}

/// Who gets copies of the streams that this daemon begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Recipient {
    /// The keeper of the copy with this number.
    Keeper(usize),
    /// The daemon that records the streams of the failure domain, if it is not a keeper.
    Recorder,
}

impl Recipient {
    fn target(self, core: &core::Core) -> Option<daemon::Daemon> {
        let view = core.view.load();
        let domain = &view.topology.domain;
        let keepers = keepers::Keepers::rank(domain, &view.topology, &view.registered);
        let is_usable = |daemon: &daemon::Daemon| !core.stream_links.is_backing_off(daemon.address);
        let own = &core.settings.load().name;
        let [inside, outside] = keepers.targets(own, is_usable);
        match self {
            Self::Keeper(0) => inside,
            Self::Keeper(_) => outside,
            Self::Recorder => recorder(core).filter(|found| Some(found) != inside.as_ref()),
        }
    }

    /// Interval between batches, which collects streams that begin at the same time.
    fn batch_interval(self, core: &core::Core) -> clock::Millis {
        if self == Self::Recorder {
            return RECORDER_INTERVAL;
        }
        let view = core.view.load();
        let domain = &view.topology.domain;
        let peers = view.registered.iter();
        let count = peers.filter(|daemon| daemon.domain == *domain).count();
        BATCH_INTERVAL_PER_DAEMON.times(count.max(1) as u64)
    }

    /// Interval between searches while there is none.
    fn search_interval(self) -> clock::Millis {
        match self {
            Self::Keeper(_) => KEEPER_SEARCH_INTERVAL,
            Self::Recorder => RECORDER_INTERVAL,
        }
    }
}

/// Daemon that records the streams of this failure domain in the log; `None` if this daemon does.
pub fn recorder(core: &core::Core) -> Option<daemon::Daemon> {
    let view = core.view.load();
    let own = &core.settings.load().name;
    let is_usable = |daemon: &daemon::Daemon| !core.stream_links.is_backing_off(daemon.address);
    keepers::recorder(&view.topology.domain, own, &view.registered, is_usable)
}

/// What the keeper of a copy has.
struct Progress {
    keeper: daemon::Daemon,
    /// Number that the keeper has drawn at its start.
    run: u64,
    /// Number of the first stream that it does not have.
    next: u64,
}

impl Progress {
    /// Whether the keeper has all streams that this daemon has begun.
    fn is_current(&self, core: &core::Core) -> bool {
        self.next >= core.streams().begun_count()
    }
}

/// Sends the streams that this daemon begins to `recipient`; never returns.
async fn send_copies(core: &core::Core, recipient: Recipient) {
    let mut begun = core.subscribe_streams();
    let mut progress: Option<Progress> = None;
    loop {
        core.streams().forget(core.now());
        if !core.streams().has_begun() {
            // The sender lives as long as the core, so there is no error.
            let _ = begun.changed().await;
        } else if progress
            .as_ref()
            .is_some_and(|known| known.is_current(core))
        {
            let wait = KEEPER_CHECK_INTERVAL.duration();
            // The result is ignored: after a new stream or the time-out, the keeper is called.
            let _ = tokio::time::timeout(wait, begun.changed()).await;
        }
        let Some(keeper) = recipient.target(core) else {
            progress = None;
            tokio::time::sleep(recipient.search_interval().duration()).await;
            continue;
        };
        progress = send_batch(core, keeper, progress).await;
        let interval = if progress.is_some() {
            recipient.batch_interval(core)
        } else {
            RETRY_DELAY
        };
        tokio::time::sleep(interval.duration()).await;
    }
}

/// Sends to `keeper` what it does not have yet, which may be nothing: the reply then tells whether
/// it has kept its memory.
async fn send_batch(
    core: &core::Core,
    keeper: daemon::Daemon,
    progress: Option<Progress>,
) -> Option<Progress> {
    let known = progress
        .filter(|known| known.keeper.name == keeper.name && known.keeper.address == keeper.address);
    let next = known.as_ref().map_or(0, |known| known.next);
    let (copies, end) = core.streams().begun_since(core.now(), next, MAX_STREAMS);
    let call = core
        .stream_links
        .call(keeper.address, ANSWER_TIMEOUT, |peer, context| async move {
            peer.keep_streams(context, copies).await
        });
    match call.await {
        Ok(service::KeepReply::Kept(run)) => {
            let has_restarted = known.is_some_and(|known| known.run != run);
            let next = if has_restarted { 0 } else { end };
            Some(Progress { keeper, run, next })
        }
        Ok(service::KeepReply::Leaving) => {
            core.stream_links.mark_leaving(keeper.address);
            None
        }
        Err(reason) => {
            core.metrics.failed_copies.inc();
            log::info!(
                "event=copies-failed daemon={} reason={reason:?}",
                keeper.name
            );
            None
        }
    }
}

/// Finds streams that this daemon did not begin at the daemons that keep copies of them.
pub struct StreamFinder {
    core: sync::Arc<core::Core>,
    /// Streams that the next search looks for.
    wanted: sync::Mutex<IndexSet<streams::AttemptId>>,
    /// Start of the last search.
    searched_at: tokio::sync::Mutex<clock::Millis>,
}

impl StreamFinder {
    pub fn new(core: sync::Arc<core::Core>) -> Self {
        Self {
            core,
            wanted: sync::Mutex::default(),
            searched_at: tokio::sync::Mutex::default(),
        }
    }

    fn wanted(&self) -> sync::MutexGuard<'_, IndexSet<streams::AttemptId>> {
        self.wanted
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Asks the daemons that may keep the stream of the attempt `id`, unless it is known by then.
    pub async fn find(&self, id: streams::AttemptId) {
        self.wanted().insert(id);
        let mut searched_at = self.searched_at.lock().await;
        // A search that began meanwhile has looked for this stream too.
        if !self.wanted().contains(&id) {
            return;
        }
        let daemons = self.core.view.load().daemons as u64;
        let due = searched_at.plus(SEARCH_INTERVAL_PER_DAEMON.times(daemons));
        tokio::time::sleep((due - self.core.now()).duration()).await;
        *searched_at = self.core.now();
        let ids = self.wanted().clone();
        self.search(ids.iter().copied().collect()).await;
        // Others may wait for this search, which ends early if the caller of this one leaves.
        self.wanted().retain(|id| !ids.contains(id));
    }

    /// Asks the keepers of this failure domain, where most streams are taken up that began there,
    /// and then those of all others.
    async fn search(&self, ids: Vec<streams::AttemptId>) {
        let view = self.core.view.load_full();
        let own = self.core.settings.load().name.clone();
        let links = &self.core.stream_links;
        let is_usable = |daemon: &daemon::Daemon| !links.is_backing_off(daemon.address);
        let rank = |domain| keepers::Keepers::rank(domain, &view.topology, &view.registered);
        let home = &view.topology.domain;
        let asked = rank(home).asked(&own, is_usable);
        let missing = self.ask(&asked, ids).await;
        if missing.is_empty() {
            return;
        }
        let domains: IndexSet<_> = view.registered.iter().map(|known| &known.domain).collect();
        let others = domains.into_iter().filter(|domain| *domain != home);
        let mut further: IndexMap<_, _> = others
            .flat_map(|domain| rank(domain).asked_elsewhere(&own, is_usable))
            .map(|daemon| (daemon.address, daemon))
            .collect();
        further.retain(|address, _| asked.iter().all(|known| known.address != *address));
        let further: Vec<_> = further.into_values().collect();
        self.ask(&further, missing).await;
    }

    /// Asks `daemons` for the streams of `ids` until all are known; returns those that none knows.
    async fn ask(
        &self,
        daemons: &[daemon::Daemon],
        mut ids: Vec<streams::AttemptId>,
    ) -> Vec<streams::AttemptId> {
        let asks = daemons.iter().map(|daemon| {
            let ids = ids.clone();
            self.core.stream_links.call(
                daemon.address,
                ANSWER_TIMEOUT,
                |peer, context| async move { peer.find_streams(context, ids).await },
            )
        });
        let mut asks: stream::FuturesUnordered<_> = asks.collect();
        while let Some(reply) = asks.next().await {
            let Ok(copies) = reply else {
                continue;
            };
            let now = self.core.now();
            let mut streams = self.core.streams();
            streams.keep(now, copies);
            ids.retain(|id| !streams.contains(*id));
            if ids.is_empty() {
                break;
            }
        }
        ids
    }
}
