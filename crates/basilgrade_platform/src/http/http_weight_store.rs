//! HTTP client of the weight store.

use std::net;

use futures::FutureExt;
use futures::future;

use crate::error;
use crate::http::settings;
use crate::http::transport;
use crate::weight_store;

/// A client that fetches the delivery rate and the model sizes with `GET /weights`.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    transport: transport::Transport,
}

impl HttpWeightStore {
    /// Creates a client of the weight store at `address`.
    pub fn new(address: net::SocketAddr, settings: settings::Settings) -> Self {
        Self {
            transport: transport::Transport::new(address, settings),
        }
    }
}

impl weight_store::WeightStore for HttpWeightStore {
    fn info(&self) -> future::BoxFuture<'_, Result<weight_store::StoreInfo, error::ReadError>> {
        self.transport.fetch("/weights").boxed()
    }
}
