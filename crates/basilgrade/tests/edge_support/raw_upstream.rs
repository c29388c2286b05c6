//! An upstream that answers with bytes that a test chooses.

use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::deployment;

/// An upstream that answers the first request of each connection with the same bytes, all at once,
/// and closes the connection.
pub(crate) struct RawUpstream {
    address: net::SocketAddr,
}

impl RawUpstream {
    pub(crate) async fn start(answer: &'static str) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    if stream.read(&mut request).await.unwrap_or(0) > 0 {
                        // The daemon may close the connection first.
                        let _ = stream.write_all(answer.as_bytes()).await;
                    }
                });
            }
        });
        Self { address }
    }

    pub(crate) fn register(&self, deployment: &deployment::Deployment, pool: &str) {
        let entry = serde_json::json!({"service": pool, "address": self.address, "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "sequence": 1});
        let topic = "keyed.servers";
        deployment.store.put(topic, "raw-0", &entry.to_string());
    }
}
