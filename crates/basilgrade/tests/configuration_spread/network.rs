//! Network of a fleet: TCP proxies between machines, with latencies, bandwidths and faults.

use std::io;
use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Size of a piece of data that passes a link as a whole, in bytes.
const CHUNK: usize = 8 << 10;

/// Number of chunks of one connection that are under way.
const WINDOW: usize = 8;

/// Size of the socket buffers of proxies, in bytes.
const SOCKET_BUFFER: usize = 32 << 10;

/// First interval until a lost packet is sent again; doubles with each try.
const RETRANSMISSION: time::Duration = time::Duration::from_millis(200);

/// Time after which a daemon gives up a connection whose bytes are not acknowledged.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Number of connections that a listener holds before they are accepted.
const BACKLOG: u32 = 8;

/// What a machine reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reach {
    All,
    /// The other machines, but not the store.
    NoStore,
    Nothing,
}

/// How the open connections of a machine end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Break {
    Reset,
    /// Nothing passes any more, and keep-alive probes end the connection.
    Silence,
}

/// One direction of the link of a machine.
struct Lane {
    bytes_per_s: sync::Mutex<f64>,
    free_at: sync::Mutex<time::Instant>,
}

impl Lane {
    fn new(mbit_per_s: f64) -> Self {
        Self {
            bytes_per_s: sync::Mutex::new(mbit_per_s * 1e6 / 8.0),
            free_at: sync::Mutex::new(time::Instant::now()),
        }
    }

    fn lock_bandwidth(&self) -> sync::MutexGuard<'_, f64> {
        self.bytes_per_s
            .lock()
            .expect("no holder of the lock panics")
    }

    /// Sends `bytes` after what is already queued; returns when the last byte has left.
    fn send(&self, bytes: usize) -> time::Instant {
        let mut free_at = self.free_at.lock().expect("no holder of the lock panics");
        let bytes_per_s = *self.lock_bandwidth();
        let span = time::Duration::from_secs_f64(bytes as f64 / bytes_per_s);
        *free_at = (*free_at).max(time::Instant::now()) + span;
        *free_at
    }
}

/// Link of a machine.
pub(crate) struct Machine {
    up: Lane,
    down: Lane,
    reach: watch::Sender<Reach>,
    breaks: watch::Sender<Break>,
}

impl Machine {
    pub(crate) fn new(mbit_per_s: f64) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            up: Lane::new(mbit_per_s),
            down: Lane::new(mbit_per_s),
            reach: watch::Sender::new(Reach::All),
            breaks: watch::Sender::new(Break::Reset),
        })
    }

    pub(crate) fn set_reach(&self, reach: Reach) {
        self.reach.send_replace(reach);
    }

    /// Multiplies the bandwidth of the link.
    pub(crate) fn scale_bandwidth(&self, factor: f64) {
        for lane in [&self.up, &self.down] {
            *lane.lock_bandwidth() *= factor;
        }
    }

    /// Ends the open connections of the machine.
    pub(crate) fn break_connections(&self, how: Break) {
        self.breaks.send_replace(how);
    }
}

/// Way from a machine to another one or to the store.
#[derive(Clone)]
pub(crate) struct Route {
    pub(crate) from: sync::Arc<Machine>,
    /// The store if `None`, whose link is wide.
    pub(crate) to: Option<sync::Arc<Machine>>,
    pub(crate) latency: time::Duration,
    /// Address at which the server listens.
    pub(crate) target: net::SocketAddr,
}

impl Route {
    fn is_open(&self) -> bool {
        let needed = |reach| match self.to {
            Some(_) => reach != Reach::Nothing,
            None => reach == Reach::All,
        };
        let to = self.to.as_ref();
        needed(*self.from.reach.borrow())
            && to.is_none_or(|to| *to.reach.borrow() != Reach::Nothing)
    }

    /// Waits until the route may have opened or closed.
    async fn changed(&self) {
        let mut from = self.from.reach.subscribe();
        let to = self.to.as_ref().unwrap_or(&self.from);
        let mut to = to.reach.subscribe();
        // A change between a look at the state and the subscription is seen at the time-out.
        let pause = tokio::time::sleep(time::Duration::from_millis(100));
        tokio::select! {
            _ = from.changed() => {}
            _ = to.changed() => {}
            () = pause => {}
        }
    }

    /// Waits while the route is cut, and for the next retransmission after that.
    ///
    /// # Errors
    ///
    /// If the connection is given up meanwhile.
    async fn wait_open(&self) -> io::Result<()> {
        if self.is_open() {
            return Ok(());
        }
        let began = time::Instant::now();
        while !self.is_open() {
            self.changed().await;
            if began.elapsed() > USER_TIMEOUT {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        let mut interval = RETRANSMISSION;
        let mut sent_at = began + interval;
        while sent_at < time::Instant::now() {
            interval *= 2;
            sent_at += interval;
        }
        tokio::time::sleep_until(sent_at.into()).await;
        Ok(())
    }

    /// Waits until the connections of one of the machines break.
    async fn broken(&self) -> Break {
        let mut from = self.from.breaks.subscribe();
        let to = self.to.as_ref().unwrap_or(&self.from);
        let mut to = to.breaks.subscribe();
        tokio::select! {
            _ = from.changed() => *from.borrow(),
            _ = to.changed() => *to.borrow(),
        }
    }

    /// Passes on what arrives from `read` to `write`; `is_reply` tells the direction.
    async fn pump(
        &self,
        mut read: tokio_net::tcp::ReadHalf<'_>,
        mut write: tokio_net::tcp::WriteHalf<'_>,
        is_reply: bool,
    ) -> io::Result<()> {
        let from = Some(&self.from);
        let (sender, receiver) = if is_reply {
            (self.to.as_ref(), from)
        } else {
            (from, self.to.as_ref())
        };
        let (queue, mut queued) = mpsc::channel::<(time::Instant, Vec<u8>)>(WINDOW);
        let reading = async {
            let queue = queue;
            loop {
                let mut chunk = vec![0; CHUNK];
                let size = read.read(&mut chunk).await?;
                if size == 0 {
                    return Ok::<(), io::Error>(());
                }
                chunk.truncate(size);
                let sent_at =
                    sender.map_or_else(time::Instant::now, |machine| machine.up.send(size));
                if queue.send((sent_at, chunk)).await.is_err() {
                    return Ok(());
                }
            }
        };
        let writing = async {
            while let Some((sent_at, chunk)) = queued.recv().await {
                tokio::time::sleep_until((sent_at + self.latency).into()).await;
                self.wait_open().await?;
                if let Some(machine) = receiver {
                    tokio::time::sleep_until(machine.down.send(chunk.len()).into()).await;
                }
                write.write_all(&chunk).await?;
            }
            self.wait_open().await?;
            write.shutdown().await
        };
        tokio::try_join!(reading, writing).map(|_| ())
    }

    /// Forwards one connection until it ends or breaks.
    async fn forward(self, mut client: tokio_net::TcpStream) {
        // An error is ignored: the client may be gone.
        let _ = client.set_nodelay(true);
        tokio::time::sleep(self.latency * 2).await;
        let Ok(mut server) = connect(self.target).await else {
            return;
        };
        let broken = self.broken();
        let ending = {
            let (client_read, client_write) = client.split();
            let (server_read, server_write) = server.split();
            let passing = async {
                tokio::try_join!(
                    self.pump(client_read, server_write, false),
                    self.pump(server_read, client_write, true),
                )
            };
            tokio::select! {
                outcome = passing => outcome.is_err().then_some(Break::Reset),
                how = broken => Some(how),
            }
        };
        match ending {
            None => return,
            Some(Break::Reset) => {}
            Some(Break::Silence) => tokio::time::sleep(USER_TIMEOUT).await,
        }
        for stream in [&client, &server] {
            // An error is ignored: the connection may be gone.
            let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
        }
    }

    /// Accepts connections at `address` and forwards them; never returns.
    pub(crate) async fn serve(self, address: net::SocketAddr) {
        let listener = listen(address).expect("the address is free");
        let mut queued = Vec::new();
        loop {
            if !self.is_open() {
                if queued.is_empty() {
                    queued = fill_queue(address).await;
                }
                self.changed().await;
                continue;
            }
            queued.clear();
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().forward(stream));
                    }
                }
                () = self.closed() => {}
            }
        }
    }

    async fn closed(&self) {
        let mut from = self.from.reach.subscribe();
        let to = self.to.as_ref().unwrap_or(&self.from);
        let mut to = to.reach.subscribe();
        while self.is_open() {
            tokio::select! {
                _ = from.changed() => {}
                _ = to.changed() => {}
            }
        }
    }
}

fn socket() -> io::Result<tokio_net::TcpSocket> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SOCKET_BUFFER as u32)?;
    socket.set_send_buffer_size(SOCKET_BUFFER as u32)?;
    Ok(socket)
}

fn listen(address: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    let socket = socket()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn connect(target: net::SocketAddr) -> io::Result<tokio_net::TcpStream> {
    let stream = socket()?.connect(target).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Fills the queue of a listener that accepts nothing, so that further connections are not
/// established; they are not refused either.
async fn fill_queue(address: net::SocketAddr) -> Vec<tokio_net::TcpStream> {
    const WAIT: time::Duration = time::Duration::from_millis(50);
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(WAIT, tokio_net::TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    queued
}
