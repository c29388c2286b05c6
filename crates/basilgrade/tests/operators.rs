//! Operators' commands at running daemons.

mod support;

use basilgrade_admin::status::phase;
use basilgrade_config::settings::log::level;
use basilgrade_standins::caller;
use basilgrade_types::request;
use basilgrade_types::revision;
use support::deployment;
use support::operator;

const PIPELINE: &str = "/v1/pipelines/seating";

/// Guards against a status that leaves out what an operator needs to judge a daemon.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_the_daemon_as_it_is() {
    let deployment = deployment::start(&["a", "a"]).await;
    let daemon = &deployment.daemons[0];
    let sent = caller::post(daemon.caller, PIPELINE, &[deployment::CUSTOMER], "Who?").await;

    let status = operator::status(daemon.admin).await;

    assert_eq!(sent.expect("a response arrives").verdict, "ran");
    let status = status.expect("the daemon answers");
    assert_eq!(status.vm.as_str(), daemon.name);
    assert_eq!(status.phase, phase::Phase::Ready);
    assert_eq!(status.revision, revision::Revision(1));
    assert_eq!(status.members.len(), 2, "{status:?}");
    assert!(!status.slots.is_empty(), "{status:?}");
    let requests = status.counters.get("basilgrade_requests_total");
    assert_eq!(requests, Some(&1), "{:?}", status.counters);
}

/// Guards against an explanation that lacks a stage or belongs to another request.
#[tokio::test(flavor = "multi_thread")]
async fn explain_shows_each_stage_of_a_request() {
    let deployment = deployment::start(&["a"]).await;
    let daemon = &deployment.daemons[0];
    let mut ids = Vec::new();
    for question in ["First?", "Second?"] {
        let headers = [deployment::CUSTOMER];
        let response = caller::post(daemon.caller, PIPELINE, &headers, question).await;
        let response = response.expect("a response arrives");
        ids.push(response.request.expect("the response names the request"));
    }
    ids.push(request::RequestId::mint());

    let mut explained = Vec::new();
    for id in ids.clone() {
        let lines = operator::ask(daemon.admin, move |client| async move {
            client.explain(id).await
        });
        explained.push(lines.await.expect("the daemon answers"));
    }

    for (id, lines) in ids.iter().zip(&explained[..2]) {
        let lines = lines.as_ref().expect("the request is known");
        let id = format!("request={id}");
        assert!(lines.iter().all(|line| line.contains(&id)), "{lines:?}");
        for stage in ["stage=encode", "stage=answer"] {
            let found = lines.iter().any(|line| line.contains(stage));
            assert!(found, "{stage}: {lines:?}");
        }
    }
    assert_eq!(explained[2], None);
}

/// Guards against a drain that cuts off a request, and against a log level or a wrong secret that
/// ends the daemon.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_daemon_finishes_its_requests_and_ends() {
    let mut deployment = deployment::start(&["a", "a"]).await;
    let (address, admin) = (deployment.daemons[0].caller, deployment.daemons[0].admin);
    let stream = tokio::spawn(async move {
        caller::post(address, PIPELINE, &[deployment::CUSTOMER], "When?").await
    });
    deployment::until(|| async {
        let mut engines = deployment.engines.iter();
        engines.any(|engine| !engine.started().is_empty())
    })
    .await;

    let leveled = operator::ask(admin, |client| async move {
        client.set_level(level::Level::Error).await
    });
    let leveled = leveled.await;
    let drained = operator::ask(admin, |client| async move { client.drain().await }).await;
    let response = stream.await.expect("the caller ends");

    assert!(leveled.is_ok(), "{leveled:?}");
    assert!(drained.is_ok(), "{drained:?}");
    assert_eq!(response.expect("a response arrives").verdict, "ran");
    assert_eq!(deployment.daemons[0].ended().await, Some(0));
    assert!(deployment.daemons[1].is_running());
}
