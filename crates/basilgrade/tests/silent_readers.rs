//! News of the store that reach a daemon late, as the daemon that reads for it fails just before it
//! would have read them.

mod edge_support;

use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use edge_support::client;
use edge_support::deployment;
use edge_support::server;
use edge_support::store;
use hyper::Request;
use hyper::Response;

/// Longest time from the acknowledgement of an upstream's leaving until daemons send it nothing.
const BOUND: time::Duration = time::Duration::from_millis(2500);

/// Time that a slow store takes to answer.
const SLOW: time::Duration = time::Duration::from_millis(500);

/// The store as one daemon sees it.
struct StoreView {
    store: sync::Arc<store::Store>,
    /// Answered reads of the registrations of upstreams.
    reads: tokio::sync::watch::Sender<usize>,
    is_silent: atomic::AtomicBool,
    is_slow: atomic::AtomicBool,
}

impl StoreView {
    fn new(store: &sync::Arc<store::Store>) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            store: sync::Arc::clone(store),
            reads: tokio::sync::watch::Sender::new(0),
            is_silent: atomic::AtomicBool::new(false),
            is_slow: atomic::AtomicBool::new(false),
        })
    }

    fn reads(&self) -> usize {
        *self.reads.borrow()
    }

    /// Waits for the next read of the registrations.
    async fn next_read(&self) {
        let mut reads = self.reads.subscribe();
        reads.mark_unchanged();
        reads.changed().await.expect("the sender lives on");
    }
}

impl server::Handler for StoreView {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        let query = request.uri().query().unwrap_or_default();
        let is_read = query.contains("topic=keyed.servers");
        if self.is_slow.load(atomic::Ordering::Relaxed) {
            tokio::time::sleep(SLOW).await;
        }
        let answer = server::Handler::handle(sync::Arc::clone(&self.store), request).await;
        if self.is_silent.load(atomic::Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if is_read {
            self.reads.send_modify(|count| *count += 1);
        }
        answer
    }
}

/// Two daemons of one failure domain, the first of which reads the store for the second.
struct Pair {
    deployment: deployment::Deployment,
    views: [sync::Arc<StoreView>; 2],
    reader: usize,
    _servers: Vec<server::Server>,
}

impl Pair {
    async fn start() -> Self {
        let mut deployment = deployment::start_with(&[], 2, &deployment::without_stages()).await;
        let views = [(); 2].map(|()| StoreView::new(&deployment.store));
        let mut servers = Vec::new();
        for (name, view) in ["vm-0", "vm-1"].into_iter().zip(&views) {
            let server = server::start(sync::Arc::clone(view)).await;
            deployment.add_daemon_at(name, "a", server.address);
            servers.push(server);
        }
        for number in 0..views.len() {
            deployment.wait_until_ready(number).await;
        }
        let mut reader = None;
        while reader.is_none() {
            let before = views.each_ref().map(|view| view.reads());
            tokio::time::sleep(time::Duration::from_millis(2500)).await;
            let is_idle = [0, 1].map(|number| views[number].reads() == before[number]);
            reader = match is_idle {
                [false, true] => Some(0),
                [true, false] => Some(1),
                _ => None,
            };
        }
        Self {
            deployment,
            views,
            reader: reader.expect("the loop ends with a reader"),
            _servers: servers,
        }
    }

    fn follower(&self) -> usize {
        1 - self.reader
    }

    /// Publishes the version `version` of the configuration, which wakes the follower's call.
    fn publish(&self, version: u64) {
        let text = deployment::without_stages();
        let text = text.replacen("\"version\":1", &format!("\"version\":{version}"), 1);
        self.deployment.publish(&text);
    }

    /// Reports that `desk-0` leaves, just after a read of the registrations; returns the time of the
    /// acknowledgement.
    async fn report_leaving(&self) -> time::Instant {
        self.views[self.reader].next_read().await;
        tokio::time::sleep(time::Duration::from_millis(30)).await;
        self.deployment.register_again("desk", 0, "draining", 2);
        time::Instant::now()
    }

    /// Sends requests to the follower until well after the bound; returns how long after
    /// `acknowledged` the last one reached the upstream that leaves.
    async fn last_run_after(&self, acknowledged: time::Instant) -> time::Duration {
        let address = self.deployment.daemons[self.follower()].caller_address;
        let mut number = 0;
        while acknowledged.elapsed() < BOUND * 2 {
            let request = client::request(&format!("probe-{number}"), "GET", "/safe/x");
            let answer = client::send(address, request, "").await;
            let answer = answer.expect("the daemon answers");
            assert_eq!(answer.status, 200, "probe-{number}: {answer:?}");
            number += 1;
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        let runs = self.deployment.upstream("desk-0").runs();
        let last = runs.last().expect("the upstream has served before it left");
        last.at.saturating_duration_since(acknowledged)
    }
}

/// Guards against requests to an upstream that has left because the store leaves the reader without
/// an answer while the follower's call has just begun.
#[tokio::test(flavor = "multi_thread")]
async fn follower_learns_in_time_when_the_store_does_not_answer_its_reader() {
    let pair = Pair::start().await;

    let acknowledged = pair.report_leaving().await;
    tokio::time::sleep_until((acknowledged + time::Duration::from_millis(440)).into()).await;
    pair.publish(2);
    tokio::time::sleep_until((acknowledged + time::Duration::from_millis(700)).into()).await;
    let view = &pair.views[pair.reader];
    view.is_silent.store(true, atomic::Ordering::Relaxed);
    let last = pair.last_run_after(acknowledged).await;

    assert!(last <= BOUND, "the last request came {last:?} after");
}

/// Guards against requests to an upstream that has left because the reader falls silent while the
/// follower's call has just begun and the store is slow.
#[tokio::test(flavor = "multi_thread")]
async fn follower_learns_in_time_when_its_reader_falls_silent() {
    let pair = Pair::start().await;

    let acknowledged = pair.report_leaving().await;
    tokio::time::sleep_until((acknowledged + time::Duration::from_millis(870)).into()).await;
    pair.publish(2);
    tokio::time::sleep_until((acknowledged + time::Duration::from_millis(930)).into()).await;
    pair.deployment.daemons[pair.reader].signal("STOP");
    let view = &pair.views[pair.follower()];
    view.is_slow.store(true, atomic::Ordering::Relaxed);
    let last = pair.last_run_after(acknowledged).await;

    assert!(last <= BOUND, "the last request came {last:?} after");
}
