//! Configurations with entries that cannot be read, and with names that operators choose freely.

mod edge_support;

use edge_support::client;
use edge_support::deployment;
use serde_json::json;

/// Names of services that are no ids.
const SERVICES: [&str; 6] = [
    "mesa norte",
    "50%/día",
    "\"quoted\"",
    "サービス 南",
    "line\nbreak",
    "a%20b",
];

/// Returns version 2 of the configuration: the route `/safe/` and the customer of `key-two` are
/// unreadable, and each service of [`SERVICES`] has a route.
fn partial_configuration() -> String {
    let text = deployment::without_stages();
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    document["version"] = 2.into();
    let routes = document["routes"].as_array_mut();
    let routes = routes.expect("`routes` is a list");
    let plain = routes[0].clone();
    let broken = routes
        .iter_mut()
        .find(|route| route["path-prefix"] == "/safe/");
    broken.expect("the route exists")["kind"] = "of-a-later-release".into();
    // A shorter prefix that the requests of the unreadable route would match.
    let mut whole = plain.clone();
    whole["path-prefix"] = "/".into();
    routes.push(whole);
    for (number, service) in SERVICES.iter().enumerate() {
        let mut route = plain.clone();
        route["path-prefix"] = format!("/odd-{number}/").into();
        route["service"] = (*service).into();
        routes.push(route);
    }
    document["tenants"] = json!([
        {"name": "customer-one", "api-keys": ["key-one", "key-new"], "priority": 1},
        {"name": "customer-two", "api-keys": ["key-two"], "priority": 700},
    ]);
    document.to_string()
}

async fn send(deployment: &deployment::Deployment, id: &str, path: &str, key: &str) -> u16 {
    let request = client::request_with_key(id, "POST", path, key);
    let answer = client::send(deployment.daemons[0].caller_address, request, "").await;
    answer.expect("the daemon answers").status
}

async fn readiness_text(deployment: &deployment::Deployment) -> String {
    let request = hyper::Request::get("/basilgrade/readyz").header("host", "vm");
    let address = deployment.daemons[0].readiness_address;
    let answer = client::send(address, request, "").await;
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 200);
    answer.body
}

async fn assert_served_in_part(deployment: &deployment::Deployment, phase: &str) {
    let refused = [("/safe/x", "key-one"), ("/once/x", "key-two")];
    for (number, (path, key)) in refused.into_iter().enumerate() {
        let id = format!("{phase}-refused-{number}");
        assert_eq!(send(deployment, &id, path, key).await, 503, "{path} {key}");
        assert_eq!(deployment.count_runs(&id), 0);
    }
    let last = format!("/odd-{}/x", SERVICES.len() - 1);
    for path in ["/once/x", "/other/x", last.as_str()] {
        let id = format!("{phase}-served-{path}");
        assert_eq!(send(deployment, &id, path, "key-one").await, 200, "{path}");
    }
    let text = readiness_text(deployment).await;
    assert!(text.contains("configuration 2: routes["), "{text}");
    assert!(text.contains("configuration 2: tenants[1]"), "{text}");
    assert!(text.contains("of-a-later-release"), "{text}");
}

/// Guards against a version of the configuration that is not taken over because of one entry, and
/// against requests of an unreadable route that a route with a shorter prefix serves.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entry_costs_only_itself() {
    let mut deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let address = deployment.upstream("desk-0").address.get();
    let address = address.expect("the upstream was started").to_owned();
    assert_eq!(readiness_text(&deployment).await, "");

    deployment.publish(&partial_configuration());

    deployment::wait_until("the second version is in force", || async {
        send(&deployment, "probe", "/once/x", "key-new").await == 200
    })
    .await;
    // The same server runs for each of the services in turn.
    for (number, service) in SERVICES.iter().enumerate() {
        let entry = json!({"service": service, "address": address, "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "sequence": number + 2});
        deployment
            .store
            .put("keyed.servers", "desk-0", &entry.to_string());
        let path = format!("/odd-{number}/x");
        deployment::wait_until("the service has an upstream", || async {
            send(&deployment, "probe", &path, "key-one").await == 200
        })
        .await;
    }
    deployment.daemons[0].kill();
    deployment.daemons[0].start();
    deployment.wait_until_ready(0).await;
    assert_served_in_part(&deployment, "after-a-restart").await;
}

/// Guards against numbers at their limits that end the daemon or keep their route from being served.
#[tokio::test(flavor = "multi_thread")]
async fn numbers_at_their_limits_are_served() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let text = deployment::without_stages();
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    document["version"] = u64::MAX.into();
    let routes = document["routes"].as_array_mut();
    for (number, route) in routes.expect("`routes` is a list").iter_mut().enumerate() {
        let extreme = if number % 2 == 0 { u64::MAX } else { 0 };
        for field in ["target-latency-ms", "gap-target-ms"] {
            route[field] = extreme.into();
        }
        route["timeout-ms"] = u64::MAX.into();
        route["priority"] = 255.into();
        route["max-attempts"] = u32::MAX.into();
    }
    document["services"][0]["max-connections"] = u32::MAX.into();
    document["services"][1]["engine"] = json!({"slots": u32::MAX, "kv-capacity": u64::MAX});
    for field in ["max-body-bytes", "header-timeout-ms", "idle-timeout-ms"] {
        document["limits"][field] = u64::MAX.into();
    }
    let keys = json!(["key-one", "key-new"]);
    document["tenants"] = json!([{"name": "customer-one", "api-keys": keys, "priority": 255}]);

    deployment.publish(&document.to_string());

    deployment::wait_until("the version is in force", || async {
        send(&deployment, "probe", "/once/x", "key-new").await == 200
    })
    .await;
    for path in ["/once/x", "/safe/x", "/stream/x", "/stream-resumable/x"] {
        let id = format!("extreme-{path}");
        assert_eq!(send(&deployment, &id, path, "key-one").await, 200, "{path}");
    }
    assert_eq!(readiness_text(&deployment).await, "");
}

/// Guards against an unreadable version that no one learns of but from the log.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_version_is_named_while_the_earlier_one_serves() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;

    deployment.publish("{\"version\": 2, \"routes\": 7}");

    deployment::wait_until("the version is named", || async {
        readiness_text(&deployment)
            .await
            .contains("is not in force")
    })
    .await;
    assert_eq!(send(&deployment, "served", "/once/x", "key-one").await, 200);
    let text = deployment::without_stages().replacen("\"version\":1", "\"version\":3", 1);
    deployment.publish(&text);
    deployment::wait_until("the readable version is in force", || async {
        readiness_text(&deployment).await.is_empty()
    })
    .await;
}
