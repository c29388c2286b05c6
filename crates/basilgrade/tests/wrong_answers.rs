//! Upstreams whose answers are late, duplicated, truncated, out of order or for another request.

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

/// Number of concurrent callers.
const CALLER_COUNT: usize = 40;

/// Faults that an upstream can have in an answer; the delay of 4 s exceeds the deadline of a
/// charge.
fn answer_faults() -> Vec<fault::Fault> {
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

/// Injects `faults` into the next `calls` calls of `server`, one per call in rotation.
fn inject_faults(server: &server::Server, faults: &[fault::Fault], calls: usize) {
    for fault in faults.iter().cycle().take(calls) {
        server.faults.push(fault.clone());
    }
}

/// Returns the number of answers that all daemons together have counted as dropped.
async fn dropped_answers(deployment: &deployment::Deployment) -> u64 {
    let mut sum = 0;
    for daemon in &deployment.daemons {
        let status = operator::status(daemon.admin_address).await;
        let counters = status.expect("the daemon reports its status").counters;
        let count = counters.get("basilgrade_dropped_answers_total");
        sum += count.copied().unwrap_or_default();
    }
    sum
}

/// Guards against answers of a pool or an engine that reach the wrong caller or reach their caller
/// incomplete, and against answers that are dropped without being counted.
#[tokio::test(flavor = "multi_thread")]
async fn callers_receive_their_own_answer_or_an_accurate_verdict() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    for encoder in &deployment.encoders {
        inject_faults(encoder, &answer_faults(), CALLER_COUNT);
    }
    let stream_faults = [
        fault::Fault::OffsetJump,
        fault::Fault::OffsetRepeat,
        fault::Fault::NoDone,
        fault::Fault::Duplicate,
        fault::Fault::Truncated,
        fault::Fault::None,
    ];
    for engine in &deployment.engines {
        inject_faults(&engine.server, &stream_faults, CALLER_COUNT / 2);
    }

    let calls: Vec<_> = (0..CALLER_COUNT)
        .map(|index| {
            let address = deployment.daemons[index % 3].caller_address;
            tokio::spawn(async move {
                let question = format!("Which release is number {index}?");
                let headers = [deployment::CUSTOMER];
                let response = caller::post(address, PIPELINE, &headers, &question).await;
                (question, response)
            })
        })
        .collect();

    let mut complete = 0;
    for call in calls {
        let (question, response) = call.await.expect("the caller task does not panic");
        let response = response.expect("the daemon sends a response");
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
                complete += 1;
            }
            "not-run" => assert_eq!(
                ran, 0,
                "{question}: an encoder ran the request although the verdict is `not-run`"
            ),
            verdict => assert_eq!(verdict, "may-have-run", "{question}"),
        }
    }
    let dropped = dropped_answers(&deployment).await;
    println!("{complete} of {CALLER_COUNT} complete, {dropped} dropped");
    assert!(
        complete > 0,
        "no request got a complete answer, so the test checked nothing"
    );
    assert!(dropped > 0, "no daemon counted a dropped answer");
}

/// Guards against a charge that runs again, or is reported as not run, because its answer was
/// wrong.
#[tokio::test(flavor = "multi_thread")]
async fn charges_with_wrong_answers_run_at_most_once() {
    let deployment = deployment::start(&["a", "a", "b"]).await;
    for service in &deployment.services {
        inject_faults(service, &answer_faults(), CALLER_COUNT);
    }
    let mut keys = Vec::new();
    for index in 0..CALLER_COUNT {
        let address = deployment.daemons[index % 3].caller_address;
        keys.push(deployment::mint_key(address).await);
    }

    let calls: Vec<_> = keys
        .into_iter()
        .enumerate()
        .map(|(index, key)| {
            let daemon = index % 3;
            let address = deployment.daemons[daemon].caller_address;
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
        let calls = call.await.expect("the caller task does not panic");
        let key = &calls[0].key;
        let receipt = service::receipt(key.as_bytes());
        let violations = history::find_violations(&calls, deployment.count_charges(key), &receipt);
        assert!(violations.is_empty(), "{}", violations.join("\n"));
        let responses = calls.iter().filter_map(|call| call.response.as_ref().ok());
        uncertain += responses
            .filter(|response| response.verdict == "may-have-run")
            .count();
    }
    let dropped = dropped_answers(&deployment).await;
    println!("{uncertain} answers with the verdict `may-have-run`, {dropped} dropped");
    assert!(
        uncertain > 0,
        "no charge got the verdict `may-have-run`, so the test checked nothing"
    );
    assert!(dropped > 0, "no daemon counted a dropped answer");
}
