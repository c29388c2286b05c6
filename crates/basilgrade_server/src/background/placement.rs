//! Placement of models on the engines of this failure domain. Only the daemon that holds the
//! domain's placement lease sends orders.

pub mod demands;
pub mod writer;

use std::sync;
use std::sync::atomic;

use basilgrade_config::model::deployment;
use basilgrade_config::model::pool;
use basilgrade_journal::lease_manager;
use basilgrade_journal::stream;
use basilgrade_membership::readiness;
use basilgrade_membership::status;
use basilgrade_placement::engine;
use basilgrade_placement::plan;
use basilgrade_placement::store;
use basilgrade_placement::view;
use basilgrade_platform::log_service;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_upstream::order;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream as futures_stream;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::background::reader;
use crate::view::entry;
use crate::view::snapshot;

/// Interval between placement decisions, which is also the interval of load reports.
const INTERVAL: clock::Millis = clock::Millis::from_secs(1);

/// Interval between reads of the weight store while the lease is held; its contents change only
/// when models are released.
const STORE_INTERVAL: clock::Millis = clock::Millis::from_secs(30);

/// Age above which a load report is stale and its engine is not considered; three times the
/// expected lag.
const MAX_REPORT_AGE: clock::Millis = clock::Millis::from_secs(15);

/// Maximum number of orders in flight.
const CONCURRENCY: usize = 16;

/// State of the placement task.
struct Placement {
    reader: reader::Reader,
    writer: Option<writer::Writer>,
    demands: demands::Demands,
    store: Option<store::Store>,
    store_refresh: clock::Millis,
}

/// Runs placement rounds until `stop`.
pub async fn run(reader: reader::Reader, stop: CancellationToken) {
    let mut placement = Placement {
        reader,
        writer: None,
        demands: demands::Demands::default(),
        store: None,
        store_refresh: clock::Millis::ZERO,
    };
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(INTERVAL.duration()) => {}
        }
        placement.run_once().await;
    }
}

/// Whether the engines of `domain` that accept orders check fencing numbers; `None` if there are no
/// such engines. If one pool ignores fencing numbers, the writer treats all pools as ignoring them
/// and waits out former leases.
pub fn fencing(
    deployment: &deployment::Deployment,
    domain: &id::DomainId,
) -> Option<lease_manager::Fencing> {
    let pools = deployment
        .upstreams
        .values()
        .filter(|upstream| upstream.domain == *domain)
        .filter(|upstream| {
            let mut models = deployment.models.values();
            models.any(|model| model.pool == upstream.pool)
        })
        .filter_map(|upstream| deployment.pools.get(&upstream.pool));
    let mut found = None;
    for pool in pools {
        if pool.fencing == pool::Fencing::Ignored {
            return Some(lease_manager::Fencing::Ignored);
        }
        found = Some(lease_manager::Fencing::Checked);
    }
    found
}

impl Placement {
    async fn run_once(&mut self) {
        let core = sync::Arc::clone(&self.reader.core);
        let Some(current) = core.current.load_full() else {
            return;
        };
        let deployment = &current.deployment;
        let domain = &core.components.domain;
        let fencing_mode = fencing(deployment, domain);
        let leaving = self.reader.cluster.readiness() == readiness::Readiness::Leaving;
        if leaving || fencing_mode.is_none() {
            if let Some(record) = self
                .writer
                .as_mut()
                .and_then(|writer| writer.release_lease(Uuid::now_v7()))
            {
                self.append(record);
            }
            self.writer = None;
            return;
        }
        let Some(fencing) = fencing_mode.filter(|_| self.reader.cluster.has_joined()) else {
            return;
        };
        if self.writer.as_ref().map(writer::Writer::fencing) != Some(fencing) {
            // A lease acquired under the other fencing mode is not used; it expires.
            let own_node = self.reader.cluster.own_node();
            self.writer = Some(writer::Writer::new(own_node, domain.clone(), fencing));
        }
        let daemons = self.daemons();
        let demand = self
            .demands
            .update(core.now(), deployment, &core.usage, daemons);
        self.renew();
        self.refresh_store().await;
        let engines = engines(&current, domain, core.now());
        let view = view::View {
            deployment,
            engines: &engines,
            demand: &demand,
            store: self.store.as_ref(),
        };
        let now = core.now();
        let plan = self
            .writer
            .as_mut()
            .and_then(|writer| writer.plan(now, &view));
        if let Some(plan) = plan {
            self.send_orders(&current, plan).await;
        }
    }

    /// The number of live daemons in the failure domain, at least 1.
    fn daemons(&self) -> usize {
        let alive = |node: &mut basilgrade_membership::node::Node, _| {
            node.members()
                .filter(|(_, status)| *status == status::Status::Alive)
                .count()
        };
        self.reader.cluster.with(alive).max(1)
    }

    /// Observes the lease in force, and acquires or renews the lease when due.
    fn renew(&mut self) {
        let Some(writer) = &mut self.writer else {
            return;
        };
        let now = self.reader.core.now();
        let control = &self.reader.streams.control;
        if !control.is_current() {
            return;
        }
        control.with(|replayer| writer.observe(now, replayer.state()));
        let candidate = self.reader.cluster.with(|node, now| node.reads_log(now));
        if let Some(record) = writer.propose(now, Uuid::now_v7(), candidate) {
            self.append(record);
        }
    }

    /// Appends a lease record, which takes effect when stream `control` is replayed.
    fn append(&self, record: Bytes) {
        let log: sync::Arc<dyn log_service::LogService> =
            sync::Arc::clone(&self.reader.platform.log);
        tokio::spawn(async move {
            if let Err(error) = log.append(stream::CONTROL, record).await {
                log::warn!("event=lease-append-failed error={:?}", error.to_string());
            }
        });
    }

    async fn refresh_store(&mut self) {
        let now = self.reader.core.now();
        let holds_lease = self
            .writer
            .as_ref()
            .is_some_and(|writer| writer.fence(now).is_some());
        if !holds_lease || now < self.store_refresh {
            return;
        }
        self.store_refresh = now.plus(STORE_INTERVAL);
        match self.reader.platform.weights.info().await {
            Ok(info) => {
                self.store = Some(store::Store {
                    rate: info.rate,
                    sizes: info.models,
                });
            }
            Err(error) => log::warn!("event=weight-store-failed error={:?}", error.to_string()),
        }
    }

    /// Logs the decisions of a plan and sends its orders to the engines.
    async fn send_orders(&mut self, current: &snapshot::Snapshot, plan: plan::Plan) {
        for decision in &plan.decisions {
            log::info!("event=placement {decision}");
        }
        let Some(writer) = &mut self.writer else {
            return;
        };
        let core = &self.reader.core;
        let acknowledged: Vec<Option<id::UpstreamId>> = futures_stream::iter(plan.orders)
            .map(|(engine, models)| {
                let address = current
                    .deployment
                    .upstreams
                    .get(&engine)
                    .map(|upstream| upstream.address);
                // The lease may have expired since the plan was made.
                let fence = writer.fence(core.now());
                async move {
                    let order = order::Order {
                        fence: fence?,
                        models,
                    };
                    match core.components.upstream.order(address?, order).await {
                        Ok(()) => Some(engine),
                        Err(error) => {
                            log::warn!(
                                "event=order-failed upstream={engine} error={:?}",
                                error.to_string()
                            );
                            None
                        }
                    }
                }
            })
            .buffer_unordered(CONCURRENCY)
            .collect()
            .await;
        let now = core.now();
        for engine in acknowledged.into_iter().flatten() {
            writer.mark_sent(now, &engine);
        }
    }
}

/// The engines of `domain` with the state in their last load report.
fn engines(
    current: &snapshot::Snapshot,
    domain: &id::DomainId,
    now: clock::Millis,
) -> Vec<engine::Engine> {
    let in_domain = |entry: &&entry::Entry| {
        let upstream = current.deployment.upstreams.get(&entry.id);
        upstream.is_some_and(|upstream| upstream.domain == *domain)
    };
    let report = |entry: &entry::Entry| {
        let reported = entry.stats.reported_at.load(atomic::Ordering::Relaxed);
        let reported = clock::Millis(reported);
        let state = if entry.stats.is_leaving(now) {
            engine::State::Leaving
        } else if now.since(reported) > MAX_REPORT_AGE {
            engine::State::Stale
        } else {
            engine::State::Reporting
        };
        engine::Engine {
            id: entry.id.clone(),
            pool: entry.pool.clone(),
            state,
            reported,
            loaded: entry.stats.models.load().iter().cloned().collect(),
        }
    };
    current
        .entries
        .iter()
        .filter(in_domain)
        .map(report)
        .collect()
}
