//! HTTP endpoints for the balancer's readiness probe and for metrics.

use std::convert;
use std::sync;

use basilgrade_adapter::process;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;

use crate::core;
use crate::listener;

/// Maximum number of unreadable entries of a configuration that are named.
pub(crate) const MAX_NAMED_ENTRIES: usize = 8;

/// Answers readiness probes; the body lists what is unreadable in the newest configuration. Never
/// returns.
pub async fn run(core: sync::Arc<core::Core>, socket: net::TcpListener) {
    serve(socket, move |message| {
        let status = match (process::is_readiness(message.uri().path()), core.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, describe_faults(&core))
    })
    .await;
}

/// Lines about what is unreadable in the newest configuration.
fn describe_faults(core: &core::Core) -> String {
    let view = core.view.load();
    let record = core.configuration_fault.load_full();
    let record = record.map(|fault| fault.to_string());
    let entries = view.configuration.iter().flat_map(|known| {
        let entries = known.unreadable.iter().take(MAX_NAMED_ENTRIES);
        entries.map(|entry| format!("configuration {}: {entry}", known.version))
    });
    let faults = record.into_iter().chain(entries);
    // Faults quote texts of the configuration, which may have line breaks.
    let lines = faults.map(|fault| format!("{}\n", fault.escape_debug()));
    lines.collect()
}

/// Serves `/metrics` in the Prometheus text format; never returns.
pub async fn run_metrics(core: sync::Arc<core::Core>, socket: net::TcpListener) {
    serve(socket, move |message| match message.uri().path() {
        "/metrics" => match core.metrics.render() {
            Ok(text) => (StatusCode::OK, text),
            Err(reason) => (StatusCode::INTERNAL_SERVER_ERROR, reason),
        },
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
    .await;
}

async fn serve(
    socket: net::TcpListener,
    answer: impl Fn(&Request<Incoming>) -> (StatusCode, String) + Send + Sync + 'static,
) {
    let answer = sync::Arc::new(answer);
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            tokio::time::sleep(listener::ACCEPT_BACKOFF).await;
            continue;
        };
        let answer = sync::Arc::clone(&answer);
        let serve = service::service_fn(move |message| {
            let (status, text) = answer(&message);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, convert::Infallible>(response) }
        });
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), serve);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection-closed reason={:?}", error.to_string());
            }
        });
    }
}
