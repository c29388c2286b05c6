//! An upstream client with scripted behaviour.

use std::collections;
use std::net;
use std::sync;

use basilgrade_types::clock;
use basilgrade_types::request;
use basilgrade_upstream::call;
use basilgrade_upstream::call_error;
use basilgrade_upstream::load;
use basilgrade_upstream::order;
use basilgrade_upstream::reply;
use basilgrade_upstream::token;
use basilgrade_upstream::upstream;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future;
use futures::stream;

/// Behaviour of an upstream when it is called.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Behaviour {
    /// Responds after 10 ms.
    #[default]
    Answer,
    /// Resets the connection 10 ms after the call was sent, so that the call may have run.
    Reset,
    /// Never responds; the call times out.
    Hang,
    /// Responds after this delay.
    Delay(clock::Millis),
    /// Refuses the call because it is leaving.
    LeavingRefused,
    /// Reports that it is leaving, but not whether the call ran.
    LeavingUnknown,
    /// Refuses the connection, so that the call was not run.
    Refuse,
}

/// All upstreams of a test, identified by their ports.
#[derive(Clone, Default)]
pub(crate) struct FakeUpstream {
    behaviours: sync::Arc<sync::Mutex<collections::BTreeMap<u16, Behaviour>>>,
    calls: sync::Arc<sync::Mutex<Vec<(u16, u32)>>>,
}

impl FakeUpstream {
    /// Sets the behaviour of the upstream on `port` for all further calls.
    pub(crate) fn set(&self, port: u16, behaviour: Behaviour) {
        let mut behaviours = self.behaviours.lock().expect("expected an unpoisoned lock");
        behaviours.insert(port, behaviour);
    }

    /// Port and attempt number of each call so far.
    pub(crate) fn calls(&self) -> Vec<(u16, u32)> {
        self.calls
            .lock()
            .expect("expected an unpoisoned lock")
            .clone()
    }

    fn behaviour(&self, port: u16) -> Behaviour {
        let behaviours = self.behaviours.lock().expect("expected an unpoisoned lock");
        behaviours.get(&port).copied().unwrap_or_default()
    }
}

async fn sleep(delay: clock::Millis) {
    tokio::time::sleep(delay.duration()).await;
}

async fn respond(
    call: call::Call,
    behaviour: Behaviour,
) -> Result<reply::Reply, call_error::CallError> {
    let address = call.address;
    match behaviour {
        Behaviour::Answer => sleep(clock::Millis(10)).await,
        Behaviour::Delay(delay) => sleep(delay).await,
        Behaviour::Refuse => {
            return Err(call_error::CallError::Connect(
                address,
                "refused".to_owned(),
            ));
        }
        Behaviour::LeavingRefused => return Err(call_error::CallError::Refused(address, true)),
        Behaviour::LeavingUnknown => return Err(call_error::CallError::Leaving(address)),
        Behaviour::Reset => {
            sleep(clock::Millis(10)).await;
            return Err(call_error::CallError::Broken(address, "reset".to_owned()));
        }
        Behaviour::Hang => {
            sleep(call.time_left).await;
            return Err(call_error::CallError::Timeout(address));
        }
    }
    let text = format!("{}>{}", String::from_utf8_lossy(&call.body), call.stage);
    Ok(reply::Reply {
        status: hyper::StatusCode::OK,
        headers: hyper::HeaderMap::new(),
        body: Bytes::from(text),
    })
}

impl upstream::Upstream for FakeUpstream {
    fn call(
        &self,
        call: call::Call,
    ) -> future::BoxFuture<'_, Result<reply::Reply, call_error::CallError>> {
        let port = call.address.port();
        let attempt = (port, call.attempt.0);
        self.calls
            .lock()
            .expect("expected an unpoisoned lock")
            .push(attempt);
        respond(call, self.behaviour(port)).boxed()
    }

    fn generate(
        &self,
        generation: call::Generation,
    ) -> stream::BoxStream<'static, Result<token::Token, call_error::CallError>> {
        let timeout = call_error::CallError::Timeout(generation.call.address);
        stream::iter([Err(timeout)]).boxed()
    }

    fn cancel(
        &self,
        _: net::SocketAddr,
        _: request::RequestId,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>> {
        future::ready(Ok(())).boxed()
    }

    fn load(
        &self,
        _: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<load::Load, call_error::CallError>> {
        future::ready(Ok(load::Load::default())).boxed()
    }

    fn cache_events(
        &self,
        _: net::SocketAddr,
        _: u64,
    ) -> future::BoxFuture<'_, Result<Vec<load::CacheEvent>, call_error::CallError>> {
        future::ready(Ok(Vec::new())).boxed()
    }

    fn order(
        &self,
        _: net::SocketAddr,
        _: order::Order,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>> {
        future::ready(Ok(())).boxed()
    }

    fn export_kv(
        &self,
        _: net::SocketAddr,
        _: u64,
    ) -> future::BoxFuture<'_, Result<Bytes, call_error::CallError>> {
        future::ready(Ok(Bytes::new())).boxed()
    }

    fn import_kv(
        &self,
        _: net::SocketAddr,
        _: u64,
        _: Bytes,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>> {
        future::ready(Ok(())).boxed()
    }
}
