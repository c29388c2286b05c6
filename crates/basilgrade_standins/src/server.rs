//! HTTP server of all stand-ins, which applies the injected faults.

use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures::future;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufStream;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;

use crate::execution;
use crate::fault;
use crate::fault_switch;
use crate::http_request;
use crate::http_response;

/// Maximum number of connections that wait to be accepted.
///
/// With the common value of 128, a burst of 256 streams loses connection attempts, each of which
/// the kernel repeats only after 1 s.
const BACKLOG: u32 = 1024;

/// Behaviour of a stand-in that the server calls for each request.
pub(crate) trait Application: Send + Sync + 'static {
    /// Returns the faults that apply to this call, or `None` if none applies.
    ///
    /// An engine, for example, returns `None` for load reports, unless its default fault is
    /// `Dead` or `Hang`.
    fn faults(&self, request: &http_request::HttpRequest) -> Option<&fault_switch::FaultSwitch>;

    /// Whether responses echo request id, stage and attempt.
    fn echoes(&self) -> bool {
        true
    }

    /// Runs a call and returns its response. `fault` is the fault that applies to the call.
    fn run<'a>(
        &'a self,
        request: &'a http_request::HttpRequest,
        fault: &'a fault::Fault,
    ) -> future::BoxFuture<'a, http_response::HttpResponse>;
}

/// A running stand-in, which stops when dropped.
#[derive(Debug)]
pub struct Server {
    /// Address on which the stand-in listens.
    pub address: net::SocketAddr,
    /// Faults of the stand-in.
    pub faults: fault_switch::FaultSwitch,
    /// Calls that the stand-in executed.
    pub executions: execution::Executions,
    dead: watch::Sender<bool>,
    closed: watch::Receiver<bool>,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Sets the default fault. Returns after the port is closed for [`fault::Fault::Dead`], or open
    /// for any other fault.
    ///
    /// # Panics
    ///
    /// Panics if the port cannot be opened again.
    pub async fn set_fault(&self, fault: fault::Fault) {
        let dead = fault == fault::Fault::Dead;
        self.faults.set(fault);
        self.dead.send_replace(dead);
        let mut closed = self.closed.clone();
        closed
            .wait_for(|closed| *closed == dead)
            .await
            .expect("expected the port of the stand-in to be free; run fewer tests in parallel");
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a stand-in on a free loopback port.
#[expect(
    clippy::unused_async,
    reason = "starting needs a Tokio runtime, which an async function guarantees"
)]
pub(crate) async fn start<A: Application>(
    application: sync::Arc<A>,
    faults: fault_switch::FaultSwitch,
    executions: execution::Executions,
) -> io::Result<Server> {
    let listener = listen((net::Ipv4Addr::LOCALHOST, 0).into())?;
    let address = listener.local_addr()?;
    let (dead, dead_receiver) = watch::channel(false);
    let (closed_sender, closed) = watch::channel(false);
    let task = task::spawn(accept(
        listener,
        address,
        application,
        dead_receiver,
        closed_sender,
    ));
    Ok(Server {
        address,
        faults,
        executions,
        dead,
        closed,
        task,
    })
}

fn listen(address: net::SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections. While `dead` is set, closes the port and all connections.
async fn accept<A: Application>(
    mut listener: TcpListener,
    address: net::SocketAddr,
    application: sync::Arc<A>,
    mut dead: watch::Receiver<bool>,
    closed: watch::Sender<bool>,
) {
    loop {
        // Dropping `connections` aborts the tasks of all connections.
        let mut connections = task::JoinSet::new();
        loop {
            tokio::select! {
                biased;
                changed = dead.wait_for(|dead| *dead) => {
                    if changed.is_err() {
                        return;
                    }
                    break;
                }
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let application = sync::Arc::clone(&application);
                        connections.spawn(async move {
                            // `serve` fails when the client closes the connection or sends a
                            // malformed request. The connection is closed in both cases.
                            let _ = serve(stream, application.as_ref()).await;
                        });
                    }
                }
                _ = connections.join_next(), if !connections.is_empty() => {}
            }
        }
        drop(listener);
        connections.shutdown().await;
        closed.send_replace(true);
        if dead.wait_for(|dead| !*dead).await.is_err() {
            return;
        }
        let Some(reopened) = reopen(address).await else {
            return;
        };
        listener = reopened;
        closed.send_replace(false);
    }
}

/// Opens the port again; `None` if it stays in use for 2 s.
async fn reopen(address: net::SocketAddr) -> Option<TcpListener> {
    // An outgoing connection of another process may use the port for a short time.
    for _ in 0..100 {
        if let Ok(listener) = listen(address) {
            return Some(listener);
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    None
}

/// Serves the requests of one connection and applies the fault of each call.
async fn serve<A: Application>(stream: TcpStream, application: &A) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufStream::new(stream);
    while let Some(request) = http_request::read(&mut stream).await? {
        let fault = match application.faults(&request) {
            Some(faults) => faults.take(),
            None => fault::Fault::None,
        };
        let response = match &fault {
            fault::Fault::Dead => return Ok(()),
            fault::Fault::Hang => return hang(&mut stream).await,
            fault::Fault::Raw(bytes) => {
                stream.write_all(bytes).await?;
                return stream.shutdown().await;
            }
            fault::Fault::Reset => return reset(&stream),
            fault::Fault::NotRun => http_response::HttpResponse::not_run(),
            fault::Fault::Leaving => {
                let mut response = http_response::HttpResponse::not_run();
                response
                    .headers
                    .push(("basilgrade-leaving", "true".to_owned()));
                response
            }
            fault::Fault::Slow(time) => {
                tokio::time::sleep(time.duration()).await;
                application.run(&request, &fault).await
            }
            _ => application.run(&request, &fault).await,
        };
        match &fault {
            fault::Fault::RunReset => return reset(&stream),
            fault::Fault::Late(time) => tokio::time::sleep(time.duration()).await,
            _ => {}
        }
        let echo = application.echoes().then_some(&request);
        write(&mut stream, response, echo, &fault).await?;
        if matches!(fault, fault::Fault::CloseIdle | fault::Fault::Truncated) {
            return stream.shutdown().await;
        }
    }
    Ok(())
}

/// Discards input without a response until the client closes the connection.
async fn hang(stream: &mut BufStream<TcpStream>) -> io::Result<()> {
    let mut scratch = [0; 1024];
    while stream.read(&mut scratch).await? > 0 {}
    Ok(())
}

/// Makes the kernel send a TCP reset when `stream` is dropped.
fn reset(stream: &BufStream<TcpStream>) -> io::Result<()> {
    stream.get_ref().set_zero_linger()
}

/// Writes a response and applies the faults that change its status, headers or body.
async fn write(
    stream: &mut BufStream<TcpStream>,
    response: http_response::HttpResponse,
    echo: Option<&http_request::HttpRequest>,
    fault: &fault::Fault,
) -> io::Result<()> {
    let status = match fault {
        fault::Fault::Status(status) => *status,
        _ => response.status,
    };
    let mut head = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in &response.headers {
        add_header(&mut head, name, value);
    }
    if let Some(request) = echo {
        write_echo(&mut head, request, fault);
    }
    match response.body {
        http_response::Body::Whole(body) => {
            add_header(&mut head, "content-length", &body.len().to_string());
            head.push_str("\r\n");
            write_whole(stream, head.as_bytes(), &body, fault).await
        }
        http_response::Body::Stream(chunks) => {
            add_header(&mut head, "transfer-encoding", "chunked");
            head.push_str("\r\n");
            write_chunks(stream, head.as_bytes(), chunks, fault).await
        }
    }
}

fn add_header(head: &mut String, name: &str, value: &str) {
    for part in [name, ": ", value, "\r\n"] {
        head.push_str(part);
    }
}

/// Writes the headers that echo the identity of the call, changed as `fault` requires.
fn write_echo(head: &mut String, request: &http_request::HttpRequest, fault: &fault::Fault) {
    const ECHOED: [&str; 3] = [
        "basilgrade-request-id",
        "basilgrade-stage",
        "basilgrade-attempt",
    ];
    if *fault == fault::Fault::NoEcho {
        return;
    }
    for name in ECHOED {
        let Some(value) = request.header(name) else {
            continue;
        };
        let value = match (name, fault) {
            ("basilgrade-request-id", fault::Fault::WrongRequest) => {
                "00000000-0000-7000-8000-000000000000"
            }
            ("basilgrade-stage", fault::Fault::WrongStage) => "another-stage",
            ("basilgrade-attempt", fault::Fault::WrongAttempt) => "4294967295",
            _ => value,
        };
        add_header(head, name, value);
    }
}

/// Writes a response with a complete body.
async fn write_whole(
    stream: &mut BufStream<TcpStream>,
    head: &[u8],
    body: &Bytes,
    fault: &fault::Fault,
) -> io::Result<()> {
    let sent = match fault {
        fault::Fault::Truncated => &body[..body.len() / 2],
        _ => body,
    };
    stream.write_all(head).await?;
    stream.write_all(sent).await?;
    if let fault::Fault::LateDuplicate(time) = fault {
        stream.flush().await?;
        tokio::time::sleep(time.duration()).await;
    }
    if matches!(
        fault,
        fault::Fault::LateDuplicate(_) | fault::Fault::Duplicate
    ) {
        stream.write_all(head).await?;
        stream.write_all(sent).await?;
    }
    stream.flush().await
}

/// Writes a response with a chunked body, flushing each chunk as it is produced.
async fn write_chunks(
    stream: &mut BufStream<TcpStream>,
    head: &[u8],
    mut chunks: tokio::sync::mpsc::Receiver<Bytes>,
    fault: &fault::Fault,
) -> io::Result<()> {
    stream.write_all(head).await?;
    stream.flush().await?;
    let mut sent = Vec::new();
    while let Some(chunk) = chunks.recv().await {
        let mut framed = format!("{:x}\r\n", chunk.len()).into_bytes();
        framed.extend_from_slice(&chunk);
        framed.extend_from_slice(b"\r\n");
        stream.write_all(&framed).await?;
        stream.flush().await?;
        if *fault == fault::Fault::Duplicate {
            sent.extend(framed);
        }
    }
    if *fault == fault::Fault::Truncated {
        return Ok(());
    }
    stream.write_all(b"0\r\n\r\n").await?;
    if *fault == fault::Fault::Duplicate {
        stream.write_all(head).await?;
        stream.write_all(&sent).await?;
        stream.write_all(b"0\r\n\r\n").await?;
    }
    stream.flush().await
}
