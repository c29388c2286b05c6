//! The requests of the quickstart and the answers expected.

use std::net;
use std::time;

use basilgrade_standins::caller;
use basilgrade_standins::engine;
use basilgrade_standins::pool;
use basilgrade_standins::service;

use crate::deployment;

/// Names the customer of all requests.
const CUSTOMER: (&str, &str) = ("basilgrade-customer", "graduacion-sur");

/// Sends all requests and checks their answers.
pub(crate) async fn run(deployment: &deployment::Deployment) -> Result<(), String> {
    for index in 0..6 {
        pipeline(deployment, index).await?;
    }
    stream(deployment).await?;
    charge(deployment).await?;
    invalid(deployment).await
}

fn expected(question: &str) -> String {
    let mut data = bytes::Bytes::copy_from_slice(question.as_bytes());
    for stage in ["encode", "retrieve", "rerank"] {
        data = pool::transform(stage, &data);
    }
    engine::completion(&String::from_utf8_lossy(&data), deployment::TOKENS)
}

fn check(what: &str, right: bool) -> Result<(), String> {
    if right {
        return Ok(());
    }
    Err(format!("wrong: {what}"))
}

async fn pipeline(deployment: &deployment::Deployment, index: usize) -> Result<(), String> {
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
    check("verdict of a whole answer", response.verdict == "ran")?;
    check(
        "answer of the pipeline",
        response.body == expected(&question).into_bytes(),
    )
}

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

async fn stream(deployment: &deployment::Deployment) -> Result<(), String> {
    let daemon = &deployment.daemons[0];
    let question = "What is the dress code?";
    let headers = [CUSTOMER, ("accept", "text/event-stream")];
    let path = "/v1/pipelines/seating";
    let response = caller::post(daemon.caller, path, &headers, question).await?;
    let body = String::from_utf8_lossy(&response.body).into_owned();
    let mut text = String::new();
    let mut ended = false;
    for event in body.split("\n\n") {
        if event.starts_with("event: end") {
            ended = event.contains("\"verdict\":\"ran\"");
        } else if let Some(data) = event.strip_prefix("data: ") {
            let data: serde_json::Value =
                serde_json::from_str(data).map_err(|error| error.to_string())?;
            text.push_str(data["token"].as_str().unwrap_or_default());
        }
    }
    println!(
        "streamed answer via entry-0: {} bytes, ended={ended}",
        text.len()
    );
    check("tokens of the streamed answer", text == expected(question))?;
    check("end of the streamed answer", ended)
}

/// Sends a request again while the verdict says that it was not run, as every caller may.
async fn retried(
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
            "  not run, sent again: {}",
            String::from_utf8_lossy(&response.body)
        );
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        response = caller::post(address, path, headers, body).await?;
    }
    Ok(response)
}

async fn charge(deployment: &deployment::Deployment) -> Result<(), String> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [
        CUSTOMER,
        ("idempotency-key", key.as_str()),
        ("basilgrade-idempotent", "false"),
    ];
    let body = "{\"seat\":\"B14\",\"amount\":120}";
    let path = "/v1/services/ticket-sales/charge";
    for (index, daemon) in deployment.daemons.iter().enumerate() {
        let response = retried(daemon.caller, path, &headers, body).await?;
        println!(
            "charge with one key via entry-{index}: status={} verdict={}",
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
    println!("the charge was executed {count} time(s)");
    check("number of executions of one key", count == 1)
}

async fn invalid(deployment: &deployment::Deployment) -> Result<(), String> {
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
