//! Streams of engines of several software versions: a stream goes on only at the version that
//! began it, as the parts that two versions write do not fit together.

mod edge_support;

use std::collections;
use std::time;

use edge_support::client;
use edge_support::daemon;
use edge_support::deployment;
use edge_support::operator;
use edge_support::port;
use edge_support::upstream;

const STREAM: &str = "/stream-resumable/plan";

/// Number of streams that a test begins.
const STREAMS: usize = 16;

/// Starts four engines, two at version `v1` and two at `v2`, and two daemons.
async fn start() -> deployment::Deployment {
    let mut deployment =
        deployment::start_with(&["a", "b"], 2, &deployment::without_stages()).await;
    add_version(&mut deployment, &[0, 1]).await;
    deployment
}

/// Starts two engines at version `v2` and waits until the daemons with these indices use them.
async fn add_version(deployment: &mut deployment::Deployment, daemons: &[usize]) {
    for number in [2, 3] {
        deployment.add_upstream_at("engine", number, "v2").await;
    }
    for daemon in daemons.iter().copied() {
        deployment::wait_until("the daemon learns of the new version", || async {
            let engines = [2, 3].map(|number| deployment.upstream(&format!("engine-{number}")));
            let before: usize = engines.iter().map(|engine| engine.runs().len()).sum();
            begin(deployment, daemon, "probe").await;
            engines
                .iter()
                .map(|engine| engine.runs().len())
                .sum::<usize>()
                > before
        })
        .await;
    }
}

/// Sends a stream request with the id `id` to the daemon with this index.
async fn begin(
    deployment: &deployment::Deployment,
    daemon: usize,
    id: &str,
) -> Option<client::Answer> {
    let address = deployment.daemons[daemon].caller_address;
    // Breaks of several requests are not evidence against one of them.
    let request = client::request(id, "POST", &format!("{STREAM}/{id}"));
    client::send(address, request, "").await
}

/// Takes up the stream that the attempt `first` began, after event 3; returns the status.
async fn take_up(
    deployment: &deployment::Deployment,
    daemon: usize,
    id: &str,
    first: Option<&str>,
) -> u16 {
    let mut request = client::request(id, "POST", STREAM).header("last-event-id", "3");
    if let Some(first) = first {
        request = request.header("resumes", first);
    }
    let address = deployment.daemons[daemon].caller_address;
    let answer = client::send(address, request, "").await;
    answer.map_or(0, |answer| answer.status)
}

/// Versions of the engines that ran the requests `ids`.
fn versions(
    deployment: &deployment::Deployment,
    ids: &[&str],
) -> collections::BTreeSet<&'static str> {
    let engines = [
        ("engine-0", "v1"),
        ("engine-1", "v1"),
        ("engine-2", "v2"),
        ("engine-3", "v2"),
    ];
    engines
        .into_iter()
        .filter(|(id, _)| {
            let found = deployment.upstreams.iter().find(|known| known.id == *id);
            let runs = found.map(|known| known.runs()).unwrap_or_default();
            runs.iter().any(|run| ids.contains(&run.request.as_str()))
        })
        .map(|(_, version)| version)
        .collect()
}

/// Begins streams at daemon 0; returns the ids of the attempts.
async fn begin_all(deployment: &deployment::Deployment) -> Vec<String> {
    let ids: Vec<_> = (0..STREAMS)
        .map(|number| format!("begun-{number}"))
        .collect();
    for id in &ids {
        let answer = begin(deployment, 0, id).await.expect("the daemon answers");
        assert_eq!(answer.status, 200);
    }
    ids
}

/// Takes up each stream at the daemons with these indices in turn; returns how many went on.
///
/// Panics if one went on at another version, or ran although it was refused.
async fn take_up_all(
    deployment: &deployment::Deployment,
    daemons: &[usize],
    ids: &[String],
) -> usize {
    let mut count = 0;
    for (number, first) in ids.iter().enumerate() {
        let id = format!("again-{first}");
        let daemon = daemons[number % daemons.len()];
        match take_up(deployment, daemon, &id, Some(first)).await {
            200 => {
                let versions = versions(deployment, &[first, &id]);
                assert_eq!(versions.len(), 1, "`{first}` was joined from two versions");
                count += 1;
            }
            503 => assert_eq!(deployment.count_runs(&id), 0, "`{id}` ran"),
            status => panic!("`{id}` was answered {status}"),
        }
    }
    count
}

/// Guards against a stream that breaks off and goes on at another version within one answer.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_goes_on_at_its_version() {
    let deployment = start().await;
    for number in 0..4 {
        let engine = deployment.upstream(&format!("engine-{number}"));
        engine.set_behaviour(upstream::Behaviour::BreaksIn(4));
    }

    let mut resumed = 0;
    for number in 0..STREAMS {
        let id = format!("broken-{number}");
        begin(&deployment, 0, &id).await;
        assert_eq!(versions(&deployment, &[&id]).len(), 1, "`{id}`");
        resumed += usize::from(deployment.count_runs(&id) == 2);
    }

    assert!(resumed > 0, "no stream went on");
}

/// Guards against a caller's attempt that takes up a stream at another version, at the daemon that
/// began the stream and at one that did not.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_at_their_version() {
    let deployment = start().await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(time::Duration::from_millis(1500)).await;

    let count = take_up_all(&deployment, &[0, 1], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against streams that are joined from two versions, or all lost, after all daemons have
/// lost their memory.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_at_their_version_after_a_loss_of_all_daemons() {
    let mut deployment = start().await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(time::Duration::from_millis(1500)).await;
    for daemon in &mut deployment.daemons {
        daemon.kill();
        daemon.start();
    }
    for daemon in [0, 1] {
        deployment.wait_until_ready(daemon).await;
    }

    let count = take_up_all(&deployment, &[0, 1], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against a daemon that stood still while a version joined and that takes up the streams of
/// this version at the only one it knows.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_is_behind_does_not_join_streams_of_a_new_version() {
    let mut deployment =
        deployment::start_with(&["a", "b"], 2, &deployment::without_stages()).await;
    deployment.store.refuse_appends(Some("streams"));
    deployment.daemons[1].signal("STOP");
    add_version(&mut deployment, &[0]).await;
    let ids = begin_all(&deployment).await;
    deployment.store.refuse_reads(Some("keyed.servers"));
    deployment.daemons[1].signal("CONT");

    take_up_all(&deployment, &[1], &ids).await;
    deployment.store.refuse_reads(None);
    take_up_all(&deployment, &[1], &ids).await;
    deployment.store.refuse_appends(None);
    let begun_by = deployment.daemons[0].name.clone();
    deployment::wait_until("the streams are shared", || async {
        deployment.store.newest("streams").contains_key(&begun_by)
    })
    .await;
    let count = take_up_all(&deployment, &[1], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against a stream of unknown origin that goes on at a version that may not be its own.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_unknown_origin_are_refused_while_versions_differ() {
    let deployment = start().await;

    for first in [None, Some("unknown"), Some("")] {
        let id = format!("unknown-{}", first.unwrap_or("none"));
        assert_eq!(take_up(&deployment, 0, &id, first).await, 503, "{first:?}");
        assert_eq!(deployment.count_runs(&id), 0);
    }
}

/// Guards against streams that are lost in the calm, when all engines have the same version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_unknown_origin_go_on_while_one_version_serves() {
    let mut deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let before = take_up(&deployment, 0, "before", Some("unknown")).await;

    deployment.daemons[0].kill();
    deployment.daemons[0].start();
    deployment.wait_until_ready(0).await;

    assert_eq!(before, 200);
    assert_eq!(take_up(&deployment, 0, "after", Some("unknown")).await, 200);
}

/// Guards against streams that are lost at a daemon which only reaches the store through the daemon
/// that reads it for others.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_without_the_store_takes_up_streams_while_one_version_serves() {
    let mut deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let (store, reader) = (port::free_address(), deployment.daemons[0].peer_address);
    let mut cut_off = daemon::Daemon::new("vm-1", "a", store, &[reader]);
    cut_off.start();
    deployment.daemons.push(cut_off);
    deployment.wait_until_ready(1).await;

    // The daemon has to know the upstreams for as long as a stream can last.
    deployment::wait_until("a stream goes on", || async {
        take_up(&deployment, 1, "again", Some("unknown")).await == 200
    })
    .await;
}

/// Time in which a busy daemon has sent its streams to other daemons.
const COPY_TIME: time::Duration = time::Duration::from_millis(500);

/// Starts two engines at version `v1` that have just started, and a daemon in each of `domains`.
async fn start_young(domains: &[&str]) -> deployment::Deployment {
    let mut deployment = deployment::start_with(&[], 2, &deployment::without_stages()).await;
    let now = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .expect("the clock is past 1970");
    for number in 0..2 {
        deployment.register_start("engine", number, now.as_millis() as u64);
    }
    for (number, domain) in domains.iter().enumerate() {
        deployment.add_daemon(&format!("vm-{number}"), domain);
    }
    for number in 0..domains.len() {
        deployment.wait_until_ready(number).await;
    }
    deployment.wait_until_registered(domains.len()).await;
    deployment
}

/// Guards against streams that are lost with their daemon soon after all daemons and engines have
/// started, when none of them has known the only version for as long as a stream can last.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_daemon_go_on_soon_after_the_start_of_all() {
    let mut deployment = start_young(&["a", "a", "b"]).await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;
    deployment.daemons[0].kill();

    let count = take_up_all(&deployment, &[1, 2], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against streams that are lost with their daemon if a release begins before their callers
/// take them up.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_daemon_go_on_after_a_release_has_begun() {
    let mut deployment = start_young(&["a", "a", "b"]).await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;
    deployment.daemons[0].kill();
    add_version(&mut deployment, &[1, 2]).await;

    let count = take_up_all(&deployment, &[1, 2], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Publishes a configuration that has the time-out `timeout_ms` for all routes.
fn publish_timeout(deployment: &deployment::Deployment, timeout_ms: u64) {
    let mut document: serde_json::Value =
        serde_json::from_str(&deployment::without_stages()).expect("the configuration is JSON");
    document["version"] = 2.into();
    let routes = document["routes"].as_array_mut();
    for route in routes.expect("`routes` is a list") {
        route["timeout-ms"] = timeout_ms.into();
    }
    deployment.publish(&document.to_string());
}

/// Age of streams that can be taken up under a time-out of 8 s, but not under one of 1 s.
const LONG_AGE: time::Duration = time::Duration::from_millis(10_500);

/// Guards against streams that are forgotten, at sound daemons and at one that starts afterwards,
/// when a time-out is lowered after they have begun.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_daemon_go_on_after_a_time_out_was_lowered() {
    let mut deployment = start_young(&["a", "a", "b"]).await;
    add_version(&mut deployment, &[0, 1, 2]).await;
    let ids = begin_all(&deployment).await;
    publish_timeout(&deployment, 1000);
    tokio::time::sleep(LONG_AGE).await;
    deployment.daemons[0].kill();
    deployment.daemons[0].start();
    deployment.wait_until_ready(0).await;

    let count = take_up_all(&deployment, &[0, 1, 2], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against streams that are lost with their daemon if the store took no records while they
/// began, also at a daemon that has lost its memory.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_begin_without_the_store_go_on_after_their_daemon_is_killed() {
    let mut deployment = start_young(&["a", "a", "b"]).await;
    add_version(&mut deployment, &[0, 1, 2]).await;
    deployment.store.refuse_appends(Some("streams"));
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;
    deployment.daemons[0].kill();
    deployment.store.refuse_appends(None);
    deployment.daemons[0].start();
    deployment.wait_until_ready(0).await;

    let count = take_up_all(&deployment, &[0, 1, 2], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against streams that are lost with all daemons of their failure domain.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_in_another_domain_after_all_daemons_of_theirs_are_killed() {
    let mut deployment = start_young(&["a", "a", "b", "b"]).await;
    add_version(&mut deployment, &[0, 1, 2, 3]).await;
    deployment.store.refuse_appends(Some("streams"));
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;
    deployment.daemons[0].kill();
    deployment.daemons[1].kill();

    let count = take_up_all(&deployment, &[2, 3], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against streams that are lost with their daemon after the daemon that kept copies of them
/// has lost its memory.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_their_copies_were_lost_before_their_daemon() {
    let mut deployment = start_young(&["a", "a", "b"]).await;
    add_version(&mut deployment, &[0, 1, 2]).await;
    deployment.store.refuse_appends(Some("streams"));
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;
    for keeper in [1, 2] {
        deployment.daemons[keeper].kill();
        deployment.daemons[keeper].start();
        deployment.wait_until_ready(keeper).await;
    }
    // A daemon that does not answer gets no copies for 1.5 s.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    deployment.daemons[0].kill();

    let count = take_up_all(&deployment, &[1, 2], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Starts two daemons and the pools `engine`, at version `v1`, and `studio`, at `v2`, between which
/// the route of streams is split.
async fn start_split() -> deployment::Deployment {
    let mut split = operator::Operator::default();
    split.apply(operator::Change::Split);
    let mut deployment = deployment::start_with(&["a", "a"], 2, &split.text(1)).await;
    for number in 0..2 {
        deployment.add_upstream_at("studio", number, "v2").await;
    }
    deployment.wait_until_registered(2).await;
    for daemon in 0..2 {
        let probe = format!("probe-{daemon}");
        deployment::wait_until("the daemon knows both pools", || async {
            begin(&deployment, daemon, &probe).await;
            ["engine", "studio"]
                .iter()
                .all(|pool| has_run(&deployment, pool, &probe))
        })
        .await;
    }
    deployment
}

/// Whether an engine of `pool` has run the request with the id `id`.
fn has_run(deployment: &deployment::Deployment, pool: &str, id: &str) -> bool {
    let members = deployment.upstreams.iter();
    let mut members = members.filter(|upstream| upstream.id.starts_with(pool));
    members.any(|upstream| upstream.runs().iter().any(|run| run.request == id))
}

/// Number of pools whose engines ran the request with one of these ids.
fn count_pools(deployment: &deployment::Deployment, ids: [&str; 2]) -> usize {
    let ran = |pool: &&str| ids.iter().any(|id| has_run(deployment, pool, id));
    ["engine", "studio"].into_iter().filter(ran).count()
}

/// Guards against streams on a split route that are joined from the versions of two pools, or lost,
/// as the pool is drawn again when they are taken up.
#[tokio::test(flavor = "multi_thread")]
async fn streams_on_a_split_route_go_on_in_their_pool() {
    let deployment = start_split().await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;

    for (number, first) in ids.iter().enumerate() {
        let id = format!("again-{first}");
        let status = take_up(&deployment, number % 2, &id, Some(first)).await;

        assert_eq!(status, 200, "`{first}` is lost");
        let pools = count_pools(&deployment, [first, &id]);
        assert_eq!(pools, 1, "`{first}` was joined from two pools");
    }
}

/// Guards against streams of unknown origin that go on in any pool of a split route, each of which
/// has one version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_unknown_origin_on_a_split_route_are_refused() {
    let deployment = start_split().await;

    for number in 0..4 {
        let id = format!("lost-{number}");
        assert_eq!(take_up(&deployment, 0, &id, Some("unknown")).await, 503);
        assert_eq!(deployment.count_runs(&id), 0);
    }
}

/// Begins streams in the pool `engine` at version `v1`, and moves their route to the pool `studio` at
/// `version`; returns the ids of the attempts.
async fn move_route(version: &str) -> (deployment::Deployment, Vec<String>) {
    let mut operator = operator::Operator::default();
    let mut deployment = deployment::start_with(&["a", "a"], 2, &operator.text(1)).await;
    deployment.add_upstream_at("studio", 0, version).await;
    deployment.wait_until_registered(2).await;
    let ids = begin_all(&deployment).await;
    operator.apply(operator::Change::Pools);
    deployment.publish(&operator.text(2));
    for daemon in 0..2 {
        deployment::wait_until("the route is moved", || async {
            let before = deployment.upstream("studio-0").runs().len();
            begin(&deployment, daemon, "probe").await;
            deployment.upstream("studio-0").runs().len() > before
        })
        .await;
    }
    (deployment, ids)
}

/// Guards against streams that go on at another version in the pool to which their route was moved
/// after they began.
#[tokio::test(flavor = "multi_thread")]
async fn streams_on_a_route_moved_to_another_version_are_refused() {
    let (deployment, ids) = move_route("v2").await;

    for (number, first) in ids.iter().enumerate() {
        let id = format!("again-{first}");
        assert_eq!(
            take_up(&deployment, number % 2, &id, Some(first)).await,
            503
        );
        let unknown = format!("unknown-{first}");
        let status = take_up(&deployment, number % 2, &unknown, Some(&unknown)).await;
        assert_eq!(status, 503);
        assert_eq!(
            deployment.count_runs(&id) + deployment.count_runs(&unknown),
            0
        );
    }
}

/// Kills all daemons and starts them again.
async fn restart_all(deployment: &mut deployment::Deployment) {
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    for daemon in &mut deployment.daemons {
        daemon.start();
    }
    for daemon in 0..deployment.daemons.len() {
        deployment.wait_until_ready(daemon).await;
    }
}

/// Guards against streams that go on at another version in the pool to which their route was moved
/// right before all daemons lost their memory.
#[tokio::test(flavor = "multi_thread")]
async fn streams_on_a_moved_route_are_not_joined_after_a_loss_of_all_daemons() {
    let (mut deployment, ids) = move_route("v2").await;
    restart_all(&mut deployment).await;

    for (number, first) in ids.iter().enumerate() {
        let unknown = format!("unknown-{first}");
        for resumed in [first, &unknown] {
            let id = format!("again-{resumed}");
            let status = take_up(&deployment, number % 2, &id, Some(resumed)).await;
            assert_eq!((status, deployment.count_runs(&id)), (503, 0), "`{id}`");
        }
    }
}

/// Guards against streams that are lost as their route was moved to a pool of the same version, or
/// that go on in the former pool.
#[tokio::test(flavor = "multi_thread")]
async fn streams_on_a_moved_route_go_on_at_their_version() {
    let (deployment, ids) = move_route("v1").await;

    for (number, first) in ids.iter().enumerate() {
        let id = format!("again-{first}");
        assert_eq!(
            take_up(&deployment, number % 2, &id, Some(first)).await,
            200
        );
        let runs = deployment.upstream("studio-0").runs();
        assert!(runs.iter().any(|run| run.request == id), "`{id}`");
        assert_eq!(deployment.count_runs(&id), 1);
    }
}

/// Guards against streams that are lost with all daemons soon after the deployment has started,
/// when the only version has not served for as long as a stream can last.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_a_loss_of_all_daemons_soon_after_the_start_of_all() {
    let mut deployment = start_young(&["a", "a"]).await;
    let ids = begin_all(&deployment).await;
    restart_all(&mut deployment).await;

    let count = take_up_all(&deployment, &[0, 1], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against a daemon without memory that takes a version for the only one soon after the
/// deployment has started, although another has served and left.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_unknown_origin_are_refused_after_a_version_has_left() {
    let mut deployment = start_young(&[]).await;
    let version = deployment.store.newest("keyed.servers")["engine-0"].clone();
    let version = String::from_utf8(version).expect("the registration is text");
    let former = version.replace("v1", "v0");
    deployment.store.put("keyed.servers", "engine-9", &former);
    deployment.store.put("keyed.servers", "engine-9", "");
    deployment.add_daemon("vm-0", "a");
    deployment.wait_until_ready(0).await;

    assert_eq!(take_up(&deployment, 0, "again", Some("unknown")).await, 503);
    assert_eq!(deployment.count_runs("again"), 0);
}

/// Time in which the streams of a failure domain are in the log while one version serves.
const RECORD_TIME: time::Duration = time::Duration::from_millis(2500);

/// Guards against streams of the only version that are lost with all daemons if a release begins
/// before their callers take them up.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_after_a_loss_of_all_daemons_beside_a_release() {
    let mut deployment = start_young(&["a", "a", "b"]).await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(RECORD_TIME).await;
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    for number in [2, 3] {
        deployment.add_upstream_at("engine", number, "v2").await;
    }
    for daemon in &mut deployment.daemons {
        daemon.start();
    }
    for daemon in 0..3 {
        deployment.wait_until_ready(daemon).await;
    }

    let count = take_up_all(&deployment, &[0, 1, 2], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against streams that are not in the log, as the daemon that records those of their failure
/// domain was killed.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_recorded_after_a_daemon_of_their_domain_was_killed() {
    for (begins, killed) in [(0, 1), (1, 0)] {
        let mut deployment = start_young(&["a", "a", "b"]).await;
        deployment.daemons[killed].kill();
        begin(&deployment, begins, "begun").await;

        deployment::wait_until("the stream is in the log", || async {
            deployment.store.record_count("streams") > 0
        })
        .await;
    }
}

/// Guards against appends that grow with the number of streams or daemons while one version serves.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_domain_are_recorded_by_one_daemon() {
    let deployment = start_young(&["a", "a", "a"]).await;
    let start = time::Instant::now();
    while start.elapsed() < RECORD_TIME {
        for daemon in 0..3 {
            begin(&deployment, daemon, &format!("begun-{daemon}")).await;
        }
    }

    let count = deployment.store.record_count("streams");
    let most = start.elapsed().as_secs() as usize + 2;
    assert_eq!(deployment.store.newest("streams").len(), 1);
    assert!(count <= most, "{count} appends in {most} s");
}

/// Guards against a read of the log that begins after records which are needed, as daemons have
/// written more of them lately than usual.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_found_before_many_recent_records() {
    let mut deployment = start_young(&["a"]).await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(RECORD_TIME).await;
    deployment.daemons[0].kill();
    let record = deployment.store.newest("streams")["vm-0"].clone();
    let mut record: serde_json::Value =
        serde_json::from_slice(&record).expect("the record is JSON");
    record["pools"] = serde_json::json!({});
    for _ in 0..500 {
        deployment.store.put("streams", "vm-1", &record.to_string());
    }
    deployment.add_upstream_at("engine", 2, "v2").await;
    deployment.daemons[0].start();
    deployment.wait_until_ready(0).await;

    let count = take_up_all(&deployment, &[0], &ids).await;

    assert_eq!(count, STREAMS, "streams whose version is known are lost");
}

/// Guards against a stream that goes on at an engine which has started again under its id at another
/// version, before the daemon has read its registration.
#[tokio::test(flavor = "multi_thread")]
async fn streams_do_not_go_on_at_an_engine_that_has_changed_its_version() {
    let deployment = start().await;
    let ids = begin_all(&deployment).await;
    tokio::time::sleep(COPY_TIME).await;
    let now = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .expect("the clock is past 1970");
    let fields = serde_json::json!({"version": "v2", "born": now.as_millis() as u64});
    deployment.register_with("engine", 0, &fields);

    let attempts: Vec<_> = ids.iter().map(|first| format!("again-{first}")).collect();
    let take_ups = ids.iter().zip(&attempts).enumerate();
    let statuses =
        take_ups.map(|(number, (first, id))| take_up(&deployment, number % 2, id, Some(first)));
    let statuses = futures::future::join_all(statuses).await;

    for (first, id) in ids.iter().zip(&attempts) {
        let is_first = |id: &str| versions(&deployment, &[id]).contains("v1");
        let changed = deployment.upstream("engine-0").runs();
        let ran_there = changed.iter().any(|run| run.request == *id);
        assert!(!(is_first(first) && ran_there), "`{first}` was joined");
    }
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against streams that are lost while they go on in one take-up after the other for longer
/// than a stream can last under the time-out of the route.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_again_and_again() {
    let deployment = start().await;
    publish_timeout(&deployment, 1000);
    tokio::time::sleep(RECORD_TIME).await;
    let ids = begin_all(&deployment).await;
    let rounds = LONG_AGE.as_secs() / 5 + 1;

    for round in 0..rounds {
        tokio::time::sleep(time::Duration::from_secs(5)).await;
        for (number, first) in ids.iter().enumerate() {
            let id = format!("again-{round}-{first}");
            let status = take_up(&deployment, number % 2, &id, Some(first)).await;
            assert_eq!(status, 200, "`{first}` is lost in round {round}");
            assert_eq!(versions(&deployment, &[first, &id]).len(), 1);
        }
    }
}
