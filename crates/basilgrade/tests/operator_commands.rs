//! Operators' commands to running daemon processes.

mod support;

use basilgrade_admin::status::phase;
use basilgrade_config::settings::log::level;
use basilgrade_standins::caller;
use basilgrade_types::request;
use basilgrade_types::revision;
use support::deployment;
use support::operator;

const PIPELINE: &str = "/v1/pipelines/seating";

/// Guards against a status that lacks the phase, revision, members, slots or counters, from which
/// an operator judges the health of a daemon.
#[tokio::test(flavor = "multi_thread")]
async fn status_reports_phase_revision_members_slots_and_counters() {
    let deployment = deployment::start(&["a", "a"]).await;
    let daemon = &deployment.daemons[0];
    let sent = caller::post(
        daemon.caller_address,
        PIPELINE,
        &[deployment::CUSTOMER],
        "Who?",
    )
    .await;

    let status = operator::status(daemon.admin_address).await;

    assert_eq!(sent.expect("the daemon sends a response").verdict, "ran");
    let status = status.expect("the daemon reports its status");
    assert_eq!(status.vm.as_str(), daemon.name);
    assert_eq!(status.phase, phase::Phase::Ready);
    assert_eq!(status.revision, revision::Revision(1));
    assert_eq!(status.members.len(), 2, "{status:?}");
    assert!(!status.slots.is_empty(), "{status:?}");
    let requests = status.counters.get("basilgrade_requests_total");
    assert_eq!(requests, Some(&1), "{:?}", status.counters);
}

/// Guards against the answer to `explain` lacking a stage or belonging to another request.
#[tokio::test(flavor = "multi_thread")]
async fn explain_lists_each_stage_of_a_request() {
    let deployment = deployment::start(&["a"]).await;
    let daemon = &deployment.daemons[0];
    let mut ids = Vec::new();
    for question in ["First?", "Second?"] {
        let headers = [deployment::CUSTOMER];
        let response = caller::post(daemon.caller_address, PIPELINE, &headers, question).await;
        let response = response.expect("the daemon sends a response");
        ids.push(response.request.expect("the response names the request id"));
    }
    ids.push(request::RequestId::mint());

    let mut explained = Vec::new();
    for id in ids.clone() {
        let lines = operator::with_client(daemon.admin_address, move |client| async move {
            client.explain(id).await
        });
        explained.push(lines.await.expect("the daemon answers the operator"));
    }

    for (id, lines) in ids.iter().zip(&explained[..2]) {
        let lines = lines.as_ref().expect("the daemon knows the request");
        let id = format!("request={id}");
        assert!(lines.iter().all(|line| line.contains(&id)), "{lines:?}");
        for stage in ["stage=encode", "stage=answer"] {
            let found = lines.iter().any(|line| line.contains(stage));
            assert!(found, "{stage}: {lines:?}");
        }
    }
    assert_eq!(explained[2], None);
}

/// Guards against a drain that cuts off a request or does not end the daemon, and against a change
/// of the log level that fails.
#[tokio::test(flavor = "multi_thread")]
async fn drained_daemon_completes_its_requests_and_exits() {
    let mut deployment = deployment::start(&["a", "a"]).await;
    let (address, admin) = (
        deployment.daemons[0].caller_address,
        deployment.daemons[0].admin_address,
    );
    let stream = tokio::spawn(async move {
        caller::post(address, PIPELINE, &[deployment::CUSTOMER], "When?").await
    });
    deployment::wait_until(|| async {
        let mut engines = deployment.engines.iter();
        engines.any(|engine| !engine.started().is_empty())
    })
    .await;

    let level_change = operator::with_client(admin, |client| async move {
        client.set_level(level::Level::Error).await
    });
    let level_change = level_change.await;
    let drained = operator::with_client(admin, |client| async move { client.drain().await }).await;
    let response = stream.await.expect("the caller task does not panic");

    assert!(level_change.is_ok(), "{level_change:?}");
    assert!(drained.is_ok(), "{drained:?}");
    assert_eq!(
        response.expect("the daemon sends a response").verdict,
        "ran"
    );
    assert_eq!(deployment.daemons[0].wait_for_exit().await, Some(0));
    assert!(deployment.daemons[1].is_running());
}
