//! Accepts callers' connections and shuts them down gracefully.

use std::convert;
use std::io;
use std::sync;
use std::time;

use basilgrade_fleet::model::limits;
use http_body_util::BodyExt as _;
use hyper::Version;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net as tokio_net;
use tokio_util::sync::CancellationToken;
use tokio_util::task;

use crate::core;
use crate::http::caller_connection;
use crate::http::head_timeout;
use crate::http::socket;
use crate::serve;

/// Wait before the next `accept` after one has failed, for example with too many open files.
pub const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Multiple of the configured idle time-out after which an idle caller's connection is closed.
///
/// Callers reuse a connection within the idle time-out, so closing it at the time-out could race
/// with a new request.
const IDLE_TIMEOUT_FACTOR: u64 = 4;

/// Accepts callers' connections until `stop` is cancelled, then waits for all connections to end.
pub async fn run(
    service: sync::Arc<serve::Service>,
    listener: tokio_net::TcpListener,
    stop: CancellationToken,
) {
    let connections = task::TaskTracker::new();
    let serve = |stream| serve_connection(&service, stream, &connections, &stop);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(
                    "event=accept-failed listener=callers reason={:?}",
                    error.to_string()
                );
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    accept_established(listener).into_iter().for_each(serve);
    connections.close();
    connections.wait().await;
}

/// Closes `listener`; returns the connections that were established before, which would be reset.
fn accept_established(listener: tokio_net::TcpListener) -> Vec<tokio_net::TcpStream> {
    let mut streams = Vec::new();
    let accept_all = || -> io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            let (stream, _) = listener.accept()?;
            stream.set_nonblocking(true)?;
            streams.push(tokio_net::TcpStream::from_std(stream)?);
        }
    };
    if let Err(error) = accept_all()
        && error.kind() != io::ErrorKind::WouldBlock
    {
        log::warn!(
            "event=accept-failed listener=callers reason={:?}",
            error.to_string()
        );
    }
    streams
}

fn limits_in_force(core: &core::Core) -> limits::Limits {
    let view = core.view.load();
    let known = view.configuration.as_ref();
    known.map(|known| known.limits).unwrap_or_default()
}

fn serve_connection(
    service: &sync::Arc<serve::Service>,
    stream: tokio_net::TcpStream,
    connections: &task::TaskTracker,
    stop: &CancellationToken,
) {
    if let Err(error) = socket::configure(&stream, socket::Patience::Caller) {
        log::debug!("event=caller-refused reason={:?}", error.to_string());
        return;
    }
    let limits = limits_in_force(&service.core);
    let service = sync::Arc::clone(service);
    let progress = head_timeout::RequestProgress::default();
    let core = sync::Arc::clone(&service.core);
    let timeouts = Box::new(move || {
        let limits = limits_in_force(&core);
        head_timeout::Timeouts {
            head: limits.header_timeout,
            idle: limits.idle_timeout.times(IDLE_TIMEOUT_FACTOR),
        }
    });
    let caller = caller_connection::CallerConnection::default();
    let timed = head_timeout::HeadTimeoutStream::new(
        stream,
        caller.clone(),
        progress.clone(),
        timeouts,
        stop.clone(),
    );
    let serve = service::service_fn(move |mut message: hyper::Request<_>| {
        message.extensions_mut().insert(caller.clone());
        let service = sync::Arc::clone(&service);
        let serving_guard = progress.begin_request();
        let progress = progress.clone();
        let has_chunks = message.version() >= Version::HTTP_11;
        async move {
            let response = service.serve(message).await;
            // The body owns the guard, as the request ends when its response is sent or dropped.
            let response = response.map(|body| {
                let keep = move |frame| {
                    let _ = &serving_guard;
                    frame
                };
                let body = body.map_frame(keep);
                if has_chunks {
                    return body.boxed_unsync();
                }
                let record_cut = move |error| {
                    progress.record_cut();
                    error
                };
                body.map_err(record_cut).boxed_unsync()
            });
            Ok::<_, convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size((limits.max_head.0 as usize).max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(timed), serve);
    connections.spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection-closed reason={:?}", error.to_string());
        }
    });
}

/// Minimum read buffer; hyper panics on a smaller one.
const MIN_BUFFER_BYTES: usize = 8192;
