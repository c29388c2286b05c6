//! A store, upstreams and daemons.

use std::sync;
use std::time;

use super::client;
use super::daemon;
use super::server;
use super::store;
use super::upstream;

/// A deployment; everything ends when it is dropped.
pub(crate) struct Deployment {
    pub(crate) store: sync::Arc<store::Store>,
    pub(crate) store_server: server::Server,
    pub(crate) daemons: Vec<daemon::Daemon>,
    pub(crate) upstreams: Vec<sync::Arc<upstream::Upstream>>,
    servers: Vec<server::Server>,
}

/// Time that anything which is awaited may take at most.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Waits until `is_true`.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, mut is_true: impl FnMut() -> F) {
    let waiting = async {
        while !is_true().await {
            tokio::time::sleep(time::Duration::from_millis(25)).await;
        }
    };
    assert!(
        tokio::time::timeout(PATIENCE, waiting).await.is_ok(),
        "{what}"
    );
}

/// A configuration of one route of each kind.
pub(crate) fn configuration(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, rest: serde_json::Value| {
        let mut route = serde_json::json!({
            "name": name, "host": "users.example", "path-prefix": prefix, "kind": kind,
            "timeout-ms": 8000, "target-latency-ms": 1000, "priority": 0, "max-attempts": 2,
            "public": false, "gap-target-ms": 200,
        });
        for (key, value) in rest.as_object().expect("an object") {
            route[key] = value.clone();
        }
        route
    };
    let stages = serde_json::json!([
        {"service": "encode", "after": [], "bytes": 8000},
        {"service": "rank", "after": [0], "bytes": 6000},
    ]);
    serde_json::json!({
        "version": version,
        "routes": [
            route("once", "/once/", "unsafe", serde_json::json!({"service": "desk"})),
            route("safe", "/safe/", "safe", serde_json::json!({"service": "desk"})),
            route("stream", "/stream/", "stream", serde_json::json!({"service": "engine", "stages": stages})),
            route("resumable", "/stream-resumable/", "stream",
                serde_json::json!({"service": "engine", "stream-resume": true, "stages": stages})),
        ],
        "services": [
            {"name": "desk", "max-connections": 50},
            {"name": "engine", "max-connections": 50, "engine": {"slots": 8, "kv-capacity": 100_000}},
            {"name": "encode", "max-connections": 50, "pieces": pieces()},
            {"name": "rank", "max-connections": 50, "pieces": pieces()},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4096,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "customer-one", "api-keys": keys, "priority": 1}],
    })
    .to_string()
}

/// The configuration without stages and their pools.
pub(crate) fn without_stages() -> String {
    let text = configuration(1, &["key-one"]);
    let mut whole: serde_json::Value = serde_json::from_str(&text).expect("it is JSON");
    for route in whole["routes"].as_array_mut().expect("a list") {
        route.as_object_mut().expect("an object").remove("stages");
    }
    let services = whole["services"].as_array_mut().expect("a list");
    services.retain(|service| service.get("pieces").is_none());
    whole.to_string()
}

fn pieces() -> serde_json::Value {
    serde_json::json!({"slots": 1, "queue": 2, "batch": 8, "call-ms": 20.0, "item-ms": 1.0,
        "headroom-mb": 10.0, "handle-s": 4.0, "link-mbps": 10000})
}

/// Two upstreams of each pool, and a daemon in each of `domains`, all ready.
pub(crate) async fn start(domains: &[&str]) -> Deployment {
    start_with(domains, 2, &configuration(1, &["key-one"])).await
}

/// `upstreams` of each pool, and a daemon in each of `domains`, all ready.
pub(crate) async fn start_with(
    domains: &[&str],
    upstreams: usize,
    configuration: &str,
) -> Deployment {
    let store = sync::Arc::<store::Store>::default();
    let store_server = server::start(sync::Arc::clone(&store)).await;
    let mut deployment = Deployment {
        store,
        store_server,
        daemons: Vec::new(),
        upstreams: Vec::new(),
        servers: Vec::new(),
    };
    for pool in ["desk", "engine", "encode", "rank"] {
        for number in 0..upstreams {
            deployment.add_upstream(pool, number).await;
        }
    }
    deployment.publish(configuration);
    for (number, domain) in domains.iter().enumerate() {
        deployment.add_daemon(&format!("vm-{number}"), domain);
    }
    for number in 0..domains.len() {
        deployment.ready(number).await;
    }
    deployment
}

impl Deployment {
    pub(crate) async fn add_upstream(&mut self, pool: &str, number: usize) {
        let upstream = sync::Arc::new(upstream::Upstream {
            id: format!("{pool}-{number}"),
            ..Default::default()
        });
        let server = server::start(sync::Arc::clone(&upstream)).await;
        upstream
            .address
            .set(server.address)
            .expect("it is set once");
        self.upstreams.push(upstream);
        self.servers.push(server);
        self.register(pool, number, "ready");
    }

    pub(crate) fn register(&self, pool: &str, number: usize, state: &str) {
        let id = format!("{pool}-{number}");
        let address = self.upstream(&id).address.get().expect("it is started");
        let entry = serde_json::json!({"service": pool, "address": address, "zone": "a",
            "version": "v1", "slots": 8, "state": state, "sequence": 1});
        self.store.put("keyed.servers", &id, &entry.to_string());
    }

    pub(crate) fn upstream(&self, id: &str) -> &sync::Arc<upstream::Upstream> {
        let found = self.upstreams.iter().find(|upstream| upstream.id == id);
        found.expect("the upstream exists")
    }

    pub(crate) fn publish(&self, configuration: &str) {
        self.store.put("keyed.op", "config", configuration);
    }

    pub(crate) fn add_daemon(&mut self, name: &str, domain: &str) {
        let seeds: Vec<_> = self.daemons.iter().map(|daemon| daemon.peers).collect();
        let mut daemon = daemon::Daemon::new(name, domain, self.store_server.address, &seeds);
        daemon.start();
        self.daemons.push(daemon);
    }

    pub(crate) async fn is_ready(&self, number: usize) -> bool {
        let request = hyper::Request::get("/basilgrade/readyz").header("host", "vm");
        let answer = client::send(self.daemons[number].readiness, request, "").await;
        answer.is_some_and(|answer| answer.status == 200)
    }

    pub(crate) async fn ready(&self, number: usize) {
        until("the daemon becomes ready", || self.is_ready(number)).await;
    }

    /// How often the request `id` was run.
    pub(crate) fn count(&self, id: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(|upstream| upstream.runs());
        runs.filter(|run| run.request == id).count()
    }
}
