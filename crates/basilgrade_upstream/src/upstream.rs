//! Interface for calls to upstreams, which the HTTP client implements.

use std::net;

use basilgrade_types::request;
use bytes::Bytes;
use futures::future;
use futures::stream;

use crate::call;
use crate::call_error;
use crate::load;
use crate::order;
use crate::reply;
use crate::token;

/// Operations on upstreams. Implementations never send a call more than once.
pub trait Upstream: Send + Sync {
    /// Sends one call and returns its complete response.
    fn call(
        &self,
        call: call::Call,
    ) -> future::BoxFuture<'_, Result<reply::Reply, call_error::CallError>>;

    /// Starts one generation. The stream ends after the last token or with an error.
    fn generate(
        &self,
        generation: call::Generation,
    ) -> stream::BoxStream<'static, Result<token::Token, call_error::CallError>>;

    /// Cancels all attempts at a request on an engine.
    fn cancel(
        &self,
        address: net::SocketAddr,
        request: request::RequestId,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>>;

    /// Fetches the load report of an upstream.
    fn load(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<load::Load, call_error::CallError>>;

    /// Fetches the cache events of an engine from sequence number `seq` on.
    fn cache_events(
        &self,
        address: net::SocketAddr,
        seq: u64,
    ) -> future::BoxFuture<'_, Result<Vec<load::CacheEvent>, call_error::CallError>>;

    /// Sends the desired state to an engine.
    fn order(
        &self,
        address: net::SocketAddr,
        order: order::Order,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>>;

    /// Exports the KV cache of the prefix with hash `prefix` from an engine.
    fn export_kv(
        &self,
        address: net::SocketAddr,
        prefix: u64,
    ) -> future::BoxFuture<'_, Result<Bytes, call_error::CallError>>;

    /// Imports the KV cache of the prefix with hash `prefix` into an engine.
    fn import_kv(
        &self,
        address: net::SocketAddr,
        prefix: u64,
        cache: Bytes,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>>;
}
