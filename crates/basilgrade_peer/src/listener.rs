//! Accepting of links from other daemons.

use std::io;
use std::net;
use std::sync;

use futures::StreamExt;
use tarpc::server;
use tarpc::server::Channel;
use tokio::net as tokio_net;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::secret;
use crate::server as peer_server;
use crate::service;
use crate::service::Peer;
use crate::traffic;
use crate::transport;

/// Links accepted at once; bounds what strangers can hold open. Three times the largest fleet
/// planned for.
const LINK_LIMIT: usize = 1200;

/// Wait after an error of `accept`, such as too many open files, before the next one.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A listener for other daemons.
pub struct Listener {
    socket: tokio_net::TcpListener,
    secret: secret::Secret,
    traffic: sync::Arc<traffic::Traffic>,
}

impl Listener {
    /// Binds `address`; `traffic` counts the bytes of the links.
    ///
    /// # Errors
    ///
    /// An I/O error when the address is in use or not local.
    pub async fn bind(
        address: net::SocketAddr,
        secret: secret::Secret,
        traffic: sync::Arc<traffic::Traffic>,
    ) -> io::Result<Self> {
        let socket = tokio_net::TcpListener::bind(address).await?;
        Ok(Self {
            socket,
            secret,
            traffic,
        })
    }

    /// The address bound.
    ///
    /// # Errors
    ///
    /// An I/O error of the socket.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves `peer` to authenticated daemons until `stop`.
    pub async fn run(self, peer: peer_server::PeerServer, stop: CancellationToken) {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(LINK_LIMIT));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = self.socket.accept() => accepted,
            };
            let Ok((stream, address)) = accepted else {
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = sync::Arc::clone(&permits).try_acquire_owned() else {
                log::warn!("event=peer-link-refused address={address} reason=too-many-links");
                continue;
            };
            let secret = self.secret.clone();
            let traffic = sync::Arc::clone(&self.traffic);
            let peer = peer.clone();
            let stop = stop.clone();
            tokio::spawn(async move {
                let _permit = permit;
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = serve(stream, address, &secret, &traffic, peer) => {}
                }
            });
        }
    }
}

async fn serve(
    stream: tokio_net::TcpStream,
    address: net::SocketAddr,
    secret: &secret::Secret,
    traffic: &sync::Arc<traffic::Traffic>,
    peer: peer_server::PeerServer,
) {
    let transport = match transport::accept::<
        tarpc::ClientMessage<service::PeerRequest>,
        tarpc::Response<service::PeerResponse>,
    >(stream, secret, traffic)
    .await
    {
        Ok(transport) => transport,
        Err(error) => {
            log::warn!(
                "event=peer-link-refused address={address} error={:?}",
                error.to_string()
            );
            return;
        }
    };
    server::BaseChannel::with_defaults(transport)
        .execute(peer.serve())
        .for_each(|response| async move {
            tokio::spawn(response);
        })
        .await;
}
