//! Placement of models on engines by daemon processes.

mod support;

use basilgrade_standins::caller;
use support::deployment;

/// Guards against placement orders that are never sent to engines, and against requests that fail
/// while every engine changes from one version of the model to the next.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_engines_load_a_new_model_version() {
    let deployment = deployment::start(&["a", "b"]).await;
    let next_model = format!("{}.v2", deployment::MODEL);
    deployment.platform.set_weights(&next_model, 1_000_000);
    let text = deployment
        .configuration()
        .replace("price = 400\n", "price = 400\nslots = 2\n")
        + &format!(
            "[model {}]\npool = assistant\nversion = v2\n",
            deployment::MODEL
        );
    let address = deployment.daemons[0].caller_address;

    deployment::publish(&deployment.platform, 1, &text);

    deployment::wait_until(|| async {
        let path = "/v1/pipelines/seating";
        let question = "Where does the family sit?";
        let response = caller::post(address, path, &[deployment::CUSTOMER], question).await;
        let response = response.expect("the daemon sends a response");
        assert_eq!(response.verdict, "ran", "{:?}", response.body);
        let mut engines = deployment.engines.iter();
        engines.all(|engine| engine.models() == [next_model.as_str()])
    })
    .await;
    let orders = deployment.engines[0].orders();
    assert!(
        orders.iter().any(|order| order.models.len() == 2),
        "{orders:?}"
    );
}
