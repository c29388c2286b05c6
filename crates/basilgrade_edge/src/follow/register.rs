//! Registration of this daemon in the store, through which other daemons find its address.

use std::sync;

use basilgrade_adapter::daemon_registration as registration;
use basilgrade_adapter::record;
use basilgrade_adapter::store;
use basilgrade_fleet::daemon;
use basilgrade_types::clock;
use compact_str::CompactString;

use crate::core;
use crate::follow::backoff;
use crate::follow::mirrors;
use crate::follow::reader;

/// Age at which the registration is renewed; a third of the age at which it expires.
const RENEWAL_INTERVAL: clock::Millis = clock::Millis(10 * 60_000);

/// Interval between checks of whether the registration is missing or due for renewal.
const CHECK_INTERVAL: clock::Millis = clock::Millis(500);

/// Interval between checks until the topic of daemons has been read after the start.
const FIRST_CHECK_INTERVAL: clock::Millis = clock::Millis(20);

/// Time in which a registration that the store has acknowledged is not written again, although it is
/// not in the mirror yet.
const ACKNOWLEDGED_TTL: clock::Millis = clock::Millis(3000);

fn own_registration(core: &core::Core) -> daemon::Daemon {
    let settings = core.settings.load();
    daemon::Daemon {
        name: settings.name.clone(),
        address: settings.peers,
        domain: settings.domain.clone(),
        seen_at: core.now(),
        keeps_streams: true,
        shares_loads: true,
        packs_updates: true,
    }
}

/// Keeps this daemon registered; never returns.
pub async fn keep_registered(core: sync::Arc<core::Core>, mirrors: sync::Arc<mirrors::Mirrors>) {
    let mut backoff = backoff::Backoff::default();
    let mut acknowledged_at: Option<clock::Millis> = None;
    let mut has_looked = false;
    loop {
        let interval = if has_looked {
            CHECK_INTERVAL
        } else {
            FIRST_CHECK_INTERVAL
        };
        tokio::time::sleep(interval.duration()).await;
        let is_acknowledged =
            acknowledged_at.is_some_and(|at| at.plus(ACKNOWLEDGED_TTL) > core.now());
        // Until the topic of daemons has been read, it is unknown whether a registration exists.
        if core.is_draining()
            || is_acknowledged
            || mirrors.position(store::Topic::Daemons).is_none()
        {
            continue;
        }
        has_looked = true;
        let own = own_registration(&core);
        let is_current = |known: &daemon::Daemon| {
            known.name == own.name
                && known.address == own.address
                && known.keeps_streams
                && known.shares_loads
                && known.packs_updates
                && known.seen_at.plus(RENEWAL_INTERVAL) > own.seen_at
        };
        if mirrors.daemons().iter().any(is_current) || !mirrors.is_store_reachable() {
            continue;
        }
        let value = match registration::encode(&own) {
            Ok(value) => value,
            Err(reason) => {
                log::error!("event=registration-failed reason={:?}", reason.to_string());
                continue;
            }
        };
        let record = record::Record {
            key: CompactString::new(own.name.as_str()),
            value: Some(value),
        };
        match reader::append(&core, store::Topic::Daemons, &[record]).await {
            // The mirror receives the record with the next read of the topic of daemons.
            Ok(()) => {
                backoff.reset();
                acknowledged_at = Some(core.now());
                log::info!("event=registered name={}", own.name);
            }
            Err(reason) => {
                log::warn!("event=registration-failed reason={reason:?}");
                backoff.wait().await;
            }
        }
    }
}

/// Removes the registration, so that other daemons send no more jobs to this daemon.
pub async fn unregister(core: &core::Core) {
    let record = record::Record {
        key: CompactString::new(own_registration(core).name.as_str()),
        value: None,
    };
    match reader::append(core, store::Topic::Daemons, &[record]).await {
        Ok(()) => log::info!("event=unregistered"),
        // Other daemons skip this daemon after their first failed call to it.
        Err(reason) => log::warn!("event=unregistration-failed reason={reason:?}"),
    }
}
