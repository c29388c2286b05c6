//! Links to other daemons, which are opened on the first call and reused by later calls.

use std::net;
use std::sync;
use std::time as std_time;

use indexmap::IndexMap;
use tarpc::client;
use tarpc::context;
use tokio::time;

use crate::error;
use crate::secret;
use crate::service;
use crate::traffic;
use crate::transport;

/// The time limit of one call on an open link. A slower peer is treated as not responding.
const CALL_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

/// How long calls to an address fail immediately after an attempt to connect to it failed, so that
/// not every call to a dead peer waits for the connect timeout.
const RECONNECT_DELAY: std_time::Duration = std_time::Duration::from_millis(500);

/// The link to one address, or the time of the last failed attempt to open it.
enum Link {
    Failed(time::Instant),
    Open(service::PeerClient),
}

/// The links from this daemon to other daemons, by address.
pub struct Links {
    secret: secret::Secret,
    traffic: sync::Arc<traffic::Traffic>,
    by_address: sync::Mutex<IndexMap<net::SocketAddr, Link>>,
}

impl Links {
    /// Creates an empty set of links. `secret` authenticates both sides of each link, and `traffic`
    /// counts the bytes of all links.
    pub fn new(secret: secret::Secret, traffic: sync::Arc<traffic::Traffic>) -> Self {
        Self {
            secret,
            traffic,
            by_address: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, Link>> {
        self.by_address
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Makes one call to the daemon at `address`, and opens a link to it if there is none.
    ///
    /// # Errors
    ///
    /// With [`error::LinkError::Call`], the peer may have executed the call. With all other errors,
    /// no link could be opened and the call was not sent.
    pub async fn call<T, F>(
        &self,
        address: net::SocketAddr,
        call: impl FnOnce(service::PeerClient, context::Context) -> F,
    ) -> Result<T, error::LinkError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let client = self.get_or_open(address).await?;
        let mut context = context::current();
        context.deadline = std_time::Instant::now() + CALL_TIMEOUT;
        match call(client, context).await {
            Ok(value) => Ok(value),
            Err(error) => {
                // Removes the link, as it may be broken; the next call opens a new one.
                self.lock().swap_remove(&address);
                Err(error::LinkError::Call(error.to_string()))
            }
        }
    }

    /// Removes the links to all addresses for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&net::SocketAddr) -> bool) {
        self.lock().retain(|address, _| is_known(address));
    }

    /// Returns the open link to `address`, or opens one.
    async fn get_or_open(
        &self,
        address: net::SocketAddr,
    ) -> Result<service::PeerClient, error::LinkError> {
        match self.lock().get(&address) {
            Some(Link::Open(client)) => return Ok(client.clone()),
            Some(Link::Failed(failed_at)) if failed_at.elapsed() < RECONNECT_DELAY => {
                return Err(error::LinkError::Timeout);
            }
            Some(Link::Failed(_)) | None => {}
        }
        match transport::connect(address, &self.secret, &self.traffic).await {
            Ok(transport) => {
                let client = service::PeerClient::new(client::Config::default(), transport).spawn();
                self.lock().insert(address, Link::Open(client.clone()));
                Ok(client)
            }
            Err(error) => {
                let failed = Link::Failed(time::Instant::now());
                self.lock().insert(address, failed);
                Err(error)
            }
        }
    }
}
