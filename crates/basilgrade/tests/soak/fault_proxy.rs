//! A TCP proxy on loopback that can impair the connections through it.

use std::net;
use std::time;

use tokio::net as tokio_net;
use tokio::sync::watch;

/// Impairment of all connections through a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Impairment {
    /// Forwards bytes in both directions.
    None,
    /// Delays each block of bytes by this time.
    Delay(time::Duration),
    /// Resets open and new connections.
    Reset,
    /// Forwards no bytes in either direction.
    Silence,
    /// Forwards requests but no answers.
    CutAnswers,
}

/// A running proxy; dropping it closes its connections.
pub(crate) struct Proxy {
    pub(crate) address: net::SocketAddr,
    impairment: watch::Sender<Impairment>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub(crate) async fn start(target: net::SocketAddr) -> Self {
        let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
        let (impairment, current) = watch::channel(Impairment::None);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(relay(stream, target, current.clone()));
            }
        });
        Self {
            address,
            impairment,
            task,
        }
    }

    /// Impairs open and new connections from now on.
    pub(crate) fn set_impairment(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }
}

/// Forwards one connection to `target` until it closes or is reset.
async fn relay(
    client: tokio_net::TcpStream,
    target: net::SocketAddr,
    mut impairment: watch::Receiver<Impairment>,
) {
    let Ok(server) = tokio_net::TcpStream::connect(target).await else {
        return;
    };
    let sockets = [
        socket2::SockRef::from(&client),
        socket2::SockRef::from(&server),
    ];
    // A linger time of zero makes the close a reset. If the option cannot be set, the connection
    // is closed in the ordinary way.
    let reset_on_close = |reset: bool| {
        for socket in &sockets {
            let _ = socket.set_linger(reset.then_some(time::Duration::ZERO));
        }
    };
    let requests = copy(&client, &server, impairment.clone(), Direction::Requests);
    let answers = copy(&server, &client, impairment.clone(), Direction::Answers);
    let reset_requested = impairment.wait_for(|impairment| *impairment == Impairment::Reset);
    let was_reset = tokio::select! {
        () = async { tokio::join!(requests, answers); } => false,
        _ = reset_requested => true,
    };
    reset_on_close(was_reset);
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Requests,
    Answers,
}

/// Copies bytes, as far as the impairment allows, until either end closes.
async fn copy(
    from: &tokio_net::TcpStream,
    to: &tokio_net::TcpStream,
    mut impairment: watch::Receiver<Impairment>,
    direction: Direction,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        if from.readable().await.is_err() {
            return;
        }
        let count = match from.try_read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let current = *impairment.borrow();
        if let Impairment::Delay(span) = current {
            tokio::time::sleep(span).await;
        }
        let passes = |impairment: &Impairment| {
            *impairment != Impairment::Silence
                && (*impairment != Impairment::CutAnswers || direction == Direction::Requests)
        };
        // The wait cannot fail: the proxy holds the sender of the impairment and outlives the
        // connection.
        let _ = impairment.wait_for(passes).await;
        if write_all(to, &buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = socket2::SockRef::from(to).shutdown(net::Shutdown::Write);
}

/// Writes all `bytes`, waiting whenever the send buffer of the socket is full.
async fn write_all(to: &tokio_net::TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
