//! Listener for callers' connections, with graceful shutdown.

use std::convert;
use std::io;
use std::net;
use std::sync;
use std::time;

use basilgrade_types::clock;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::graceful;
use tokio::net as tokio_net;
use tokio_util::sync::CancellationToken;

use crate::core;
use crate::serve;

/// Delay after a failed `accept`, which for example fails while too many files are open.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Connections accepted per request that may be in progress; more than one, as some are idle.
const CONNECTIONS_PER_REQUEST: usize = 2;

/// Listener for callers' connections.
pub struct Listener {
    core: sync::Arc<core::Core>,
    socket: tokio_net::TcpListener,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address is in use or not local.
    pub async fn bind(core: sync::Arc<core::Core>, address: net::SocketAddr) -> io::Result<Self> {
        let socket = tokio_net::TcpListener::bind(address).await?;
        Ok(Self { core, socket })
    }

    /// The bound address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the socket cannot report its address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves connections until `stop`. Then reports not ready, so that the load balancer sends
    /// nothing new, accepts connections for another `linger`, and returns when every request and
    /// stream has ended.
    pub async fn run(self, stop: CancellationToken, linger: clock::Millis) {
        let graceful = graceful::GracefulShutdown::new();
        let lingering = async {
            stop.cancelled().await;
            self.core.drain();
            log::info!("event=drain-started linger={linger}");
            tokio::time::sleep(linger.duration()).await;
        };
        tokio::pin!(lingering);
        let limit = self.core.components.limits.max_requests * CONNECTIONS_PER_REQUEST;
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(limit));
        loop {
            let accepting = async {
                // Connections beyond the limit wait in the backlog of the socket.
                let permit = sync::Arc::clone(&permits).acquire_owned().await.ok();
                (self.socket.accept().await, permit)
            };
            let (accepted, permit) = tokio::select! {
                () = &mut lingering => break,
                accepted = accepting => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream, permit, &graceful),
                Err(error) => {
                    log::warn!("event=accept-failed error={:?}", error.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(self.socket);
        graceful.shutdown().await;
        log::info!("event=drain-finished");
    }

    fn spawn_connection(
        &self,
        stream: tokio_net::TcpStream,
        permit: Option<tokio::sync::OwnedSemaphorePermit>,
        graceful: &graceful::GracefulShutdown,
    ) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("event=nodelay-failed error={:?}", error.to_string());
        }
        let core = sync::Arc::clone(&self.core);
        let limits = core.components.limits;
        let service = service::service_fn(move |request| {
            let core = sync::Arc::clone(&core);
            async move { Ok::<_, convert::Infallible>(serve::serve(core, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(limits.sender_timeout.duration())
            .max_buf_size((limits.head_bytes.0 as usize).max(MIN_BUFFER_BYTES))
            .serve_connection(rt::TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = watched.await {
                log::debug!("event=connection-closed error={:?}", error.to_string());
            }
        });
    }
}

/// Minimum read buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8192;
