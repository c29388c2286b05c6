//! Path from some daemons to an upstream, as a TCP proxy that a test can cut.

use std::io;
use std::net;

use tokio::net as tokio_net;
use tokio::sync::watch;

use super::port;

/// State of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PathState {
    /// Connections work.
    Open,
    /// Open connections are reset, new ones are refused.
    Refused,
    /// Open connections fall silent, new ones are not established.
    Silent,
    /// Open connections live on, new ones are refused.
    NewRefused,
}

/// A running proxy; dropping it closes its listener.
pub(crate) struct Path {
    pub(crate) address: net::SocketAddr,
    state: watch::Sender<PathState>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Path {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Path {
    /// Starts an open path to `target`.
    pub(crate) fn start(target: net::SocketAddr) -> Self {
        let address = port::free_address();
        let (state, current) = watch::channel(PathState::Open);
        let listener = listen(address).expect("the port was free");
        let task = tokio::spawn(accept(listener, target, current));
        Self {
            address,
            state,
            task,
        }
    }

    pub(crate) fn set(&self, state: PathState) {
        self.state.send_replace(state);
    }
}

fn listen(address: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1)
}

/// Fills the queue of a listener that accepts nothing, so that further connections are not
/// established; they are not refused either.
async fn fill_queue(address: net::SocketAddr) -> Vec<tokio_net::TcpStream> {
    const WAIT: std::time::Duration = std::time::Duration::from_millis(50);
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(WAIT, tokio_net::TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    queued
}

async fn accept(
    listener: tokio_net::TcpListener,
    target: net::SocketAddr,
    mut state: watch::Receiver<PathState>,
) {
    let address = listener.local_addr().expect("the listener has an address");
    let mut listener = Some(listener);
    let mut queued = Vec::new();
    loop {
        let current = *state.borrow_and_update();
        match current {
            PathState::Open | PathState::Silent if listener.is_none() => {
                listener = Some(listen(address).expect("the port is still free"));
            }
            PathState::Refused | PathState::NewRefused => listener = None,
            PathState::Open | PathState::Silent => {}
        }
        if current == PathState::Silent {
            if queued.is_empty() {
                queued = fill_queue(address).await;
            }
        } else {
            queued.clear();
        }
        let listening = listener.as_ref().filter(|_| current == PathState::Open);
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = async {
                match listening {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            } => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(forward(stream, target, state.clone()));
                }
            }
        }
    }
}

/// Forwards one connection to `target` until it closes or the path is cut.
async fn forward(
    mut stream: tokio_net::TcpStream,
    target: net::SocketAddr,
    mut state: watch::Receiver<PathState>,
) {
    let Ok(mut server) = tokio_net::TcpStream::connect(target).await else {
        return;
    };
    let is_cut = |state: &PathState| matches!(state, PathState::Refused | PathState::Silent);
    let was_cut = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut server) => false,
        cut = state.wait_for(is_cut) => cut.is_ok(),
    };
    if !was_cut {
        return;
    }
    // The upstream hears of the end of a connection, the daemon does not while the path is silent.
    drop(server);
    if *state.borrow() == PathState::Silent {
        let _ = state.wait_for(|state| *state != PathState::Silent).await;
    }
    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
}
