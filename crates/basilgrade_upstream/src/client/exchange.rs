//! Sends one call and receives the head of its response.

use std::error::Error;
use std::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use tokio::time;

use crate::call_error;
use crate::client::connection;
use crate::client::counters;
use crate::client::identity;
use crate::client::shared_state;

/// Whether a call may use a pooled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reuse {
    /// The call needs a new connection. If the upstream were closing a pooled one, the verdict of a
    /// non-idempotent call would be uncertain.
    Never,
    /// The call uses a pooled connection if one is idle.
    Pooled,
}

/// A call that is ready to be sent, with its deadline.
pub(super) struct Outgoing {
    pub(super) address: net::SocketAddr,
    pub(super) request: hyper::Request<Full<Bytes>>,
    pub(super) identity: identity::Identity,
    pub(super) reuse: Reuse,
    pub(super) deadline: time::Instant,
    /// Set before the first byte of the call is written.
    pub(super) sent: sync::Arc<atomic::AtomicBool>,
}

/// The head of a response that belongs to its call, with the body still to be read.
pub(super) struct ResponseHead {
    pub(super) connection: connection::Connection,
    pub(super) response: hyper::Response<body::Incoming>,
    /// Whether the response echoed the whole identity of the call. Only then may the connection be
    /// pooled after the body is read.
    ///
    /// Without a complete echo, a duplicate of this response could be mistaken for the response to
    /// the next call on the connection.
    pub(super) echoed: bool,
}

enum SendOutcome {
    Response(hyper::Response<body::Incoming>),
    /// The connection closed before a byte of the call was written.
    NotSent(hyper::Request<Full<Bytes>>),
}

/// Removes connection headers of the caller and sets the headers of the client.
pub(super) fn prepare(
    request: &mut hyper::Request<Full<Bytes>>,
    address: net::SocketAddr,
    identity: &identity::Identity,
) {
    let headers = request.headers_mut();
    identity::strip(headers);
    identity::set(headers, "host", &address.to_string());
    identity.write(headers);
}

/// Sends a call once.
///
/// If a pooled connection turns out to be closed before a byte of the call is written, the call
/// uses the next connection. After the first byte is written, the call is never sent again.
pub(super) async fn send(
    shared: &sync::Arc<shared_state::SharedState>,
    outgoing: Outgoing,
) -> Result<ResponseHead, call_error::CallError> {
    let Outgoing {
        address,
        mut request,
        identity,
        reuse,
        deadline,
        sent,
    } = outgoing;
    if time::Instant::now() >= deadline {
        return Err(call_error::CallError::Unsent(
            address,
            "the time left was used up; allow the request more time".to_owned(),
        ));
    }
    while reuse == Reuse::Pooled
        && let Some(mut connection) = shared.pool.take(address)
    {
        match try_send(shared, &mut connection, request, deadline, &sent).await? {
            SendOutcome::Response(response) => {
                counters::increment(&shared.counters.reused);
                return check_response(shared, connection, response, &identity);
            }
            SendOutcome::NotSent(returned) => request = returned,
        }
    }
    let mut connection = connection::open(shared, address, deadline).await?;
    match try_send(shared, &mut connection, request, deadline, &sent).await? {
        SendOutcome::Response(response) => check_response(shared, connection, response, &identity),
        SendOutcome::NotSent(_) => Err(call_error::CallError::Connect(
            address,
            "the connection was closed before the call was sent".to_owned(),
        )),
    }
}

async fn try_send(
    shared: &shared_state::SharedState,
    connection: &mut connection::Connection,
    mut request: hyper::Request<Full<Bytes>>,
    deadline: time::Instant,
    sent: &atomic::AtomicBool,
) -> Result<SendOutcome, call_error::CallError> {
    let address = connection.address;
    // Awaiting readiness makes `hyper` detect a closed connection and unexpected bytes before it
    // writes the call.
    let ready = time::timeout_at(deadline, connection.sender.ready()).await;
    if let Ok(Err(_)) = ready {
        return Ok(SendOutcome::NotSent(request));
    }
    let time_left = deadline.saturating_duration_since(time::Instant::now());
    let time_left = time_left.as_millis() as u64;
    if ready.is_err() || time_left == 0 {
        return Err(call_error::CallError::Unsent(
            address,
            "the time left ran out before the connection was ready; allow the request more time"
                .to_owned(),
        ));
    }
    request
        .headers_mut()
        .insert(identity::TIME_LEFT_MS, time_left.into());
    sent.store(true, atomic::Ordering::Relaxed);
    let sending = connection.sender.try_send_request(request);
    match time::timeout_at(deadline, sending).await {
        Ok(Ok(response)) => Ok(SendOutcome::Response(response)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => {
                let cause = error.error().source();
                if let Some(cause) = cause.and_then(|cause| cause.downcast_ref()) {
                    connection::record_unexpected_bytes(shared, address, cause);
                }
                sent.store(false, atomic::Ordering::Relaxed);
                Ok(SendOutcome::NotSent(request))
            }
            None => Err(classify(address, error.error())),
        },
        Err(_) => {
            counters::increment(&shared.counters.timeouts);
            Err(call_error::CallError::Timeout(address))
        }
    }
}

fn classify(address: net::SocketAddr, error: &hyper::Error) -> call_error::CallError {
    if error.is_parse() {
        return call_error::CallError::Malformed(address, error.to_string());
    }
    call_error::CallError::Broken(address, error.to_string())
}

/// Checks that the response belongs to the call and is neither a refusal nor a server error.
fn check_response(
    shared: &shared_state::SharedState,
    connection: connection::Connection,
    response: hyper::Response<body::Incoming>,
    identity: &identity::Identity,
) -> Result<ResponseHead, call_error::CallError> {
    let address = connection.address;
    let has_header = |name: &str, value: &str| {
        response
            .headers()
            .get(name)
            .is_some_and(|found| found.as_bytes() == value.as_bytes())
    };
    let status = response.status();
    let unavailable = status == hyper::StatusCode::SERVICE_UNAVAILABLE;
    let leaving = unavailable && has_header(identity::LEAVING, "true");
    let echoed = match identity.check(address, response.headers()) {
        Ok(echoed) => echoed,
        // The header says that the upstream is leaving, whichever call the response belongs to.
        Err(_) if leaving => return Err(call_error::CallError::Leaving(address)),
        Err(error) => {
            counters::increment(&shared.counters.mismatches);
            log::warn!(
                "request={} dropped=mismatch error=\"{error}\"",
                identity.request
            );
            return Err(error);
        }
    };
    if status.is_informational() {
        let reason = format!("status `{status}` is informational, not final");
        return Err(call_error::CallError::Malformed(address, reason));
    }
    if !status.is_server_error() {
        return Ok(ResponseHead {
            connection,
            response,
            echoed,
        });
    }
    let refused = unavailable && has_header(identity::VERDICT, "not-run");
    if echoed && body::Body::is_end_stream(response.body()) {
        shared.pool.put(connection);
    }
    if refused {
        return Err(call_error::CallError::Refused(address, leaving));
    }
    if leaving {
        return Err(call_error::CallError::Leaving(address));
    }
    Err(call_error::CallError::Status(address, status.as_u16()))
}
