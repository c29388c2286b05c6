//! Exchange of load reports between daemons, by which upstreams are selected.
//!
//! Each daemon reports its work at upstreams to the first daemons by rank of its failure domain, one
//! for each shard of the upstreams, which reply with the work of the others. The daemons that
//! aggregate a shard send each other their sums. All reports are soft state: those that are lost are missing until the next ones.

use std::sync;

use basilgrade_fleet::balance;
use basilgrade_fleet::balance::exchange;
use basilgrade_fleet::balance::speed_floor;
use basilgrade_fleet::daemon;
use basilgrade_fleet::directory::upstream;
use basilgrade_fleet::model::pool;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::core;
use crate::view;

/// Time-out of a call, several times the round trip between regions; a later reply has little weight.
const ANSWER_TIMEOUT: clock::Millis = clock::Millis(500);

/// Interval between checks of the settings while loads are not learned.
const OFF_INTERVAL: clock::Millis = clock::Millis(1000);

/// Interval between lines about the speeds of upstreams.
const LOG_INTERVAL: clock::Millis = clock::Millis(30_000);

/// Exchanges load reports while loads are learned; never returns.
pub async fn run(core: sync::Arc<core::Core>) {
    // Aggregating daemons of this failure domain, by shard.
    let mut sources: Vec<id::VmId> = Vec::new();
    let mut logged_at = core.now();
    let mut rounds = 0;
    loop {
        if !core.is_balancing() {
            tokio::time::sleep(OFF_INTERVAL.duration()).await;
            continue;
        }
        let view = core.view.load_full();
        let plan = plan(&view);
        // Random intervals keep the reports of the daemons apart.
        let wait = plan.interval.as_f64() * (0.75 + rand::random::<f64>() / 2.0);
        tokio::time::sleep(clock::Millis(wait as u64).duration()).await;
        if !core.is_draining() {
            rounds += 1;
            let passes_sums = rounds % exchange::SUMS_INTERVALS == 0;
            report(&core, &view, plan, passes_sums, &mut sources).await;
        }
        if core.now() - logged_at >= LOG_INTERVAL {
            logged_at = core.now();
            log_speeds(&core, &view);
        }
    }
}

/// Daemons whose builds take load reports.
fn participants(view: &view::View) -> impl Iterator<Item = &daemon::Daemon> {
    view.registered.iter().filter(|known| known.shares_loads)
}

fn plan(view: &view::View) -> exchange::Plan {
    let domains: IndexSet<_> = participants(view).map(|known| &known.domain).collect();
    exchange::Plan::new(participants(view).count(), domains.len())
}

/// Daemons that aggregate the reports of `domain`, by shard; this one may be among them.
fn aggregators(
    core: &core::Core,
    view: &view::View,
    domain: &id::DomainId,
    shards: usize,
) -> Vec<daemon::Daemon> {
    let local = participants(view).filter(|known| known.domain == *domain);
    let mut daemons: Vec<_> = local.cloned().collect();
    daemon::rank(&format!("loads of {domain}"), &mut daemons);
    daemons.retain(|daemon| !core.load_links.is_backing_off(daemon.address));
    let count = daemons.len();
    let cycle = daemons.into_iter().cycle();
    cycle.take(if count > 0 { shards } else { 0 }).collect()
}

/// Upstreams that serve requests as a whole.
fn upstreams(view: &view::View) -> impl Iterator<Item = &sync::Arc<upstream::Upstream>> {
    let pools = view.configuration.as_ref().map(|known| &known.pools);
    view.directory.iter().filter(move |entry| {
        let known = pools.and_then(|pools| pools.get(&entry.pool));
        known.is_some_and(|pool| !matches!(pool.work, pool::Work::Pieces(_)))
    })
}

/// Reports the work of this daemon, and passes on the sums of its failure domain for the shards that
/// it aggregates if `passes_sums` is set.
async fn report(
    core: &core::Core,
    view: &view::View,
    plan: exchange::Plan,
    passes_sums: bool,
    sources: &mut Vec<id::VmId>,
) {
    let own = core.settings.load().name.clone();
    let domain = &view.topology.domain;
    let targets = aggregators(core, view, domain, plan.shards);
    let names: Vec<_> = targets.iter().map(|target| target.name.clone()).collect();
    if *sources != names {
        let list: Vec<_> = names.iter().map(id::VmId::as_str).collect();
        log::info!(
            "event=load-aggregators domain={domain} daemons={}",
            list.join(",")
        );
        *sources = names;
    }
    let mut entries = vec![Vec::new(); plan.shards];
    for entry in exchange::entries(upstreams(view)) {
        entries[entry.key.shard(plan.shards)].push(entry);
    }
    let shards = targets.iter().zip(entries).enumerate();
    let reports = shards.map(|(shard, (target, entries))| {
        let own = own.clone();
        async move {
            if target.name == own {
                let reply = aggregate(core, &own, shard, &entries, usize::MAX);
                apply(core, view, &reply);
                refresh(core, view, shard, plan);
                if passes_sums {
                    pass_sums(core, view, shard, plan).await;
                }
            } else {
                send_report(core, view, target, shard, entries).await;
            }
        }
    });
    futures::future::join_all(reports).await;
}

/// Sends `entries` to `target`, and takes over its reply.
async fn send_report(
    core: &core::Core,
    view: &view::View,
    target: &daemon::Daemon,
    shard: usize,
    entries: Vec<exchange::Entry>,
) {
    core.metrics.load_reports.inc();
    let own = core.settings.load().name.clone();
    let call = core
        .load_links
        .call(target.address, ANSWER_TIMEOUT, |peer, context| async move {
            peer.report_load(context, own, shard, entries).await
        });
    match call.await {
        Ok(Some(reply)) => apply(core, view, &reply),
        Ok(None) => core.load_links.mark_leaving(target.address),
        Err(reason) => record_failure(core, target, &reason),
    }
}

fn record_failure(core: &core::Core, target: &daemon::Daemon, reason: &str) {
    core.metrics.failed_load_reports.inc();
    log::info!(
        "event=load-report-failed daemon={} domain={} reason={reason:?}",
        target.name,
        target.domain
    );
}

/// Takes over the work of other daemons and the speeds that all have measured.
fn apply(core: &core::Core, view: &view::View, reply: &exchange::Report) {
    let at = core.now() - reply.age;
    let entries: IndexMap<_, _> = reply
        .entries
        .iter()
        .map(|entry| (entry.key, entry))
        .collect();
    for upstream in upstreams(view) {
        if let Some(entry) = entries.get(&exchange::Key::new(upstream)) {
            entry.apply(at, &mut upstream.stats.tracker());
        }
    }
    update_uneven(core, view);
}

/// Decides anew in which pools upstreams are selected by their speeds.
fn update_uneven(core: &core::Core, view: &view::View) {
    let mut pools: IndexMap<&id::PoolId, Vec<speed_floor::SpeedFloor>> = IndexMap::new();
    for entry in upstreams(view) {
        let floor = entry.stats.tracker().floor();
        pools.entry(&entry.pool).or_default().push(floor);
    }
    let known = core.uneven.load();
    let is_uneven = |(pool, floors): &(&id::PoolId, Vec<_>)| {
        speed_floor::is_uneven(floors, known.contains(*pool))
    };
    let uneven: IndexSet<_> = pools
        .into_iter()
        .filter(is_uneven)
        .collect::<IndexMap<_, _>>()
        .into_keys()
        .cloned()
        .collect();
    if uneven == **known {
        return;
    }
    for pool in uneven.difference(&known) {
        log::info!("event=pool-uneven pool={pool}");
    }
    for pool in known.difference(&uneven) {
        log::info!("event=pool-even pool={pool}");
    }
    core.uneven.store(sync::Arc::new(uneven));
}

/// Records the report of the daemon `member` of this failure domain for `shard`, and returns what to
/// reply in up to `limit` entries.
fn aggregate(
    core: &core::Core,
    member: &id::VmId,
    shard: usize,
    entries: &[exchange::Entry],
    limit: usize,
) -> exchange::Report {
    let now = core.now();
    let mut aggregators = core.aggregators();
    let aggregator = aggregators.entry(shard).or_default();
    aggregator.record_member(now, member, entries);
    aggregator.reply(now, member, limit)
}

/// Reply to the daemon `member` of this failure domain; `None` if this daemon is shutting down or
/// learns no loads.
pub fn answer(
    core: &core::Core,
    member: &id::VmId,
    shard: usize,
    entries: &[exchange::Entry],
) -> Option<exchange::Report> {
    if core.is_draining() || !core.is_balancing() {
        return None;
    }
    let plan = plan(&core.view.load());
    (shard < plan.shards).then(|| aggregate(core, member, shard, entries, plan.entries))
}

/// Tells the aggregator of `shard` which upstreams exist, and drops those of shards that no longer do.
fn refresh(core: &core::Core, view: &view::View, shard: usize, plan: exchange::Plan) {
    let mut keys = [Vec::new(), Vec::new()];
    for upstream in upstreams(view) {
        let key = exchange::Key::new(upstream);
        if key.shard(plan.shards) == shard {
            keys[usize::from(upstream.domain != view.topology.domain)].push(key);
        }
    }
    let [local, others] = keys;
    let mut aggregators = core.aggregators();
    aggregators.retain(|known, _| *known < plan.shards);
    let aggregator = aggregators.entry(shard).or_default();
    aggregator.set_upstreams(core.now(), local, others);
}

/// Sends the sums of this failure domain for `shard` to the aggregating daemons of the others.
async fn pass_sums(core: &core::Core, view: &view::View, shard: usize, plan: exchange::Plan) {
    let domain = &view.topology.domain;
    let report = {
        let mut aggregators = core.aggregators();
        let aggregator = aggregators.entry(shard).or_default();
        aggregator.sums(core.now(), plan.entries)
    };
    if report.entries.is_empty() {
        return;
    }
    let domains: IndexSet<_> = participants(view).map(|known| &known.domain).collect();
    let others = domains.into_iter().filter(|known| *known != domain);
    let targets = others.filter_map(|other| {
        let targets = aggregators(core, view, other, plan.shards);
        targets.into_iter().nth(shard)
    });
    let report = &report;
    let sends = targets.map(|target| async move {
        core.metrics.load_reports.inc();
        let (from, report) = (domain.clone(), report.clone());
        let call =
            core.load_links
                .call(target.address, ANSWER_TIMEOUT, |peer, context| async move {
                    peer.pass_loads(context, from, shard, report).await
                });
        match call.await {
            Ok(true) => {}
            Ok(false) => core.load_links.mark_leaving(target.address),
            Err(reason) => record_failure(core, &target, &reason),
        }
    });
    futures::future::join_all(sends).await;
}

/// Records the sums of another failure domain for `shard`; `false` if this daemon is shutting down or
/// learns no loads.
pub fn record_sums(
    core: &core::Core,
    domain: &id::DomainId,
    shard: usize,
    report: &exchange::Report,
) -> bool {
    let is_known = shard < plan(&core.view.load()).shards;
    if core.is_draining() || !core.is_balancing() || !is_known {
        return false;
    }
    let mut aggregators = core.aggregators();
    let aggregator = aggregators.entry(shard).or_default();
    aggregator.record_domain(core.now(), domain, report);
    true
}

/// Logs the slowest and the fastest upstream of each pool.
fn log_speeds(core: &core::Core, view: &view::View) {
    let mut pools: IndexMap<&id::PoolId, Vec<_>> = IndexMap::new();
    for entry in upstreams(view) {
        pools.entry(&entry.pool).or_default().push(entry);
    }
    for (pool, entries) in pools {
        let has_prompt = view
            .configuration
            .as_ref()
            .and_then(|known| known.pools.get(pool))
            .is_some_and(|known| !matches!(known.work, pool::Work::Service));
        let loads = balance::loads(core.now(), &entries, has_prompt);
        let of = |one: &(&&sync::Arc<upstream::Upstream>, &balance::Load)| one.1.pace;
        let mut pairs: Vec<_> = entries.iter().zip(&loads).collect();
        pairs.sort_by(|one, other| of(one).total_cmp(&of(other)));
        if let (Some((first, fast)), Some((last, slow))) = (pairs.first(), pairs.last()) {
            let weight: f64 = loads.iter().map(|load| load.report_weight).sum();
            log::info!(
                "event=load-estimates pool={pool} upstreams={} report_weight={:.2} fastest={} \
                 pace={:.4} slowest={} slowest_pace={:.4}",
                loads.len(),
                weight / loads.len() as f64,
                first.id,
                fast.pace,
                last.id,
                slow.pace
            );
        }
    }
}
