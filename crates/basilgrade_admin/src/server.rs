//! Server side of the admin interface, run by the daemon.

mod connection;
mod service;

use std::io;
use std::net;
use std::sync::Arc;
use std::thread;
use std::time;

use basilgrade_config::settings::peers::secret;
use tokio::sync::oneshot;

use crate::admin;

/// The limit of concurrent connections; operators open few, and each can hold a message in memory.
const MAX_CONNECTIONS: usize = 16;
/// The delay after a failed accept, for example if no file descriptors are left.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Serves operators' tools on a separate thread, because Cap'n Proto RPC is single-threaded.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and forwards calls of clients that know `secret` to `admin`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the thread cannot be started.
    pub fn start(
        address: net::SocketAddr,
        secret: secret::Secret,
        admin: Arc<dyn admin::Admin>,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                let local = tokio::task::LocalSet::new();
                let result = local.block_on(&runtime, async {
                    tokio::select! {
                        result = serve(listener, secret, admin) => result,
                        // The server also stops if the sender is dropped.
                        _ = stopped => Ok(()),
                    }
                });
                if let Err(error) = result {
                    log::error!("event=admin-stopped error=\"{error}\"");
                }
            })?;
        Ok(Self {
            address,
            stop,
            thread,
        })
    }

    /// The address on which the server listens, with the port that was actually bound.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes all connections and waits for the server thread to end.
    pub fn stop(self) {
        // Sending fails only if the thread has already ended.
        let _ = self.stop.send(());
        if self.thread.join().is_err() {
            log::error!("event=admin-panicked");
        }
    }
}

async fn serve(
    listener: net::TcpListener,
    secret: secret::Secret,
    admin: Arc<dyn admin::Admin>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=admin-accept error=\"{error}\"");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let secret = secret.clone();
        let admin = admin.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            if let Err(error) = connection::run(stream, &secret, admin).await {
                log::warn!("event=admin-refused peer={peer} error=\"{error}\"");
            }
        });
    }
}
