//! Cancellation of abandoned calls at the engine.

use std::net;
use std::sync;
use std::sync::atomic;

use bytes::Bytes;
use http_body_util::Full;
use tokio::runtime;
use tokio::time;

use crate::call;
use crate::call_error;
use crate::client::counters;
use crate::client::exchange;
use crate::client::identity;
use crate::client::shared_state;
use crate::client::whole_body;

/// Cancels a generation at its engine if dropped after the call was sent and before the response
/// is complete.
pub(super) struct Guard {
    sent: sync::Arc<atomic::AtomicBool>,
    address: net::SocketAddr,
    identity: identity::Identity,
    handle: runtime::Handle,
    shared: sync::Arc<shared_state::SharedState>,
}

impl Guard {
    /// Creates a guard. Must be called inside the tokio runtime, because the guard may be dropped
    /// outside of it.
    pub(super) fn new(shared: &sync::Arc<shared_state::SharedState>, call: &call::Call) -> Self {
        Self {
            sent: sync::Arc::default(),
            address: call.address,
            identity: identity::Identity::of(call),
            handle: runtime::Handle::current(),
            shared: sync::Arc::clone(shared),
        }
    }

    /// Flag that has to be set while the engine may be running the call.
    pub(super) fn sent(&self) -> sync::Arc<atomic::AtomicBool> {
        sync::Arc::clone(&self.sent)
    }

    /// Prevents the cancellation; to be called when the engine is not running the call any more.
    pub(super) fn disarm(&self) {
        self.sent.store(false, atomic::Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.sent.load(atomic::Ordering::Relaxed) {
            return;
        }
        let permits = sync::Arc::clone(&self.shared.cancels);
        let Ok(permit) = permits.try_acquire_owned() else {
            // Too many cancellations are in flight; the closed connection still signals the engine.
            counters::increment(&self.shared.counters.cancels_dropped);
            return;
        };
        counters::increment(&self.shared.counters.cancels);
        let shared = sync::Arc::clone(&self.shared);
        let identity = self.identity.clone();
        let address = self.address;
        self.handle.spawn(async move {
            let request = identity.request;
            if let Err(error) = send(&shared, address, identity).await {
                log::debug!("request={request} cancel=failed error=\"{error}\"");
            }
            drop(permit);
        });
    }
}

/// Sends a cancellation of a request, or of one attempt at it if `identity` names a stage.
pub(super) async fn send(
    shared: &sync::Arc<shared_state::SharedState>,
    address: net::SocketAddr,
    mut identity: identity::Identity,
) -> Result<(), call_error::CallError> {
    identity.echo = call::Echo::Optional;
    let deadline = time::Instant::now() + shared.settings.control_timeout.duration();
    let mut request = hyper::Request::new(Full::new(Bytes::new()));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = format!("/v1/cancel/{}", identity.request)
        .parse()
        .map_err(|_| {
            call_error::CallError::Unsent(address, "request id is not valid in a path".to_owned())
        })?;
    exchange::prepare(&mut request, address, &identity);
    let outgoing = exchange::Outgoing {
        address,
        request,
        identity,
        reuse: exchange::Reuse::Pooled,
        deadline,
        sent: sync::Arc::default(),
    };
    let head = exchange::send(shared, outgoing).await?;
    let status = head.response.status();
    whole_body::read(shared, head, shared.settings.max_body, deadline).await?;
    if status.is_success() {
        return Ok(());
    }
    Err(call_error::CallError::Status(address, status.as_u16()))
}
