//! Customers with names that operators choose freely.

mod edge_support;

use edge_support::client;
use edge_support::deployment;
use serde_json::json;

/// Names that a header can carry.
const NAMES: [&str; 8] = [
    "a",
    "Salon Sur",
    "salón-sur",
    "\"quoted\"",
    "50%, = & ;",
    "サロン 南",
    "tab\there",
    "o'brien/1.0 (test)",
];

/// Names that a header cannot carry.
const UNSENDABLE: [&str; 5] = ["", " before", "after ", "line\nbreak", "\u{0}"];

/// Guards against a version of the configuration that is not taken over, and so withdraws no key, as
/// the name of one customer has an unusual character, and against customers whose name does not reach
/// upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn customers_with_any_name_are_served_or_refused() {
    let mut deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let long = "x".repeat(300);
    let sendable: Vec<_> = NAMES.into_iter().chain([long.as_str()]).collect();
    let names = sendable.iter().copied().chain(UNSENDABLE);
    let customers = names.enumerate().map(|(number, name)| {
        json!({"name": name, "api-keys": [format!("key-{number}")], "priority": 1})
    });
    let text = deployment::without_stages();
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    document["version"] = 2.into();
    document["tenants"] = customers.collect();
    deployment.publish(&document.to_string());
    let address = deployment.daemons[0].caller_address;
    let send = async |number: usize, id: &str| {
        let key = format!("key-{number}");
        let request = client::request_with_key(id, "POST", "/once/x", &key);
        let answer = client::send(address, request, "").await;
        answer.expect("the daemon answers").status
    };

    deployment::wait_until("the second version is in force", || async {
        send(0, "probe").await == 200
    })
    .await;

    let withdrawn = client::request("withdrawn", "POST", "/once/x");
    let answer = client::send(address, withdrawn, "").await;
    assert_eq!(answer.map(|answer| answer.status), Some(401));
    for (number, name) in sendable.iter().enumerate() {
        let id = format!("served-{number}");
        assert_eq!(send(number, &id).await, 200, "{name:?}");
        let runs = deployment
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.runs());
        let run = runs.into_iter().find(|run| run.request == id);
        let run = run.expect("the request ran");
        assert_eq!(run.headers["x-tenant"].as_bytes(), name.as_bytes());
    }
    for (number, name) in UNSENDABLE.iter().enumerate() {
        let id = format!("refused-{number}");
        assert_eq!(send(sendable.len() + number, &id).await, 503, "{name:?}");
        assert_eq!(deployment.count_runs(&id), 0);
    }
    deployment.daemons[0].kill();
    deployment.daemons[0].start();
    deployment.wait_until_ready(0).await;
    assert_eq!(
        send(1, "after").await,
        200,
        "the version is lost with a restart"
    );
}
