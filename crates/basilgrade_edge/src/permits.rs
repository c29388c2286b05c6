//! Permits for requests to upstreams that name a limit on the rate of requests.

use basilgrade_fleet::daemon;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::limit;
use basilgrade_types::clock;
use basilgrade_types::id;

use crate::core;
use crate::peers::service;

/// Time-out of an ask for a permit: several round trips between regions, and the scheduling delay of
/// a busy VM.
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(500);

/// Time after which a daemon that reaches no holder asks again.
const RETRY_DELAY: clock::Millis = clock::Millis(500);

/// Daemons in the order in which they grant permits for the upstream `id` in `domain`.
fn holders(core: &core::Core, id: &id::UpstreamId, domain: &id::DomainId) -> Vec<daemon::Daemon> {
    let mut daemons = core.view.load().registered.as_ref().clone();
    daemon::rank_local_first(id.as_str(), domain, &mut daemons);
    daemons
}

/// Gets permission to send one request to `entry`, from the holder of its limit if it has one.
///
/// `is_doubtful` tells that other daemons may know of a limit that this one does not know.
///
/// # Errors
///
/// The time before which `entry` gets no request of this daemon.
pub async fn acquire(
    core: &core::Core,
    entry: &upstream::Upstream,
    claim: limit::Claim,
    is_doubtful: bool,
) -> Result<limit::Permit, clock::Millis> {
    let asked_at = core.now();
    core.refresh_cold(entry);
    let report = {
        let known = entry.stats.limit();
        match known.need(asked_at, claim, is_doubtful) {
            limit::Need::None => return Ok(limit::Permit::Unlimited),
            limit::Need::Held(until) => return Err(until),
            limit::Need::Ask => known.report(asked_at),
        }
    };
    let own = core.settings.load().name.clone();
    for daemon in holders(core, &entry.id, &entry.domain)
        .iter()
        .take(limit::HOLDERS)
    {
        let grant = if daemon.name == own {
            if core.is_draining() {
                continue;
            }
            decide(core, &entry.id, entry.started_at, claim, report).0
        } else {
            let Some((grant, report)) = ask(core, daemon, entry, claim, report).await else {
                continue;
            };
            core.merge_limit(entry, report);
            grant
        };
        let now = core.now();
        let outcome = entry
            .stats
            .limit()
            .record_grant(asked_at, now, claim, grant);
        match outcome {
            Ok(limit::Permit::Counted(_)) => core.metrics.permits.inc(),
            Ok(limit::Permit::Unlimited) => {}
            Err(_) => core.metrics.denied_permits.inc(),
        }
        return outcome;
    }
    let now = core.now();
    let mut known = entry.stats.limit();
    let grant = if known.is_bound() {
        limit::Grant::Denied(RETRY_DELAY)
    } else {
        limit::Grant::Unlimited
    };
    known.record_grant(asked_at, now, claim, grant)
}

/// Asks `daemon` for a permit; `None` if it does not answer or is shutting down.
async fn ask(
    core: &core::Core,
    daemon: &daemon::Daemon,
    entry: &upstream::Upstream,
    claim: limit::Claim,
    report: limit::Report,
) -> Option<(limit::Grant, limit::Report)> {
    if core.links.is_backing_off(daemon.address) {
        return None;
    }
    let (id, started_at) = (entry.id.clone(), entry.started_at);
    let reply = core
        .links
        .call(daemon.address, ANSWER_TIMEOUT, |peer, context| async move {
            peer.permit(context, id, started_at, claim, report).await
        })
        .await;
    match reply {
        Ok(service::PermitReply::Decided(grant, report)) => Some((grant, report)),
        Ok(service::PermitReply::Leaving) => {
            core.links.mark_leaving(daemon.address);
            None
        }
        Err(reason) => {
            log::info!(
                "event=permit-failed upstream={} daemon={} reason={reason:?}",
                entry.id,
                daemon.name
            );
            None
        }
    }
}

/// Decides as a holder on a request to the run of the upstream `id` that started at `started_at`;
/// `report` is what the asking daemon knows. Also returns what this daemon knows.
pub fn decide(
    core: &core::Core,
    id: &id::UpstreamId,
    started_at: Option<clock::Millis>,
    claim: limit::Claim,
    report: limit::Report,
) -> (limit::Grant, limit::Report) {
    let view = core.view.load();
    let known = view.directory.get(id);
    let Some(entry) = known.filter(|entry| entry.started_at == started_at) else {
        // The asking daemon knows of another run, so it is told no more than it knows itself.
        let grant = match report.rate {
            None => limit::Grant::Unlimited,
            Some(_) => limit::Grant::Denied(RETRY_DELAY),
        };
        return (grant, report);
    };
    core.merge_limit(entry, report);
    core.refresh_cold(entry);
    let daemons = holders(core, id, &entry.domain);
    let own = core.settings.load().name.clone();
    let rank = daemons.iter().position(|daemon| daemon.name == own);
    let holder = limit::Holder {
        rank: rank.unwrap_or(limit::HOLDERS),
        daemons: daemons.len(),
    };
    let now = core.now();
    let mut known = entry.stats.limit();
    let grant = known.grant(now, holder, claim);
    (grant, known.report(now))
}
