//! Replay of the log streams. One daemon of each failure domain reads the log service; the others
//! pull from peers.

use std::sync;

use basilgrade_membership::log_backoff;
use basilgrade_membership::progress;
use basilgrade_membership::pull;
use basilgrade_membership::readiness;
use basilgrade_peer::links;
use basilgrade_types::clock;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::cluster;
use crate::core;
use crate::journal::streams;
use crate::ledger::slots;
use crate::platform;

/// Interval between checks of whether to read the log or to pull from a peer.
const INTERVAL: clock::Millis = clock::Millis(50);

/// Retention time that snapshots are scheduled for; the platform keeps records at least this long.
pub const RETENTION: clock::Millis = clock::Millis::from_secs(6 * 3600);

/// Dependencies of the task that replays the log streams and publishes the resulting state.
#[derive(Clone)]
pub struct Reader {
    /// Shared state of requests, into which a new configuration is installed.
    pub core: sync::Arc<core::Core>,
    /// Replicas of both log streams.
    pub streams: sync::Arc<streams::Streams>,
    /// Membership of this daemon.
    pub cluster: cluster::Cluster,
    /// Claims, which observe stream `control`.
    pub ledger: slots::SlotLedger,
    /// Links to other daemons.
    pub links: sync::Arc<links::Links>,
    /// Clients of the platform, including the log service.
    pub platform: platform::Platform,
}

impl Reader {
    /// Reads the log and pulls from peers until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let mut failures = 0;
        let mut next_read = self.core.now();
        // Spreads the snapshots of all failure domains over a twelfth of the retention time.
        let jitter = clock::Millis(rand::rng().random_range(0..RETENTION.0 / 12));
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(INTERVAL.duration()) => {}
            }
            let now = self.core.now();
            if now >= next_read && self.should_read(now) {
                let wait = self.read(&mut failures).await;
                next_read = self.core.now().plus(wait);
                if self.cluster.with(|node, now| node.reads_log(now)) {
                    let log = self.platform.log.as_ref();
                    self.streams
                        .append_snapshots(log, now, RETENTION, jitter)
                        .await;
                }
            }
            self.pull(pull::Stream::Config).await;
            self.pull(pull::Stream::Control).await;
        }
    }

    /// Whether this daemon reads the log itself. It does so as reader of its failure domain, while
    /// its streams are not current, and while it is leaving: it then has to observe that its slots
    /// are handed over, and all peers in its domain may be leaving, too.
    fn should_read(&self, now: clock::Millis) -> bool {
        match self.cluster.readiness() {
            readiness::Readiness::Leaving => true,
            readiness::Readiness::Joining => false,
            _ if !self.streams.is_current() => true,
            _ => self.cluster.with(|node, _| node.reads_log(now)),
        }
    }

    async fn read(&self, failures: &mut u32) -> clock::Millis {
        let log = self.platform.log.as_ref();
        let outcome = self.streams.catch_up(log, &self.core).await;
        self.publish_progress();
        let access = match &outcome {
            Ok(()) => {
                *failures = 0;
                progress::LogAccess::Reachable
            }
            Err(error) => {
                *failures += 1;
                log::warn!("event=log-read-failed error={:?}", error.to_string());
                progress::LogAccess::Unreachable
            }
        };
        self.cluster
            .with(|node, now| node.set_log_access(now, access));
        log_backoff::next_read_delay(*failures, &mut rand::rng())
    }

    async fn pull(&self, stream: pull::Stream) {
        let peer = self
            .cluster
            .with(|node, now| node.pull(now, stream, &mut rand::rng()));
        let Some(peer) = peer else {
            return;
        };
        let now = self.core.now();
        let advanced = match stream {
            pull::Stream::Config => {
                let from = self.streams.config.next();
                let transfer = self
                    .links
                    .call(peer.address, |client, context| async move {
                        client.pull_config(context, from).await
                    })
                    .await;
                transfer.map(|transfer| self.streams.config.apply_transfer(now, transfer))
            }
            pull::Stream::Control => {
                let from = self.streams.control.next();
                let transfer = self
                    .links
                    .call(peer.address, |client, context| async move {
                        client.pull_control(context, from).await
                    })
                    .await;
                transfer.map(|transfer| self.streams.control.apply_transfer(now, transfer))
            }
        };
        match advanced {
            Ok(_) => {
                self.streams.install_newest(&self.core);
                self.publish_progress();
            }
            Err(error) => log::debug!(
                "event=pull-failed vm={} error={:?}",
                peer.vm,
                error.to_string()
            ),
        }
    }

    /// Publishes the progress of the streams to membership and claims.
    fn publish_progress(&self) {
        let control = self.streams.control.next();
        let revision = self.core.revision();
        self.cluster
            .with(|node, now| node.set_progress(now, revision, control));
        if self.streams.control.is_current() {
            self.streams
                .control
                .with(|replayer| self.ledger.observe(replayer.state(), control));
        }
    }
}
