//! Evaluation of upstream health and customer demand, once a second.

use std::sync;

use basilgrade_membership::health;
use basilgrade_membership::tag;
use basilgrade_policy::share::shares;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexSet;
use tokio_util::sync::CancellationToken;

use crate::cluster;
use crate::core;
use crate::view::snapshot;

/// Interval between evaluations.
const INTERVAL: clock::Millis = clock::Millis::from_secs(1);

/// How long an upstream that a peer reported as leaving gets no new calls. The period is short, so
/// that daemons do not keep repeating each other's notices.
const PEER_LEAVING_PERIOD: clock::Millis = clock::Millis::from_secs(2);

/// Evaluates health and demand until `stop`.
pub async fn run(core: sync::Arc<core::Core>, cluster: cluster::Cluster, stop: CancellationToken) {
    let mut previous_customers = IndexSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL.duration()) => {}
        }
        let Some(view) = core.current.load_full() else {
            continue;
        };
        let now = core.now();
        evaluate(&view, now);
        exchange_health(&view, &cluster, now);
        core.set_daemons(cluster.live_daemons());
        update_shares(&view, &cluster, now, &mut previous_customers);
    }
}

fn evaluate(view: &snapshot::Snapshot, now: clock::Millis) {
    for (name, pool) in &view.pool_states {
        let indices = view.pools.get(name).map_or(&[][..], Vec::as_slice);
        let factors: Vec<_> = indices
            .iter()
            .filter_map(|index| view.entries.get(*index as usize))
            .map(|entry| entry.stats.speed.factor(now))
            .collect();
        pool.outliers.evaluate(now, &factors);
    }
}

/// Reports leaving and ejected upstreams to the other daemons, and marks the upstreams that they
/// reported as leaving.
fn exchange_health(view: &snapshot::Snapshot, cluster: &cluster::Cluster, now: clock::Millis) {
    let peer_health = cluster.with(|node, now| {
        for (index, entry) in view.entries.iter().enumerate() {
            let weight = entry.candidate(index as u32, now).weight;
            let health = if entry.stats.is_locally_leaving(now) {
                health::Health::Leaving
            } else if weight <= 0.0 {
                health::Health::Ejected
            } else {
                health::Health::Healthy
            };
            node.set_health(now, &entry.id, health);
        }
        node.unhealthy(now)
    });
    for entry in &view.entries {
        if peer_health.get(&tag::Tag::of(entry.id.as_str())) == Some(&health::Health::Leaving) {
            entry
                .stats
                .mark_leaving_from_peer(now.plus(PEER_LEAVING_PERIOD));
        }
    }
}

/// Updates this daemon's share of each customer's quota from the demand of all daemons.
fn update_shares(
    view: &snapshot::Snapshot,
    cluster: &cluster::Cluster,
    now: clock::Millis,
    previous_customers: &mut IndexSet<id::CustomerId>,
) {
    let demands: Vec<_> = view.shares.report(now).collect();
    let counts = cluster.counts();
    let mut active_customers = IndexSet::new();
    cluster.with(|node, _| {
        for (position, rate) in &demands {
            let Some((customer, _)) = view.deployment.customers.get_index(*position) else {
                continue;
            };
            node.set_demand(customer, rate::RequestRate(f64::from(*rate)));
            let demand = node.demand(customer);
            let reported = shares::ReportedDemand {
                daemon: *rate,
                domain: demand.domain.0 as f32,
                total: demand.fleet.0 as f32,
                daemons: counts.own_domain,
                domains: counts.domains,
            };
            view.shares.set(now, *position, &reported);
            active_customers.insert(customer.clone());
        }
        for customer in previous_customers.difference(&active_customers) {
            node.set_demand(customer, rate::RequestRate::default());
        }
    });
    *previous_customers = active_customers;
}
