//! Timers of membership and claims.

use std::sync;

use basilgrade_claims::claims;
use basilgrade_claims::settings;
use basilgrade_membership::readiness;
use basilgrade_types::clock;
use basilgrade_types::id;
use tokio_util::sync::CancellationToken;

use crate::cluster;
use crate::core;
use crate::journal::streams;
use crate::ledger::slots;

/// Interval between ticks of the claims state machine.
const CLAIMS_TICK: clock::Millis = clock::Millis(50);

/// Drives membership until `stop`.
pub async fn run(core: sync::Arc<core::Core>, cluster: cluster::Cluster, stop: CancellationToken) {
    loop {
        let wait = cluster.tick().max(clock::Millis(1));
        core.set_synchronizing(cluster.readiness() != readiness::Readiness::Ready);
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(wait.duration()) => {}
        }
    }
}

/// Drives the claims state machine until `stop`, starting when the daemon has joined.
pub async fn run_claims(
    cluster: cluster::Cluster,
    streams: sync::Arc<streams::Streams>,
    ledger: slots::SlotLedger,
    domain: id::DomainId,
    settings: settings::Settings,
    stop: CancellationToken,
) {
    let mut started = false;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(CLAIMS_TICK.duration()) => {}
        }
        if !started {
            if !cluster.has_joined() {
                continue;
            }
            let claims = claims::Claims::new(cluster.own_node(), domain.clone(), settings);
            ledger.start(claims);
            // Records that were replayed before this start are not reported again, and the next
            // record may be minutes away.
            streams.control.with(|replayer| {
                if replayer.is_current() {
                    ledger.observe(replayer.state(), replayer.next());
                }
            });
            started = true;
        }
        let view = streams
            .control
            .with(|replayer| cluster.view(replayer.state()));
        ledger.tick(&view);
    }
}
