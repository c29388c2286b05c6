//! A TCP proxy on loopback that harms the connections through it.

use std::net;
use std::time;

use tokio::net as tokio_net;
use tokio::sync::watch;

/// What happens to bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Harm {
    /// They pass.
    None,
    /// Each block is held up.
    Delay(time::Duration),
    /// Connections are reset, and new ones as well.
    Reset,
    /// Nothing passes in either direction.
    Silence,
    /// Requests pass, answers do not.
    CutAnswers,
}

/// A proxy; its connections end when it is dropped.
pub(crate) struct Proxy {
    pub(crate) address: net::SocketAddr,
    harm: watch::Sender<Harm>,
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
        let listener = listener.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let (harm, current) = watch::channel(Harm::None);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(relay(stream, target, current.clone()));
            }
        });
        Self {
            address,
            harm,
            task,
        }
    }

    pub(crate) fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn relay(
    near: tokio_net::TcpStream,
    target: net::SocketAddr,
    mut harm: watch::Receiver<Harm>,
) {
    let Ok(far) = tokio_net::TcpStream::connect(target).await else {
        return;
    };
    let sockets = [socket2::SockRef::from(&near), socket2::SockRef::from(&far)];
    // An option that cannot be set makes a reset an ordinary close.
    let linger = |on: bool| {
        for socket in &sockets {
            let _ = socket.set_linger(on.then_some(time::Duration::ZERO));
        }
    };
    let requests = copy(&near, &far, harm.clone(), Side::Requests);
    let answers = copy(&far, &near, harm.clone(), Side::Answers);
    let reset = harm.wait_for(|harm| *harm == Harm::Reset);
    let was_reset = tokio::select! {
        () = async { tokio::join!(requests, answers); } => false,
        _ = reset => true,
    };
    linger(was_reset);
}

#[derive(Clone, Copy, PartialEq)]
enum Side {
    Requests,
    Answers,
}

/// Copies until either end closes.
async fn copy(
    from: &tokio_net::TcpStream,
    to: &tokio_net::TcpStream,
    mut harm: watch::Receiver<Harm>,
    side: Side,
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
        let current = *harm.borrow();
        if let Harm::Delay(span) = current {
            tokio::time::sleep(span).await;
        }
        let passes = |harm: &Harm| {
            *harm != Harm::Silence && (*harm != Harm::CutAnswers || side == Side::Requests)
        };
        // The sender of the state outlives the connection.
        let _ = harm.wait_for(passes).await;
        if write(to, &buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = socket2::SockRef::from(to).shutdown(net::Shutdown::Write);
}

async fn write(to: &tokio_net::TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
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
