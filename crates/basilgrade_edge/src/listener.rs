//! Accepts callers' connections and shuts them down gracefully.

use std::convert;
use std::sync;
use std::time;

use http_body_util::BodyExt as _;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::graceful;
use tokio::net as tokio_net;
use tokio_util::sync::CancellationToken;

use crate::http::head_timeout;
use crate::http::socket;
use crate::serve;

/// Wait before the next `accept` after one has failed, for example with too many open files.
pub const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Multiple of the configured idle time-out after which an idle caller's connection is closed.
///
/// Callers reuse a connection within the idle time-out. Closing it at the time-out could race with
/// a new request, and the configured time-out may be raised while the connection is open.
const IDLE_TIMEOUT_FACTOR: u64 = 4;

/// Accepts callers' connections until `stop` is cancelled, then waits for all connections to end.
pub async fn run(
    service: sync::Arc<serve::Service>,
    listener: tokio_net::TcpListener,
    stop: CancellationToken,
) {
    let connections = graceful::GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(&service, stream, &connections),
            Err(error) => {
                log::warn!(
                    "event=accept-failed listener=callers reason={:?}",
                    error.to_string()
                );
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
}

fn serve_connection(
    service: &sync::Arc<serve::Service>,
    stream: tokio_net::TcpStream,
    connections: &graceful::GracefulShutdown,
) {
    if let Err(error) = socket::configure(&stream, socket::Patience::Caller) {
        log::debug!("event=caller-refused reason={:?}", error.to_string());
        return;
    }
    let view = service.core.view.load();
    let limits = view
        .configuration
        .as_ref()
        .map(|known| known.limits)
        .unwrap_or_default();
    let idle_timeout = limits.idle_timeout.times(IDLE_TIMEOUT_FACTOR).duration();
    let service = sync::Arc::clone(service);
    let progress = head_timeout::RequestProgress::default();
    let timed =
        head_timeout::HeadTimeoutStream::new(stream, progress.clone(), limits.header_timeout);
    let serve = service::service_fn(move |message| {
        let service = sync::Arc::clone(&service);
        let serving_guard = progress.begin_request();
        async move {
            let response = service.serve(message).await;
            // The body owns the guard, as the request ends when its response is sent or dropped.
            let response = response.map(|body| {
                let keep = move |frame| {
                    let _ = &serving_guard;
                    frame
                };
                body.map_frame(keep).boxed_unsync()
            });
            Ok::<_, convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size((limits.max_head.0 as usize).max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(timed), serve);
    let watched = connections.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            log::debug!("event=connection-closed reason={:?}", error.to_string());
        }
    });
}

/// Minimum read buffer; hyper panics on a smaller one.
const MIN_BUFFER_BYTES: usize = 8192;
