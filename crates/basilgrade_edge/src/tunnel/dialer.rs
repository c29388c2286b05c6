//! Opens connections to upstreams, directly or through other daemons.

use std::net;

use basilgrade_fleet::daemon;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::model::allowed_regions;
use basilgrade_fleet::paths;
use basilgrade_types::clock;
use futures::FutureExt as _;
use futures::StreamExt as _;
use futures::future;
use futures::stream;

use crate::core;
use crate::http::connection;
use crate::http::error;
use crate::http::socket;
use crate::tunnel::message;
use crate::tunnel::stream as tunnel_stream;

/// Time-out for a direct connection.
///
/// After a lost packet, TCP retransmits only after 1 s; by then another path or upstream can have
/// answered.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(400);

/// Time that a direct connection gets before another daemon is asked: several round trips between
/// regions.
const HEAD_START: clock::Millis = clock::Millis(150);

/// Time after which the next daemon is asked, if the one before has not replied.
const REPLY_DELAY: clock::Millis = clock::Millis(150);

/// Maximum number of daemons that are asked for one connection.
const MAX_FORWARDERS: usize = 4;

type Opened = Result<connection::Connection, error::SendError>;

/// Opens a connection to `entry`, directly or through a daemon in one of `regions`.
///
/// # Errors
///
/// [`error::SendError`] with the verdict `NotRun`, as no byte was sent.
pub async fn open(
    core: &core::Core,
    entry: &upstream::Upstream,
    regions: &allowed_regions::AllowedRegions,
) -> Opened {
    let plan = core.paths().plan(core.now(), &entry.id);
    match plan {
        paths::Plan::DirectOnly => open_direct(core, entry).await,
        paths::Plan::Direct => {
            let mut direct = Box::pin(open_direct(core, entry));
            match tokio::time::timeout(HEAD_START.duration(), &mut direct).await {
                Ok(Ok(opened)) => Ok(opened),
                Ok(Err(failure)) => open_tunnel(core, entry, regions).await.ok_or(failure),
                Err(_) => first_opened(direct, open_tunnel(core, entry, regions)).await,
            }
        }
        paths::Plan::Tunnel => match open_tunnel(core, entry, regions).await {
            Some(opened) => Ok(opened),
            None => open_direct(core, entry).await,
        },
        paths::Plan::TunnelAndProbe => {
            first_opened(open_direct(core, entry), open_tunnel(core, entry, regions)).await
        }
    }
}

/// Whether the direct path to `entry` has been lost since `start`; connects to find out.
pub async fn has_lost_path(
    core: &core::Core,
    entry: &upstream::Upstream,
    start: clock::Millis,
) -> bool {
    // The connection is closed again: only whether it opens matters.
    let _ = open(core, entry, &allowed_regions::AllowedRegions::ANYWHERE).await;
    core.paths().was_lost_since(start, &entry.id)
}

/// The connection that opens first; the error of the direct one if none opens.
async fn first_opened(
    direct: impl Future<Output = Opened>,
    tunnel: impl Future<Output = Option<connection::Connection>>,
) -> Opened {
    match future::select(Box::pin(direct), Box::pin(tunnel)).await {
        future::Either::Left((Ok(opened), _)) | future::Either::Right((Some(opened), _)) => {
            Ok(opened)
        }
        future::Either::Left((Err(failure), tunnel)) => tunnel.await.ok_or(failure),
        future::Either::Right((None, direct)) => direct.await,
    }
}

async fn open_direct(core: &core::Core, entry: &upstream::Upstream) -> Opened {
    let timeout = CONNECT_TIMEOUT.duration();
    let opened =
        connection::Connection::open(entry.address, timeout, socket::Patience::Answer).await?;
    core.record_direct(&entry.id);
    Ok(opened)
}

/// Opens a connection through one of the other daemons; `None` if none of those asked reaches the
/// upstream.
async fn open_tunnel(
    core: &core::Core,
    entry: &upstream::Upstream,
    regions: &allowed_regions::AllowedRegions,
) -> Option<connection::Connection> {
    let forwarders = rank_forwarders(core, entry, regions);
    if forwarders.is_empty() {
        return None;
    }
    let mut forwarders = forwarders.into_iter();
    let mut asks = stream::FuturesUnordered::new();
    loop {
        if let Some(forwarder) = forwarders.next() {
            asks.push(ask(core, entry, forwarder).boxed());
        } else if asks.is_empty() {
            // Daemons of other regions may reach the upstream.
            if !regions.is_restricted() {
                core.paths().record_unreachable(core.now(), &entry.id);
            }
            return None;
        }
        let delay = if forwarders.len() > 0 {
            REPLY_DELAY
        } else {
            clock::Millis::MAX
        };
        let replied = tokio::time::timeout(delay.duration(), asks.next()).await;
        if let Ok(Some(Some(opened))) = replied {
            return Some(opened);
        }
    }
}

/// Daemons in `regions` to ask for a connection to `entry`, in order.
fn rank_forwarders(
    core: &core::Core,
    entry: &upstream::Upstream,
    regions: &allowed_regions::AllowedRegions,
) -> Vec<daemon::Daemon> {
    let settings = core.settings.load();
    let view = core.view.load();
    let mut daemons = view.registered.as_ref().clone();
    daemons.retain(|daemon| {
        daemon.name != settings.name
            && view.topology.is_allowed(regions, &daemon.domain)
            && !core.links.is_backing_off(daemon.address)
    });
    core.paths().rank_forwarders(
        core.now(),
        rand::random(),
        &settings.domain,
        entry,
        &mut daemons,
    );
    daemons.truncate(MAX_FORWARDERS);
    daemons
}

/// Asks `forwarder` for a connection to `entry`.
async fn ask(
    core: &core::Core,
    entry: &upstream::Upstream,
    forwarder: daemon::Daemon,
) -> Option<connection::Connection> {
    let opened = open_through(forwarder.address, entry).await;
    match opened {
        Ok(opened) => {
            core.record_tunnel(entry, &forwarder.name);
            Some(opened)
        }
        Err(reason) => {
            log::debug!(
                "event=tunnel-refused upstream={} daemon={} reason={reason:?}",
                entry.id,
                forwarder.name
            );
            core.paths()
                .record_failure(core.now(), entry, &forwarder.name);
            None
        }
    }
}

async fn open_through(
    forwarder: net::SocketAddr,
    entry: &upstream::Upstream,
) -> Result<connection::Connection, String> {
    let open = message::Open {
        upstream: entry.id.clone(),
        started_at: entry.started_at,
    };
    let stream = tunnel_stream::connect(forwarder, &open)
        .await
        .map_err(|failure| failure.to_string())?;
    connection::Connection::over(stream, entry.address)
        .await
        .map_err(|failure| failure.to_string())
}
