//! Requests that are held at each moment of their way while one configuration replaces another.

mod edge_support;

use std::net;
use std::time;

use edge_support::client;
use edge_support::deployment;
use edge_support::upstream;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time for which upstreams hold requests, in milliseconds; longer than it takes a daemon to follow a
/// configuration.
const HOLD_MS: u64 = 1500;

/// Time from the start of a request until it waits where it is held.
const START_TIME: time::Duration = time::Duration::from_millis(200);

/// Where a request is while the configuration changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// Its head has arrived, and a part of its body.
    Body,
    /// Its head has arrived, and a part of its body in chunks.
    ChunkedBody,
    /// An upstream works on it, or on the pieces of its first stage.
    Upstream,
    /// An upstream has sent half of its events.
    Stream,
}

const MOMENTS: [Moment; 4] = [
    Moment::Body,
    Moment::ChunkedBody,
    Moment::Upstream,
    Moment::Stream,
];

/// Paths of plain requests, which may and may not be repeated, and of streams with stages.
const PATHS: [&str; 4] = ["/once/x", "/safe/x", "/stream/x", "/stream-resumable/x"];

/// What the second configuration changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// All routes are gone.
    Routes,
    /// All routes lead to other pools.
    Pools,
    /// The routes and the pools of engines and stages are gone, and their upstreams too.
    Upstreams,
    /// The key of the requests is gone, the last one of its customer.
    Keys,
    /// The time-outs of all routes are lower than the time that the requests have taken.
    Timeouts,
    /// The limits of heads, bodies and time-outs of connections are lower.
    Limits,
}

/// Changes `document`, the first configuration, to the second one.
fn change_configuration(document: &mut serde_json::Value, change: Change) {
    let routes = document["routes"].as_array_mut().expect("a list");
    match change {
        Change::Routes => routes.clear(),
        Change::Pools => {
            for route in routes {
                let other = if route["service"] == "desk" {
                    "till"
                } else {
                    "studio"
                };
                route["service"] = other.into();
            }
        }
        Change::Upstreams => {
            routes.retain(|route| route["service"] == "desk");
            let services = document["services"].as_array_mut().expect("a list");
            services.retain(|service| service["name"] == "desk");
        }
        Change::Keys => {
            document["tenants"] = json!([
                {"name": "customer-one", "api-keys": [], "priority": 1},
                {"name": "customer-two", "api-keys": ["key-two"], "priority": 1},
            ]);
        }
        Change::Timeouts => {
            for route in routes {
                route["timeout-ms"] = 300.into();
            }
        }
        Change::Limits => {
            document["limits"] = json!({"max-header-bytes": 256, "max-body-bytes": 4,
                "header-timeout-ms": 100, "idle-timeout-ms": 100});
        }
    }
}

/// First configuration, and the second one with `change`; both have routes that show which one is in
/// force.
fn configurations(change: Change) -> [String; 2] {
    let text = deployment::configuration(1, &["key-one"]);
    let mut first: serde_json::Value = serde_json::from_str(&text).expect("valid JSON");
    let services = first["services"].as_array_mut().expect("a list");
    services.push(json!({"name": "till", "max-connections": 50}));
    services.push(json!({"name": "studio", "max-connections": 50,
        "engine": {"slots": 8, "kv-capacity": 100_000}}));
    let mut second = first.clone();
    second["version"] = 2.into();
    change_configuration(&mut second, change);
    let marker = json!({"name": "second", "host": "users.example", "path-prefix": "/second/",
        "kind": "safe", "timeout-ms": 8000, "target-latency-ms": 1000, "priority": 0,
        "max-attempts": 2, "public": true, "service": "desk"});
    second["routes"]
        .as_array_mut()
        .expect("a list")
        .push(marker);
    [first.to_string(), second.to_string()]
}

/// Number of requests beyond the limits of their upstreams, some of which wait for a permit.
const LIMITED: usize = 12;

/// Waits until the daemon at `address` has the second configuration.
async fn wait_until_second(address: net::SocketAddr) {
    deployment::wait_until("the second configuration is in force", || async {
        let request = client::request("marker", "PUT", "/second/x");
        let answer = client::send(address, request, "").await;
        answer.is_some_and(|answer| answer.status != 404 && answer.status != 401)
    })
    .await;
}

/// Parts in which the request `id` to `path` is sent.
fn message(id: &str, path: &str, moment: Moment) -> [String; 2] {
    let framing = match moment {
        Moment::ChunkedBody => "transfer-encoding: chunked",
        _ => "content-length: 10",
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: users.example\r\nx-attempt-id: {id}\r\n\
         x-deadline-ms: 8000\r\nauthorization: Bearer key-one\r\nx-model: m\r\n\
         x-token-usage: 1000,50\r\nx-prefix-hash: aa:400,bb:400,cc:200\r\nx-pieces: 2,3\r\n\
         x-piece-key: piece-key\r\n{framing}\r\n\r\n"
    );
    match moment {
        Moment::ChunkedBody => [head + "5\r\nfirst\r\n", "4\r\nlast\r\n0\r\n\r\n".to_owned()],
        _ => [head + "first", "-last".to_owned()],
    }
}

/// Sends a request on a kept connection, the second part of its body once `released` is set, and
/// returns its status if its answer is whole.
async fn send_held(
    address: net::SocketAddr,
    (id, path): (String, &'static str),
    moment: Moment,
    mut released: tokio::sync::watch::Receiver<bool>,
) -> Result<u16, String> {
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("a connection");
    let [first, second] = message(&id, path, moment);
    stream
        .write_all(first.as_bytes())
        .await
        .expect("the head is sent");
    if matches!(moment, Moment::Body | Moment::ChunkedBody) {
        released
            .wait_for(|is_released| *is_released)
            .await
            .expect("the test goes on");
    }
    // A connection that was closed shows when it is read.
    let _ = stream.write_all(second.as_bytes()).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split_once("content-length: ").map(|(_, rest)| rest);
            let length = length.and_then(|rest| rest.lines().next()?.parse::<usize>().ok());
            let is_whole = match length {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            if is_whole {
                let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
                return status.ok_or_else(|| format!("{id}: odd answer {head:?}"));
            }
        }
        match tokio::time::timeout(time::Duration::from_secs(12), stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => answer.extend_from_slice(&buffer[..count]),
            ended => return Err(format!("{id}: {ended:?} after {text:?}")),
        }
    }
}

/// Holds a request to each path at each moment while `change` comes; returns the statuses by id.
async fn hold_requests(change: Change) -> Vec<(String, Result<u16, String>)> {
    let [first, second] = configurations(change);
    let mut deployment = deployment::start_with(&["a"], 3, &first).await;
    for pool in ["till", "studio"] {
        deployment.add_upstream(pool, 0).await;
    }
    let address = deployment.daemons[0].caller_address;
    let (release, released) = tokio::sync::watch::channel(false);
    let mut sending = tokio::task::JoinSet::new();
    for moment in MOMENTS {
        for upstream in &deployment.upstreams {
            let pool = upstream.id.split('-').next().unwrap_or_default();
            upstream.set_behaviour(match (moment, pool) {
                (Moment::Upstream, "desk" | "encode") => upstream::Behaviour::Pauses(1, HOLD_MS),
                (Moment::Stream, "engine") => upstream::Behaviour::Slow(HOLD_MS / upstream::EVENTS),
                _ => upstream::Behaviour::Healthy,
            });
        }
        for path in PATHS {
            let id = format!("{moment:?}-{}", path.trim_matches('/').replace('/', "-"));
            let released = released.clone();
            let request = (id.clone(), path);
            let held = send_held(address, request, moment, released);
            sending.spawn(async move { (id, held.await) });
        }
        tokio::time::sleep(START_TIME).await;
    }
    deployment.publish(&second);
    if change == Change::Upstreams {
        for pool in ["engine", "encode", "rank"] {
            for number in 0..3 {
                deployment
                    .store
                    .put("keyed.servers", &format!("{pool}-{number}"), "");
            }
        }
    }
    wait_until_second(address).await;
    for upstream in &deployment.upstreams {
        upstream.set_behaviour(upstream::Behaviour::Healthy);
    }
    release.send_replace(true);
    sending.join_all().await
}

/// Guards against a whole request that gets neither an answer nor a refusal, wherever it is when a
/// configuration comes.
#[tokio::test(flavor = "multi_thread")]
async fn requests_held_at_each_moment_get_answers() {
    for change in [
        Change::Routes,
        Change::Pools,
        Change::Upstreams,
        Change::Keys,
        Change::Timeouts,
        Change::Limits,
    ] {
        let held = hold_requests(change).await;

        let lost: Vec<_> = held
            .iter()
            .filter(|(_, outcome)| outcome.is_err())
            .collect();
        assert!(lost.is_empty(), "{change:?}: {lost:#?}");
        // Requests belong to the configuration that was in force when they arrived; only those
        // whose upstreams are gone cannot be served.
        let is_served = |outcome: &Result<u16, String>| {
            matches!(outcome, Ok(200)) || change == Change::Upstreams && *outcome == Ok(503)
        };
        let failed: Vec<_> = held
            .iter()
            .filter(|(_, outcome)| !is_served(outcome))
            .collect();
        assert!(failed.is_empty(), "{change:?}: {failed:#?}");
        assert_eq!(held.len(), MOMENTS.len() * PATHS.len());
    }
}

/// Guards against a request that waits for a permit of an upstream and gets neither an answer nor a
/// refusal when a configuration comes.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_permit_get_answers() {
    for change in [
        Change::Routes,
        Change::Pools,
        Change::Keys,
        Change::Timeouts,
    ] {
        let [first, second] = configurations(change);
        let mut deployment = deployment::start_with(&["a"], 2, &first).await;
        deployment.add_upstream("till", 0).await;
        for number in 0..2 {
            deployment
                .upstream(&format!("desk-{number}"))
                .name_limit(Some("1"));
        }
        let address = deployment.daemons[0].caller_address;
        let (_release, released) = tokio::sync::watch::channel(true);
        let mut sending = tokio::task::JoinSet::new();
        for number in 0..LIMITED {
            let request = (format!("limited-{number}"), "/once/x");
            sending.spawn(send_held(address, request, Moment::Body, released.clone()));
        }
        tokio::time::sleep(START_TIME).await;

        deployment.publish(&second);

        let outcomes = sending.join_all().await;
        let lost: Vec<_> = outcomes.iter().filter(|outcome| outcome.is_err()).collect();
        assert!(lost.is_empty(), "{change:?}: {lost:#?}");
        let is_answer = |outcome: &Result<u16, String>| matches!(outcome, Ok(200 | 503));
        assert!(outcomes.iter().all(is_answer), "{change:?}: {outcomes:?}");
    }
}
