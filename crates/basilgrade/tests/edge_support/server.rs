//! HTTP server of the stand-ins, which a test can make refuse connections.

use std::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;

pub(crate) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Builds a body of known length.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers the requests that a [`Server`] receives.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request; `None` closes the connection without an answer.
    fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;
}

/// A running server; dropping it stops the server.
pub(crate) struct Server {
    pub(crate) address: net::SocketAddr,
    /// While set, new connections are closed at once and requests on open connections get no
    /// answer.
    pub(crate) refuses: sync::Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server on a free port of the loopback address.
pub(crate) async fn start<H: Handler>(handler: sync::Arc<H>) -> Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port is free");
    let address = listener
        .local_addr()
        .expect("the listener has a local address");
    let refuses = sync::Arc::new(atomic::AtomicBool::new(false));
    let refusing = sync::Arc::clone(&refuses);
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            if refusing.load(atomic::Ordering::Relaxed) {
                continue;
            }
            connections.spawn(serve(
                stream,
                sync::Arc::clone(&handler),
                sync::Arc::clone(&refusing),
            ));
        }
    });
    Server {
        address,
        refuses,
        task,
    }
}

async fn serve<H: Handler>(
    stream: tokio::net::TcpStream,
    handler: sync::Arc<H>,
    refusing: sync::Arc<atomic::AtomicBool>,
) {
    let serve = service::service_fn(move |request: Request<Incoming>| {
        let handler = sync::Arc::clone(&handler);
        let refusing = sync::Arc::clone(&refusing);
        async move {
            let (parts, body) = request.into_parts();
            let body = body
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            let closed = || std::io::Error::other("closed by the test");
            if refusing.load(atomic::Ordering::Relaxed) {
                return Err(closed());
            }
            let request = Request::from_parts(parts, body.unwrap_or_default());
            handler.handle(request).await.ok_or_else(closed)
        }
    });
    let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), serve);
    // Errors are ignored: the daemon or the test may close the connection at any time.
    let _: Result<(), hyper::Error> = connection.await;
}
