//! Both streams of this daemon.

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

/// Replay of the configuration and of grants and leases.
pub struct Streams {
    /// Stream `config`.
    pub config: replica::Replica<config_state::ConfigState>,
    /// Stream `control`.
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
    /// Reads both streams to their ends and puts a new configuration in force.
    ///
    /// # Errors
    ///
    /// The error of the log; what was read before it counts.
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

    /// Puts the newest configuration in force if it is not yet.
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
            // `basilctl publish` checks before it appends, so this text came from elsewhere. The
            // revision in force stays, as half a configuration would be worse.
            Err(problems) => log::error!(
                "event=configuration-invalid revision={revision} error={:?}",
                problems.to_string()
            ),
        }
    }

    /// The instant-independent state used in heartbeats: revision and control offset.
    pub fn progress(&self) -> (u64, u64) {
        let revision = self.config.with(|replayer| replayer.state().revision().0);
        (revision, self.control.next().0)
    }

    /// Whether this daemon knows the log up to some recent point.
    pub fn is_current(&self) -> bool {
        self.config.is_current() && self.control.is_current()
    }

    /// Appends snapshots that are due, so that retention never removes the state.
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
                // A second snapshot does no harm, so an unknown outcome needs no reading back.
                Err(error) => log::warn!(
                    "event=snapshot-failed stream={name} error={:?}",
                    error.to_string()
                ),
            }
        }
    }
}
