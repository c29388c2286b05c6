//! Requests from callers through daemon processes to upstreams, and their answers.

mod support;

use basilgrade_standins::caller;
use basilgrade_standins::engine;
use basilgrade_standins::fault;
use basilgrade_standins::pool;
use basilgrade_standins::service;
use support::deployment;

const CUSTOMER: (&str, &str) = deployment::CUSTOMER;
const PIPELINE: &str = "/v1/pipelines/seating";
const CHARGE: &str = "/v1/services/ticket-sales/charge";

/// Path, headers, body and expected status of a request.
type Case<'a> = (&'a str, Vec<(&'a str, &'a str)>, &'a str, u16);

/// Returns the expected answer of the pipeline to `question`.
fn expected_answer(question: &str) -> Vec<u8> {
    let encoded = pool::transform("encode", question.as_bytes());
    engine::completion(&String::from_utf8_lossy(&encoded), deployment::TOKENS).into_bytes()
}

/// Guards against answers that are incomplete or belong to another request when many callers send
/// at the same time through different daemons.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_receive_their_own_complete_answers() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    let mut calls = Vec::new();
    for index in 0..60 {
        let address = deployment.daemons[index % 3].caller_address;
        calls.push(tokio::spawn(async move {
            let question = format!("Where does family {index} sit?");
            let response = caller::post(address, PIPELINE, &[CUSTOMER], &question).await;
            (question, response)
        }));
    }

    for call in calls {
        let (question, response) = call.await.expect("the caller task does not panic");
        let response = response.expect("the daemon sends a response");
        assert_eq!(response.verdict, "ran", "{question}");
        assert_eq!(response.body, expected_answer(&question), "{question}");
        assert!(response.request.is_some());
    }
}

/// Guards against an answer that misses or repeats tokens when the stream of an engine is
/// truncated.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_resumes_on_another_engine() {
    let deployment = deployment::start(&["a"]).await;
    let truncating = &deployment.engines[0];
    truncating.server.set_fault(fault::Fault::Truncated).await;
    let address = deployment.daemons[0].caller_address;

    let calls: Vec<_> = (0..8)
        .map(|index| {
            tokio::spawn(async move {
                let question = format!("What is the dress code of ceremony {index}?");
                let response = caller::post(address, PIPELINE, &[CUSTOMER], &question).await;
                (question, response)
            })
        })
        .collect();

    for call in calls {
        let (question, response) = call.await.expect("the caller task does not panic");
        let response = response.expect("the daemon sends a response");
        assert_eq!(response.verdict, "ran", "{question}");
        assert_eq!(response.body, expected_answer(&question), "{question}");
    }
    assert!(
        !truncating.started().is_empty(),
        "the truncating engine started no stream, so the test checked nothing"
    );
}

/// Guards against invalid requests that run, end the daemon process or get an answer without a
/// remedy.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_without_running() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller_address;
    let large = "x".repeat(2 << 20);
    let cases: [Case; 8] = [
        (PIPELINE, vec![], "", 400),
        (PIPELINE, vec![("basilgrade-customer", "nobody")], "", 403),
        ("/v1/pipelines/none", vec![CUSTOMER], "", 404),
        ("/v1/services/none/x", vec![CUSTOMER], "", 404),
        (
            PIPELINE,
            vec![CUSTOMER, ("basilgrade-deadline-ms", "0")],
            "",
            400,
        ),
        (
            PIPELINE,
            vec![CUSTOMER, ("basilgrade-idempotent", "maybe")],
            "",
            400,
        ),
        (
            CHARGE,
            vec![CUSTOMER, ("idempotency-key", "short")],
            "",
            400,
        ),
        (CHARGE, vec![CUSTOMER], &large, 413),
    ];

    for (path, headers, body, status) in cases {
        let response = caller::post(address, path, &headers, body)
            .await
            .expect("the daemon sends a response");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, status, "{path}: {text}");
        assert_eq!(response.verdict, "not-run", "{path}: {text}");
        assert!(text.contains("\"remedy\""), "{path}: {text}");
    }

    let ran: usize = deployment
        .services
        .iter()
        .map(|service| service.executions.all().len())
        .sum();
    assert_eq!(ran, 0);
    assert!(deployment.daemons[0].is_running());
}

/// Guards against a key that is accepted for two requests with different bodies.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_refused_for_a_different_request() {
    let deployment = deployment::start(&["a", "a"]).await;
    let key = deployment::mint_key(deployment.daemons[0].caller_address).await;
    let headers = [CUSTOMER, ("idempotency-key", key.as_str())];
    let body = "{\"seat\":\"B14\"}";
    let [first, second] = [0, 1].map(|index| deployment.daemons[index].caller_address);

    let charged = caller::post(first, CHARGE, &headers, body).await;
    let repeated = caller::post(second, CHARGE, &headers, body).await;
    let reused = caller::post(second, CHARGE, &headers, "{\"seat\":\"B15\"}").await;

    let charged = charged.expect("the daemon sends a response");
    assert_eq!(charged.body, service::receipt(body.as_bytes()));
    assert_eq!(
        repeated.expect("the daemon sends a response").body,
        charged.body
    );
    let reused = reused.expect("the daemon sends a response");
    assert_eq!((reused.status, reused.verdict.as_str()), (422, "not-run"));
    assert_eq!(deployment.count_charges(&key), 1);
}
