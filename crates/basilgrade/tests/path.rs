//! The whole path with daemons as separate processes.

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

/// Path, headers, body and the status expected.
type Case<'a> = (&'a str, Vec<(&'a str, &'a str)>, &'a str, u16);

fn expected(question: &str) -> Vec<u8> {
    let encoded = pool::transform("encode", question.as_bytes());
    engine::completion(&String::from_utf8_lossy(&encoded), deployment::TOKENS).into_bytes()
}

/// Guards against answers that are incomplete or belong to another request when many callers ask
/// at once through different daemons.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_receive_their_own_whole_answers() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    let mut calls = Vec::new();
    for index in 0..60 {
        let address = deployment.daemons[index % 3].caller;
        calls.push(tokio::spawn(async move {
            let question = format!("Where does family {index} sit?");
            let response = caller::post(address, PIPELINE, &[CUSTOMER], &question).await;
            (question, response)
        }));
    }

    for call in calls {
        let (question, response) = call.await.expect("the caller ends");
        let response = response.expect("a response arrives");
        assert_eq!(response.verdict, "ran", "{question}");
        assert_eq!(response.body, expected(&question), "{question}");
        assert!(response.request.is_some());
    }
}

/// Guards against an answer that misses or repeats tokens when an engine breaks in mid-stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_continues_on_another_engine() {
    let deployment = deployment::start(&["a"]).await;
    let broken = &deployment.engines[0];
    broken.server.set_fault(fault::Fault::Truncated).await;
    let address = deployment.daemons[0].caller;

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
        let (question, response) = call.await.expect("the caller ends");
        let response = response.expect("a response arrives");
        assert_eq!(response.verdict, "ran", "{question}");
        assert_eq!(response.body, expected(&question), "{question}");
    }
    assert!(!broken.started().is_empty(), "no stream was broken");
}

/// Guards against bad input that runs something, ends a process or gets an unclear answer.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_without_running() {
    let mut deployment = deployment::start(&["a"]).await;
    let address = deployment.daemons[0].caller;
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
            .expect("a response arrives");
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

/// Guards against a key that stands for two different requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_stands_for_one_request() {
    let deployment = deployment::start(&["a", "a"]).await;
    let key = deployment::mint(deployment.daemons[0].caller).await;
    let headers = [CUSTOMER, ("idempotency-key", key.as_str())];
    let body = "{\"seat\":\"B14\"}";
    let [first, second] = [0, 1].map(|index| deployment.daemons[index].caller);

    let charged = caller::post(first, CHARGE, &headers, body).await;
    let repeated = caller::post(second, CHARGE, &headers, body).await;
    let reused = caller::post(second, CHARGE, &headers, "{\"seat\":\"B15\"}").await;

    let charged = charged.expect("a response arrives");
    assert_eq!(charged.body, service::receipt(body.as_bytes()));
    assert_eq!(repeated.expect("a response arrives").body, charged.body);
    let reused = reused.expect("a response arrives");
    assert_eq!((reused.status, reused.verdict.as_str()), (422, "not-run"));
    assert_eq!(deployment.charges(&key), 1);
}
