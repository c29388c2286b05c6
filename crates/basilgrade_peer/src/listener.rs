//! Accepts links from other daemons.

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

/// The maximum number of connections open at once, including those that are not authenticated yet,
/// which prevents unauthenticated clients from exhausting the daemon's memory and file descriptors.
///
/// The number is three times that of the daemons in the largest planned deployment.
const MAX_LINKS: usize = 1200;

/// The time between a failed `accept`, for example with too many open files, and the next one.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts connections from other daemons, authenticates them and serves their calls.
pub struct Listener {
    socket: tokio_net::TcpListener,
    secret: secret::Secret,
    traffic: sync::Arc<traffic::Traffic>,
}

impl Listener {
    /// Binds the listener to `address`. `secret` authenticates both sides of each link, and
    /// `traffic` counts the bytes of all links.
    ///
    /// # Errors
    ///
    /// An I/O error if the address is in use or does not belong to this VM.
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

    /// The local address of the listener, with the port that the system chose if port 0 was bound.
    ///
    /// # Errors
    ///
    /// An I/O error if the system cannot determine the address of the socket.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves calls of authenticated daemons with `peer` until `stop` is cancelled.
    pub async fn run(self, peer: peer_server::PeerServer, stop: CancellationToken) {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(MAX_LINKS));
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = self.socket.accept() => accepted,
            };
            let Ok((stream, address)) = accepted else {
                time::sleep(ACCEPT_RETRY_DELAY).await;
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
