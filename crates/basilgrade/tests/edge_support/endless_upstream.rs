//! An upstream that sends bytes without end.

use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::deployment;

/// An upstream that answers each request with `start` and then with `filler` until its caller
/// closes the connection.
pub(crate) struct EndlessUpstream {
    address: net::SocketAddr,
    /// Bytes sent on all connections, and connections that their caller has closed.
    pub(crate) sent: sync::Arc<atomic::AtomicU64>,
    pub(crate) closed: sync::Arc<atomic::AtomicU64>,
}

impl EndlessUpstream {
    pub(crate) async fn start(start: &'static str, filler: &'static str) -> Self {
        Self::start_with_pause(start, filler, u64::MAX).await
    }

    /// Starts an upstream that sends nothing more of an answer after `pause_at` bytes.
    pub(crate) async fn start_with_pause(
        start: &'static str,
        filler: &'static str,
        pause_at: u64,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a loopback port is free");
        let upstream = Self {
            address: listener
                .local_addr()
                .expect("the listener has a local address"),
            sent: sync::Arc::default(),
            closed: sync::Arc::default(),
        };
        let (sent, closed) = (
            sync::Arc::clone(&upstream.sent),
            sync::Arc::clone(&upstream.closed),
        );
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (sent, closed) = (sync::Arc::clone(&sent), sync::Arc::clone(&closed));
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    if stream.read(&mut request).await.unwrap_or(0) == 0 {
                        return;
                    }
                    let chunk = filler.repeat(4096 / filler.len());
                    let mut next = start.as_bytes();
                    let mut count = 0;
                    while stream.write_all(next).await.is_ok() {
                        count += next.len() as u64;
                        if count >= pause_at {
                            // The caller closes the connection.
                            let _ = stream.read(&mut request).await;
                            break;
                        }
                        sent.fetch_add(next.len() as u64, atomic::Ordering::Relaxed);
                        next = chunk.as_bytes();
                    }
                    closed.fetch_add(1, atomic::Ordering::Relaxed);
                });
            }
        });
        upstream
    }

    pub(crate) fn register(&self, deployment: &deployment::Deployment, pool: &str, number: usize) {
        let entry = serde_json::json!({"service": pool, "address": self.address, "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "sequence": 1});
        let topic = "keyed.servers";
        deployment
            .store
            .put(topic, &format!("endless-{number}"), &entry.to_string());
    }
}
