//! Polling of the VM list and of seed addresses.

use std::net;
use std::sync;

use basilgrade_membership::vm_hint;
use basilgrade_platform::vm_list;
use basilgrade_types::clock;
use indexmap::IndexMap;
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use crate::cluster;
use crate::core;
use crate::exec::attempts;
use crate::platform;

/// Mean interval between polls, with a jitter of ±25 % that spreads the polls of all daemons.
const INTERVAL: clock::Millis = clock::Millis::from_secs(2);

/// Polls until `stop`. The VM list is only a hint: it tells where daemons may run and which
/// upstreams are about to leave.
pub async fn run(
    core: sync::Arc<core::Core>,
    cluster: cluster::Cluster,
    platform: platform::Platform,
    seeds: Vec<net::SocketAddr>,
    stop: CancellationToken,
) {
    let mut hints = IndexMap::new();
    loop {
        for seed in &seeds {
            if let Some(record) = cluster.fetch_record(*seed).await {
                let hint = vm_hint::VmHint {
                    vm: record.vm.clone(),
                    domain: record.domain,
                    address: record.address,
                };
                hints.insert(record.vm, hint);
            }
        }
        match platform.vms.fetch().await {
            Ok(entries) => {
                for entry in entries {
                    apply_entry(&core, entry, &mut hints);
                }
            }
            Err(error) => log::debug!("event=vm-list-failed error={:?}", error.to_string()),
        }
        cluster.add_hints(hints.values().cloned().collect());
        let jitter = rand::rng().random_range(0..INTERVAL.0 / 2);
        let wait = clock::Millis(INTERVAL.0 * 3 / 4 + jitter);
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(wait.duration()) => {}
        }
    }
}

fn apply_entry(
    core: &core::Core,
    entry: vm_list::VmEntry,
    hints: &mut IndexMap<basilgrade_types::id::VmId, vm_hint::VmHint>,
) {
    let view = core.current.load();
    let upstream = view.as_ref().and_then(|view| {
        let mut entries = view.entries.iter();
        entries.find(|upstream| upstream.id.as_str() == entry.id.as_str())
    });
    if let Some(upstream) = upstream {
        if entry.state == vm_list::VmState::Leaving {
            let until = core.now().plus(attempts::LEAVING_PERIOD);
            upstream.stats.mark_leaving(until);
        }
        return;
    }
    let hint = vm_hint::VmHint {
        vm: entry.id.clone(),
        domain: entry.domain,
        address: entry.address,
    };
    hints.insert(entry.id, hint);
}
