//! How soon the daemons of a new deployment know of each other.

mod edge_support;

use std::sync;
use std::time;

use bytes::Bytes;
use edge_support::deployment;
use edge_support::server;
use edge_support::store;
use hyper::Request;
use hyper::Response;

/// Calls of a daemon to the store about the topic of daemons, by the ends of their paths.
struct Recorder {
    store: sync::Arc<store::Store>,
    calls: sync::Mutex<Vec<(&'static str, time::Instant)>>,
}

const CALLS: [&str; 3] = ["log-newest", "log-append", "log-read"];

impl server::Handler for Recorder {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        let target = request.uri().to_string();
        let call = CALLS.into_iter().find(|call| target.contains(call));
        if let Some(call) = call.filter(|_| target.contains("keyed.status")) {
            let mut calls = self.calls.lock().expect("no holder of the lock panics");
            calls.push((call, time::Instant::now()));
        }
        server::Handler::handle(sync::Arc::clone(&self.store), request).await
    }
}

impl Recorder {
    fn first(&self, name: &str) -> Option<time::Instant> {
        let calls = self.calls.lock().expect("no holder of the lock panics");
        let found = calls.iter().find(|(call, _)| *call == name);
        found.map(|(_, at)| *at)
    }
}

/// Guards against streams of a deployment's first second of which no other daemon keeps a copy, as
/// the daemons do not know of each other.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_of_a_new_deployment_look_for_each_other_at_once() {
    let mut deployment = deployment::start_with(&[], 1, &deployment::without_stages()).await;
    let recorder = sync::Arc::new(Recorder {
        store: sync::Arc::clone(&deployment.store),
        calls: sync::Mutex::default(),
    });
    let server = server::start(sync::Arc::clone(&recorder)).await;

    deployment.add_daemon_at("vm-0", "a", server.address);
    deployment::wait_until("the topic of daemons is read again", || async {
        recorder.first("log-read").is_some() && recorder.first("log-append").is_some()
    })
    .await;

    let loaded = recorder.first("log-newest").expect("the topic was loaded");
    let span = |name: &str| recorder.first(name).expect("it was called") - loaded;
    assert!(span("log-append") < time::Duration::from_millis(250));
    assert!(span("log-read") < time::Duration::from_millis(500));
}
