//! Replicas of both log streams of this daemon.

use std::sync;

use basilgrade_config as config;
use basilgrade_journal::config_state;
use basilgrade_journal::control_state;
use basilgrade_journal::merge;
use basilgrade_journal::replayer;
use basilgrade_journal::stream;
use basilgrade_platform::error;
use basilgrade_platform::log_service;
use basilgrade_types::clock;

use crate::core;
use crate::journal::replica;
use basilgrade_journal::config_merge;

/// Replicas of the streams `config` and `control`.
pub struct Streams {
    /// Stream `config`: configuration revisions.
    pub config: replica::Replica<config_state::ConfigState>,
    /// Stream `control`: slot grants and leases.
    pub control: replica::Replica<control_state::ControlState>,
}

impl Default for Streams {
    fn default() -> Self {
        let merge: sync::Arc<dyn merge::Merge> = sync::Arc::new(config_merge::ConfigMerge);
        Self {
            config: replica::Replica::new(merge),
            control: replica::Replica::new(sync::Arc::new(())),
        }
    }
}

impl Streams {
    /// Reads both streams to their ends and installs a new configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the log service; records read before it stay applied.
    pub async fn catch_up(
        &self,
        log: &dyn log_service::LogService,
        core: &core::Core,
    ) -> Result<(), error::ReadError> {
        let advanced = self.config.catch_up(log, stream::CONFIG, core.now()).await;
        self.install_newest(core);
        advanced?;
        self.control
            .catch_up(log, stream::CONTROL, core.now())
            .await?;
        Ok(())
    }

    /// Installs the newest replayed configuration, unless it is already in force.
    pub fn install_newest(&self, core: &core::Core) {
        let installed = core.revision();
        let newer = self.config.with(|replayer: &replayer::Replayer<_>| {
            let state = replayer.state();
            let newer = replayer.is_current() && state.revision() > installed;
            newer.then(|| (state.revision(), state.text().to_owned()))
        });
        let Some((revision, text)) = newer else {
            return;
        };
        match config::parse(&text, &format!("revision {revision}")) {
            Ok(deployment) => core.install(revision, &deployment),
            // `basilctl publish` validates a configuration before it appends it, so the invalid
            // text was appended by something else. The revision in force stays, because a partial
            // configuration would be worse.
            Err(problems) => log::error!(
                "event=configuration-invalid revision={revision} error={:?}",
                problems.to_string()
            ),
        }
    }

    /// Configuration revision and next offset of stream `control`; neither depends on the clock.
    pub fn progress(&self) -> (u64, u64) {
        let revision = self.config.with(|replayer| replayer.state().revision().0);
        (revision, self.control.next().0)
    }

    /// Whether both streams are replayed up to a recent point of the log.
    pub fn is_current(&self) -> bool {
        self.config.is_current() && self.control.is_current()
    }

    /// Appends the snapshots that are due, so that the state outlives the retention time of
    /// records.
    pub async fn append_snapshots(
        &self,
        log: &dyn log_service::LogService,
        now: clock::Millis,
        retention: clock::Millis,
        jitter: clock::Millis,
    ) {
        let due = |schedule: &basilgrade_journal::snapshot_schedule::SnapshotSchedule, next| {
            schedule.is_due(now, retention, jitter, next)
        };
        let config = self.config.with(|replayer| {
            due(replayer.schedule(), replayer.next())
                .then(|| replayer.snapshot(now))
                .flatten()
                .map(|record| basilgrade_journal::encode::json_line(&record))
        });
        let control = self.control.with(|replayer| {
            due(replayer.schedule(), replayer.next())
                .then(|| replayer.snapshot(now))
                .flatten()
                .map(|record| basilgrade_journal::encode::json_line(&record))
        });
        for (name, body) in [(stream::CONFIG, config), (stream::CONTROL, control)] {
            let Some(body) = body else {
                continue;
            };
            match log.append(name, body).await {
                Ok(offset) => log::info!("event=snapshot-appended stream={name} offset={offset}"),
                // A duplicate snapshot does no harm, so the log need not be read back after an
                // unknown outcome.
                Err(error) => log::warn!(
                    "event=snapshot-failed stream={name} error={:?}",
                    error.to_string()
                ),
            }
        }
    }
}
