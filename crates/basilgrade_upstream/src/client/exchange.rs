//! Sending one call and receiving the head of its answer.

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
use crate::client::shared;

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reuse {
    /// Only a new one: a pooled connection may be closing, which would leave the verdict of a
    /// non-idempotent call open.
    Never,
    /// A pooled connection if there is one.
    Pooled,
}

/// A call ready to be sent.
pub(super) struct Outgoing {
    pub(super) address: net::SocketAddr,
    pub(super) request: hyper::Request<Full<Bytes>>,
    pub(super) identity: identity::Identity,
    pub(super) reuse: Reuse,
    pub(super) deadline: time::Instant,
    /// Set before the first byte is sent.
    pub(super) sent: sync::Arc<atomic::AtomicBool>,
}

/// The head of an answer that belongs to its call.
pub(super) struct Answer {
    pub(super) connection: connection::Connection,
    pub(super) response: hyper::Response<body::Incoming>,
    /// Whether the connection may be pooled after the body was read.
    ///
    /// Without a complete echo, a duplicate of this answer could later be taken for the answer to
    /// the next call on the connection.
    pub(super) echoed: bool,
}

enum Sent {
    Answered(hyper::Response<body::Incoming>),
    /// The connection closed before it took the call.
    Untouched(hyper::Request<Full<Bytes>>),
}

/// Replaces the headers that the client itself sets.
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
/// A pooled connection that turns out closed before a byte was written hands the call back, and it
/// goes to the next connection. After the first byte nothing is sent again.
pub(super) async fn send(
    shared: &sync::Arc<shared::Shared>,
    outgoing: Outgoing,
) -> Result<Answer, call_error::CallError> {
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
            "no time was left".to_owned(),
        ));
    }
    while reuse == Reuse::Pooled
        && let Some(mut connection) = shared.pool.take(address)
    {
        match try_send(shared, &mut connection, request, deadline, &sent).await? {
            Sent::Answered(response) => {
                counters::increment(&shared.counting.reused);
                return accept(shared, connection, response, &identity);
            }
            Sent::Untouched(returned) => request = returned,
        }
    }
    let mut connection = connection::open(shared, address, deadline).await?;
    match try_send(shared, &mut connection, request, deadline, &sent).await? {
        Sent::Answered(response) => accept(shared, connection, response, &identity),
        Sent::Untouched(_) => Err(call_error::CallError::Connect(
            address,
            "closed before the call was sent".to_owned(),
        )),
    }
}

async fn try_send(
    shared: &shared::Shared,
    connection: &mut connection::Connection,
    mut request: hyper::Request<Full<Bytes>>,
    deadline: time::Instant,
    sent: &atomic::AtomicBool,
) -> Result<Sent, call_error::CallError> {
    let address = connection.address;
    // Waiting until the connection asks for a call makes `hyper` look for a close and for
    // unexpected bytes before it writes.
    let ready = time::timeout_at(deadline, connection.sender.ready()).await;
    if let Ok(Err(_)) = ready {
        return Ok(Sent::Untouched(request));
    }
    let left = deadline.saturating_duration_since(time::Instant::now());
    let left = left.as_millis() as u64;
    if ready.is_err() || left == 0 {
        return Err(call_error::CallError::Unsent(
            address,
            "time ran out before the connection was ready".to_owned(),
        ));
    }
    request
        .headers_mut()
        .insert(identity::TIME_LEFT, left.into());
    sent.store(true, atomic::Ordering::Relaxed);
    let sending = connection.sender.try_send_request(request);
    match time::timeout_at(deadline, sending).await {
        Ok(Ok(response)) => Ok(Sent::Answered(response)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => {
                let cause = error.error().source();
                if let Some(cause) = cause.and_then(|cause| cause.downcast_ref()) {
                    connection::note_unexpected(shared, address, cause);
                }
                sent.store(false, atomic::Ordering::Relaxed);
                Ok(Sent::Untouched(request))
            }
            None => Err(classify(address, error.error())),
        },
        Err(_) => {
            counters::increment(&shared.counting.timeouts);
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

/// Checks that the answer belongs to the call and is not a refusal or a server error.
fn accept(
    shared: &shared::Shared,
    connection: connection::Connection,
    response: hyper::Response<body::Incoming>,
    identity: &identity::Identity,
) -> Result<Answer, call_error::CallError> {
    let address = connection.address;
    let is = |name: &str, value: &str| {
        response
            .headers()
            .get(name)
            .is_some_and(|found| found.as_bytes() == value.as_bytes())
    };
    let status = response.status();
    let unavailable = status == hyper::StatusCode::SERVICE_UNAVAILABLE;
    let leaving = unavailable && is(identity::LEAVING, "true");
    let echoed = match identity.check(address, response.headers()) {
        Ok(echoed) => echoed,
        // The sign concerns the upstream, whichever call it answers.
        Err(_) if leaving => return Err(call_error::CallError::Leaving(address)),
        Err(error) => {
            counters::increment(&shared.counting.mismatches);
            log::warn!(
                "request={} dropped=mismatch error=\"{error}\"",
                identity.request
            );
            return Err(error);
        }
    };
    if status.is_informational() {
        let reason = format!("status {status} is not a final answer");
        return Err(call_error::CallError::Malformed(address, reason));
    }
    if !status.is_server_error() {
        return Ok(Answer {
            connection,
            response,
            echoed,
        });
    }
    let refused = unavailable && is(identity::VERDICT, "not-run");
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
