//! The implementation of [`upstream::Upstream`] over HTTP/1.1.

use std::net;
use std::sync;
use std::sync::atomic;

use basilgrade_types::request;
use basilgrade_types::size;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future;
use futures::stream;
use http_body_util::Full;
use hyper::header;
use serde::Serialize;
use serde::de;
use tokio::time;

use crate::call;
use crate::call_error;
use crate::client::cancel;
use crate::client::counters;
use crate::client::exchange;
use crate::client::identity;
use crate::client::idle_pool;
use crate::client::settings;
use crate::client::shared_state;
use crate::client::sse;
use crate::client::token_stream;
use crate::client::whole_body;
use crate::load;
use crate::order;
use crate::reply;
use crate::token;
use crate::upstream;

/// Path of generation calls at engines.
const COMPLETIONS_PATH: &str = "/v1/completions";

#[derive(Serialize)]
struct Completion<'a> {
    prompt: &'a str,
    max_tokens: size::TokenCount,
    priority: u8,
    offset: size::TokenCount,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    received: &'a [String],
}

/// Limits of a control call: size of the response body and time.
#[derive(Clone, Copy)]
struct Bounds {
    body: size::ByteCount,
    time: basilgrade_types::clock::Millis,
}

/// Client that calls upstreams over HTTP/1.1 and sends each call at most once.
///
/// Clones share connections and counters. All calls must be made inside a tokio runtime.
#[derive(Clone, Debug)]
pub struct HttpUpstream {
    shared: sync::Arc<shared_state::SharedState>,
}

impl HttpUpstream {
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            shared: sync::Arc::new(shared_state::SharedState {
                counters: counters::AtomicCounters::default(),
                pool: idle_pool::Pool::new(settings.max_idle, settings.idle_timeout),
                cancels: sync::Arc::new(tokio::sync::Semaphore::new(settings.max_cancels)),
                settings,
            }),
        }
    }

    /// Returns a snapshot of the counters of the client.
    pub fn counters(&self) -> counters::Counters {
        self.shared.counters.read()
    }

    /// Returns the number of idle connections to the upstream at `address`.
    pub fn idle_connections(&self, address: net::SocketAddr) -> usize {
        self.shared.pool.count(address)
    }

    async fn send(&self, call: call::Call) -> Result<reply::Reply, call_error::CallError> {
        let guard = is_generation(&call).then(|| cancel::Guard::new(&self.shared, &call));
        let sent = guard.as_ref().map(cancel::Guard::sent).unwrap_or_default();
        let result = self.exchange(call, sent).await;
        if let Some(guard) = &guard
            && match &result {
                Ok(_) => true,
                Err(error) => error.verdict() == basilgrade_types::verdict::Verdict::NotRun,
            }
        {
            guard.disarm();
        }
        result
    }

    async fn exchange(
        &self,
        call: call::Call,
        sent: sync::Arc<atomic::AtomicBool>,
    ) -> Result<reply::Reply, call_error::CallError> {
        let deadline = deadline(call.time_left);
        let outgoing = outgoing(call, deadline, sent)?;
        let head = exchange::send(&self.shared, outgoing).await?;
        whole_body::read(&self.shared, head, self.shared.settings.max_body, deadline).await
    }

    fn control_bounds(&self) -> Bounds {
        Bounds {
            body: self.shared.settings.max_body,
            time: self.shared.settings.control_timeout,
        }
    }

    fn transfer_bounds(&self) -> Bounds {
        Bounds {
            body: self.shared.settings.max_kv,
            time: self.shared.settings.transfer_timeout,
        }
    }

    async fn control(
        &self,
        address: net::SocketAddr,
        method: hyper::Method,
        path: String,
        body: Bytes,
        bounds: Bounds,
    ) -> Result<Bytes, call_error::CallError> {
        let deadline = deadline(bounds.time);
        let identity = identity::Identity::control();
        let mut request = build(address, method, &path, body)?;
        exchange::prepare(&mut request, address, &identity);
        let outgoing = exchange::Outgoing {
            address,
            request,
            identity,
            reuse: exchange::Reuse::Pooled,
            deadline,
            sent: sync::Arc::default(),
        };
        let head = exchange::send(&self.shared, outgoing).await?;
        let reply = whole_body::read(&self.shared, head, bounds.body, deadline).await?;
        if reply.status.is_success() {
            return Ok(reply.body);
        }
        Err(call_error::CallError::Status(
            address,
            reply.status.as_u16(),
        ))
    }

    async fn fetch<T: de::DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: String,
    ) -> Result<T, call_error::CallError> {
        let bounds = self.control_bounds();
        let body = self
            .control(address, hyper::Method::GET, path, Bytes::new(), bounds)
            .await?;
        serde_json::from_slice(&body)
            .map_err(|error| call_error::CallError::Malformed(address, error.to_string()))
    }
}

impl Default for HttpUpstream {
    fn default() -> Self {
        Self::new(settings::Settings::default())
    }
}

impl upstream::Upstream for HttpUpstream {
    fn call(
        &self,
        call: call::Call,
    ) -> future::BoxFuture<'_, Result<reply::Reply, call_error::CallError>> {
        self.send(call).boxed()
    }

    fn generate(
        &self,
        generation: call::Generation,
    ) -> stream::BoxStream<'static, Result<token::Token, call_error::CallError>> {
        let deadline = deadline(generation.call.time_left);
        let decoder = sse::Decoder::new(generation.offset.0, generation.max_tokens.0);
        let guard = cancel::Guard::new(&self.shared, &generation.call);
        let sent = guard.sent();
        match completion_call(generation).and_then(|call| outgoing(call, deadline, sent)) {
            Ok(outgoing) => {
                let shared = sync::Arc::clone(&self.shared);
                token_stream::TokenStream::new(shared, outgoing, guard, decoder).boxed()
            }
            Err(error) => stream::iter([Err(error)]).boxed(),
        }
    }

    fn cancel(
        &self,
        address: net::SocketAddr,
        request: request::RequestId,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>> {
        let identity = identity::Identity {
            request,
            ..identity::Identity::control()
        };
        cancel::send(&self.shared, address, identity).boxed()
    }

    fn load(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<load::Load, call_error::CallError>> {
        self.fetch(address, "/load".to_owned()).boxed()
    }

    fn cache_events(
        &self,
        address: net::SocketAddr,
        seq: u64,
    ) -> future::BoxFuture<'_, Result<Vec<load::CacheEvent>, call_error::CallError>> {
        self.fetch(address, format!("/cache/events?from={seq}"))
            .boxed()
    }

    fn order(
        &self,
        address: net::SocketAddr,
        order: order::Order,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>> {
        async move {
            let body = encode(address, &order)?;
            let path = "/orders".to_owned();
            let bounds = self.control_bounds();
            self.control(address, hyper::Method::POST, path, body, bounds)
                .await
                .map(drop)
        }
        .boxed()
    }

    fn export_kv(
        &self,
        address: net::SocketAddr,
        prefix: u64,
    ) -> future::BoxFuture<'_, Result<Bytes, call_error::CallError>> {
        let path = format!("/kv/{prefix}");
        let bounds = self.transfer_bounds();
        self.control(address, hyper::Method::GET, path, Bytes::new(), bounds)
            .boxed()
    }

    fn import_kv(
        &self,
        address: net::SocketAddr,
        prefix: u64,
        cache: Bytes,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>> {
        let path = format!("/kv/{prefix}");
        let bounds = self.transfer_bounds();
        self.control(address, hyper::Method::PUT, path, cache, bounds)
            .map(|result| result.map(drop))
            .boxed()
    }
}

/// Returns the deadline of a call, limited to one day to stay within the range of the timer.
fn deadline(time_left: basilgrade_types::clock::Millis) -> time::Instant {
    const MAX_TIME: basilgrade_types::clock::Millis =
        basilgrade_types::clock::Millis::from_secs(86_400);
    time::Instant::now() + time_left.min(MAX_TIME).duration()
}

/// Whether the call is a generation, which has to be cancelled at the engine if abandoned.
fn is_generation(call: &call::Call) -> bool {
    call.path.split('?').next() == Some(COMPLETIONS_PATH)
}

/// Decides whether the call may use a pooled connection.
///
/// The upstream may be closing a pooled connection before the client notices. A call on it would
/// get the verdict `may have run` without having run, which rules out a retry of a non-idempotent
/// call.
fn reuse(call: &call::Call) -> exchange::Reuse {
    let is_service = call.echo == call::Echo::Optional;
    if call.key.is_some() || (is_service && !call.method.is_idempotent()) {
        return exchange::Reuse::Never;
    }
    exchange::Reuse::Pooled
}

fn outgoing(
    call: call::Call,
    deadline: time::Instant,
    sent: sync::Arc<atomic::AtomicBool>,
) -> Result<exchange::Outgoing, call_error::CallError> {
    let reuse = reuse(&call);
    let identity = identity::Identity::of(&call);
    let mut request = build(call.address, call.method, &call.path, call.body)?;
    *request.headers_mut() = call.headers;
    exchange::prepare(&mut request, call.address, &identity);
    request.headers_mut().remove(identity::KEY);
    if let Some(key) = call.key {
        identity::set(request.headers_mut(), identity::KEY, &key.to_string());
    }
    Ok(exchange::Outgoing {
        address: call.address,
        request,
        identity,
        reuse,
        deadline,
        sent,
    })
}

fn completion_call(generation: call::Generation) -> Result<call::Call, call_error::CallError> {
    let mut call = generation.call;
    call.method = hyper::Method::POST;
    COMPLETIONS_PATH.clone_into(&mut call.path);
    call.body = encode(
        call.address,
        &Completion {
            prompt: &generation.prompt,
            max_tokens: generation.max_tokens,
            priority: generation.priority,
            offset: generation.offset,
            model: generation
                .model
                .as_ref()
                .map(basilgrade_types::id::ModelId::as_str),
            received: &generation.received,
        },
    )?;
    call.headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    call.headers.insert(
        header::ACCEPT,
        header::HeaderValue::from_static("text/event-stream"),
    );
    Ok(call)
}

fn encode(
    address: net::SocketAddr,
    value: &impl Serialize,
) -> Result<Bytes, call_error::CallError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| call_error::CallError::Unsent(address, error.to_string()))
}

fn build(
    address: net::SocketAddr,
    method: hyper::Method,
    path: &str,
    body: Bytes,
) -> Result<hyper::Request<Full<Bytes>>, call_error::CallError> {
    let invalid_path = |reason: &str| {
        call_error::CallError::Unsent(address, format!("path `{path}` is invalid: {reason}"))
    };
    if method == hyper::Method::CONNECT {
        let reason = "method `CONNECT` would open a tunnel; use another method".to_owned();
        return Err(call_error::CallError::Unsent(address, reason));
    }
    // A path that does not start with a slash could name another host.
    if !path.starts_with('/') {
        return Err(invalid_path("start the path with `/`"));
    }
    let uri: hyper::Uri = path
        .parse()
        .map_err(|_| invalid_path("percent-encode characters that a URI does not allow"))?;
    let mut request = hyper::Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    Ok(request)
}
