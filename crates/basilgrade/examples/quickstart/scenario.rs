//! Requests of the quickstart, and the checks of their answers.

use std::net;
use std::time;

use basilgrade_standins::caller;
use basilgrade_standins::engine;
use basilgrade_standins::pool;
use basilgrade_standins::service;

use crate::deployment;

/// Header that names the customer of all requests.
const CUSTOMER: (&str, &str) = ("basilgrade-customer", "graduacion-sur");

/// Sends all requests and checks their answers; fails at the first wrong one.
pub(crate) async fn run(deployment: &deployment::Deployment) -> Result<(), String> {
    for index in 0..6 {
        check_pipeline(deployment, index).await?;
    }
    check_stream(deployment).await?;
    check_charge(deployment).await?;
    check_unknown_pipeline(deployment).await
}

/// Returns the expected answer of the pipeline to `question`.
fn expected_answer(question: &str) -> String {
    let mut data = bytes::Bytes::copy_from_slice(question.as_bytes());
    for stage in ["encode", "retrieve", "rerank"] {
        data = pool::transform(stage, &data);
    }
    engine::completion(&String::from_utf8_lossy(&data), deployment::TOKENS)
}

/// Fails with an error that names `subject` unless `is_correct`.
fn check(subject: &str, is_correct: bool) -> Result<(), String> {
    if is_correct {
        return Ok(());
    }
    Err(format!(
        "unexpected {subject}; see the status and the verdict of the request in the output above"
    ))
}

/// Sends a pipeline request to one daemon and checks the complete answer.
async fn check_pipeline(deployment: &deployment::Deployment, index: usize) -> Result<(), String> {
    let daemon = &deployment.daemons[index % deployment.daemons.len()];
    let question = format!("Where does family {index} sit?");
    let path = "/v1/pipelines/seating";
    let response = caller::post(daemon.caller, path, &[CUSTOMER], &question).await?;
    println!(
        "pipeline seating via entry-{}: status={} verdict={}",
        index % 3,
        response.status,
        response.verdict
    );
    print_stages(daemon, &response);
    check("verdict of a complete answer", response.verdict == "ran")?;
    check(
        "answer of the pipeline",
        response.body == expected_answer(&question).into_bytes(),
    )
}

/// Prints for each stage of the request which upstream the daemon chose and why.
fn print_stages(daemon: &basilgrade_server::daemon::Daemon, response: &caller::Response) {
    let Some(request) = response.request else {
        return;
    };
    for decision in daemon.core.decisions.for_request(request) {
        let choice = decision
            .choice
            .map_or_else(|| "none".to_owned(), |id| id.to_string());
        let Some(outcome) = decision.outcome else {
            continue;
        };
        println!(
            "  stage={} upstream={choice} reason={} left={} billed_bytes={} verdict={}",
            decision.stage, decision.reason, outcome.left, outcome.billed, outcome.verdict
        );
    }
}

/// Requests the answer of the pipeline as an event stream and checks its tokens and its end.
async fn check_stream(deployment: &deployment::Deployment) -> Result<(), String> {
    let daemon = &deployment.daemons[0];
    let question = "What is the dress code?";
    let headers = [CUSTOMER, ("accept", "text/event-stream")];
    let path = "/v1/pipelines/seating";
    let response = caller::post(daemon.caller, path, &headers, question).await?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    let mut text = String::new();
    let mut is_complete = false;
    for event in body.split("\n\n") {
        if event.starts_with("event: end") {
            is_complete = event.contains("\"verdict\":\"ran\"");
        } else if let Some(data) = event.strip_prefix("data: ") {
            let data: serde_json::Value =
                serde_json::from_str(data).map_err(|error| error.to_string())?;
            text.push_str(data["token"].as_str().unwrap_or_default());
        }
    }
    println!(
        "streamed answer via entry-0: {} bytes, complete={is_complete}",
        text.len()
    );
    check(
        "tokens of the streamed answer",
        text == expected_answer(question),
    )?;
    check("end of the streamed answer", is_complete)
}

/// Sends a request, and again up to 100 times while the verdict is `not-run`, as callers may do
/// safely.
async fn send_with_retries(
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<caller::Response, String> {
    let mut response = caller::post(address, path, headers, body).await?;
    for _ in 0..100 {
        if response.verdict != "not-run" {
            break;
        }
        println!(
            "  request was not run, sending it again: {}",
            String::from_utf8_lossy(&response.body)
        );
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        response = caller::post(address, path, headers, body).await?;
    }
    Ok(response)
}

/// Sends one charge with one idempotency key to each daemon and checks that it was executed once.
async fn check_charge(deployment: &deployment::Deployment) -> Result<(), String> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [
        CUSTOMER,
        ("idempotency-key", key.as_str()),
        ("basilgrade-idempotent", "false"),
    ];
    let body = "{\"seat\":\"B14\",\"amount\":120}";
    let path = "/v1/services/ticket-sales/charge";
    for (index, daemon) in deployment.daemons.iter().enumerate() {
        let response = send_with_retries(daemon.caller, path, &headers, body).await?;
        println!(
            "charge with the same key via entry-{index}: status={} verdict={}",
            response.status, response.verdict
        );
        check(
            &format!(
                "receipt of the charge: {}",
                String::from_utf8_lossy(&response.body)
            ),
            response.body == service::receipt(body.as_bytes()),
        )?;
    }
    let count = deployment
        .service
        .executions
        .all()
        .iter()
        .filter(|execution| execution.path == "/charge")
        .count();
    println!("executions of the charge: {count}");
    check("number of executions of the charge", count == 1)
}

/// Sends a request for a pipeline that does not exist and checks that it is refused.
async fn check_unknown_pipeline(deployment: &deployment::Deployment) -> Result<(), String> {
    let daemon = &deployment.daemons[2];
    let response = caller::post(daemon.caller, "/v1/pipelines/unknown", &[CUSTOMER], "").await?;
    println!(
        "unknown pipeline via entry-2: status={} verdict={}",
        response.status, response.verdict
    );
    check("status of an unknown pipeline", response.status == 404)?;
    check(
        "verdict of an unknown pipeline",
        response.verdict == "not-run",
    )
}
