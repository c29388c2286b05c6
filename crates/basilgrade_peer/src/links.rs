//! Links to other daemons, opened when needed and kept.

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

/// Time for one call to a peer. A daemon that takes longer counts as not answering.
const CALL_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

/// After a failed connect, calls to the same address fail at once for this long, so that a dead
/// peer does not hold up callers for a connect timeout each.
const CONNECT_PAUSE: std_time::Duration = std_time::Duration::from_millis(500);

enum Link {
    Failed(time::Instant),
    Open(service::PeerClient),
}

/// Links to other daemons.
pub struct Links {
    secret: secret::Secret,
    traffic: sync::Arc<traffic::Traffic>,
    open: sync::Mutex<IndexMap<net::SocketAddr, Link>>,
}

impl Links {
    /// No link yet; `secret` authenticates both sides of each, `traffic` counts their bytes.
    pub fn new(secret: secret::Secret, traffic: sync::Arc<traffic::Traffic>) -> Self {
        Self {
            secret,
            traffic,
            open: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, IndexMap<net::SocketAddr, Link>> {
        self.open
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Makes one call to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// [`error::LinkError`]; the call may have taken effect unless the connection failed.
    pub async fn call<T, F>(
        &self,
        address: net::SocketAddr,
        call: impl FnOnce(service::PeerClient, context::Context) -> F,
    ) -> Result<T, error::LinkError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let link = self.link(address).await?;
        let mut context = context::current();
        context.deadline = std_time::Instant::now() + CALL_TIMEOUT;
        match call(link, context).await {
            Ok(value) => Ok(value),
            Err(error) => {
                // The next call opens a new link, as this one may be stuck.
                self.lock().swap_remove(&address);
                Err(error::LinkError::Call(error.to_string()))
            }
        }
    }

    /// Forgets links to addresses for which `known` says no.
    pub fn retain(&self, known: impl Fn(&net::SocketAddr) -> bool) {
        self.lock().retain(|address, _| known(address));
    }

    async fn link(
        &self,
        address: net::SocketAddr,
    ) -> Result<service::PeerClient, error::LinkError> {
        match self.lock().get(&address) {
            Some(Link::Open(client)) => return Ok(client.clone()),
            Some(Link::Failed(at)) if at.elapsed() < CONNECT_PAUSE => {
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
