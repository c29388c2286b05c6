//! Placement of models by daemons that are separate processes.

mod support;

use basilgrade_standins::caller;
use support::deployment;

/// Guards against orders that are never sent, and against requests that fail while every engine
/// changes from one version of the model to the next.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_is_loaded_while_requests_are_served() {
    let deployment = deployment::start(&["a", "b"]).await;
    let next = format!("{}.v2", deployment::MODEL);
    deployment.platform.set_weights(&next, 1_000_000);
    let text = deployment
        .configuration()
        .replace("price = 400\n", "price = 400\nslots = 2\n")
        + &format!(
            "[model {}]\npool = assistant\nversion = v2\n",
            deployment::MODEL
        );
    let address = deployment.daemons[0].caller;

    deployment::publish(&deployment.platform, 1, &text);

    deployment::until(|| async {
        let path = "/v1/pipelines/seating";
        let question = "Where does the family sit?";
        let response = caller::post(address, path, &[deployment::CUSTOMER], question).await;
        let response = response.expect("a response arrives");
        assert_eq!(response.verdict, "ran", "{:?}", response.body);
        let mut engines = deployment.engines.iter();
        engines.all(|engine| engine.models() == [next.as_str()])
    })
    .await;
    let first = deployment.engines[0].orders();
    assert!(
        first.iter().any(|order| order.models.len() == 2),
        "{first:?}"
    );
}
