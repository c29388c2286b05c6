//! Upstreams that answer late, twice, in part, for another request or out of order.

mod support;

use basilgrade_standins::caller;
use basilgrade_standins::engine;
use basilgrade_standins::fault;
use basilgrade_standins::pool;
use basilgrade_standins::server;
use basilgrade_standins::service;
use basilgrade_types::clock;
use support::deployment;
use support::history;
use support::operator;

const PIPELINE: &str = "/v1/pipelines/seating";
const CHARGE: &str = "/v1/services/ticket-sales/charge";
const CALLERS: usize = 40;

/// What an upstream can do wrong with an answer; some delays outlast the deadline of a charge.
fn faults() -> Vec<fault::Fault> {
    vec![
        fault::Fault::Late(clock::Millis(700)),
        fault::Fault::LateDuplicate(clock::Millis(50)),
        fault::Fault::Late(clock::Millis(4000)),
        fault::Fault::Duplicate,
        fault::Fault::Truncated,
        fault::Fault::WrongRequest,
        fault::Fault::None,
        fault::Fault::WrongStage,
        fault::Fault::WrongAttempt,
        fault::Fault::RunReset,
        fault::Fault::CloseIdle,
    ]
}

/// Gives each of the next calls of `server` another fault.
fn disturb(server: &server::Server, faults: &[fault::Fault], calls: usize) {
    for fault in faults.iter().cycle().take(calls) {
        server.faults.push(fault.clone());
    }
}

/// Answers that all daemons have counted as dropped.
async fn dropped(deployment: &deployment::Deployment) -> u64 {
    let mut sum = 0;
    for daemon in &deployment.daemons {
        let status = operator::status(daemon.admin).await;
        let counters = status.expect("the daemon answers").counters;
        let count = counters.get("basilgrade_dropped_answers_total");
        sum += count.copied().unwrap_or_default();
    }
    sum
}

/// Guards against answers of a pool or an engine that reach another caller, or reach their own in
/// part, and against answers that are dropped without being counted.
#[tokio::test(flavor = "multi_thread")]
async fn every_caller_receives_its_own_answer_or_a_truthful_error() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    for encoder in &deployment.encoders {
        disturb(encoder, &faults(), CALLERS);
    }
    let streams = [
        fault::Fault::OffsetJump,
        fault::Fault::OffsetRepeat,
        fault::Fault::NoDone,
        fault::Fault::Duplicate,
        fault::Fault::Truncated,
        fault::Fault::None,
    ];
    for engine in &deployment.engines {
        disturb(&engine.server, &streams, CALLERS / 2);
    }

    let calls: Vec<_> = (0..CALLERS)
        .map(|index| {
            let address = deployment.daemons[index % 3].caller;
            tokio::spawn(async move {
                let question = format!("Which release is number {index}?");
                let headers = [deployment::CUSTOMER];
                let response = caller::post(address, PIPELINE, &headers, &question).await;
                (question, response)
            })
        })
        .collect();

    let mut whole = 0;
    for call in calls {
        let (question, response) = call.await.expect("the caller ends");
        let response = response.expect("a response arrives");
        let ran = [&deployment.encoders[0], &deployment.encoders[1]].map(|encoder| {
            let request = response.request.map(|id| id.to_string());
            encoder
                .executions
                .count_by_request(&request.unwrap_or_default())
        });
        let ran: usize = ran.iter().sum();
        match response.verdict.as_str() {
            "ran" => {
                let encoded = pool::transform("encode", question.as_bytes());
                let text = String::from_utf8_lossy(&encoded);
                let answer = engine::completion(&text, deployment::TOKENS);
                assert_eq!(response.body, answer.as_bytes(), "{question}");
                whole += 1;
            }
            "not-run" => assert_eq!(ran, 0, "{question}: refused although it ran"),
            verdict => assert_eq!(verdict, "may-have-run", "{question}"),
        }
    }
    let dropped = dropped(&deployment).await;
    println!("{whole} of {CALLERS} whole, {dropped} dropped");
    assert!(whole > 0, "no answer arrived, so nothing was tested");
    assert!(dropped > 0, "wrong answers were dropped but not counted");
}

/// Guards against a charge that is repeated, or reported as not run, because its answer was wrong.
#[tokio::test(flavor = "multi_thread")]
async fn charges_with_wrong_answers_run_once() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    for service in &deployment.services {
        disturb(service, &faults(), CALLERS);
    }
    let mut keys = Vec::new();
    for index in 0..CALLERS {
        let address = deployment.daemons[index % 3].caller;
        keys.push(deployment::mint(address).await);
    }

    let calls: Vec<_> = keys
        .into_iter()
        .enumerate()
        .map(|(index, key)| {
            let daemon = index % 3;
            let address = deployment.daemons[daemon].caller;
            tokio::spawn(async move {
                let mut calls = Vec::new();
                for _ in 0..2 {
                    let headers = [deployment::CUSTOMER, ("idempotency-key", key.as_str())];
                    let response = caller::post(address, CHARGE, &headers, &key).await;
                    let key = key.clone();
                    calls.push(history::Call {
                        key,
                        daemon,
                        response,
                    });
                }
                calls
            })
        })
        .collect();

    let mut uncertain = 0;
    for call in calls {
        let calls = call.await.expect("the caller ends");
        let key = &calls[0].key;
        let receipt = service::receipt(key.as_bytes());
        let wrong = history::check(&calls, deployment.charges(key), &receipt);
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
        let responses = calls.iter().filter_map(|call| call.response.as_ref().ok());
        uncertain += responses
            .filter(|response| response.verdict == "may-have-run")
            .count();
    }
    let dropped = dropped(&deployment).await;
    println!("{uncertain} answers may have run, {dropped} dropped");
    assert!(uncertain > 0, "no answer was lost, so nothing was tested");
    assert!(dropped > 0, "wrong answers were dropped but not counted");
}
