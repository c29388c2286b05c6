//! The border between the executor and the network.

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

/// Everything that is asked of upstreams. Implementations never send a call twice by themselves.
pub trait Upstream: Send + Sync {
    /// Sends one call and returns its whole answer.
    fn call(
        &self,
        call: call::Call,
    ) -> future::BoxFuture<'_, Result<reply::Reply, call_error::CallError>>;

    /// Starts one generation; the stream ends after the last token or with an error.
    fn generate(
        &self,
        generation: call::Generation,
    ) -> stream::BoxStream<'static, Result<token::Token, call_error::CallError>>;

    /// Tells an engine that nobody waits for a request any more.
    fn cancel(
        &self,
        address: net::SocketAddr,
        request: request::RequestId,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>>;

    /// Fetches a load report.
    fn load(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, Result<load::Load, call_error::CallError>>;

    /// Fetches cache events from `seq` on.
    fn cache_events(
        &self,
        address: net::SocketAddr,
        seq: u64,
    ) -> future::BoxFuture<'_, Result<Vec<load::CacheEvent>, call_error::CallError>>;

    /// Sends an order.
    fn order(
        &self,
        address: net::SocketAddr,
        order: order::Order,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>>;

    /// Exports the KV cache of a prefix.
    fn export_kv(
        &self,
        address: net::SocketAddr,
        prefix: u64,
    ) -> future::BoxFuture<'_, Result<Bytes, call_error::CallError>>;

    /// Imports the KV cache of a prefix.
    fn import_kv(
        &self,
        address: net::SocketAddr,
        prefix: u64,
        cache: Bytes,
    ) -> future::BoxFuture<'_, Result<(), call_error::CallError>>;
}
