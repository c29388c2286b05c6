//! Answers of upstreams and of the store that end early, on new and on kept connections.

use std::net;
use std::sync;
use std::time;

use basilgrade_edge::http::connection;
use basilgrade_edge::http::pool;
use basilgrade_edge::http::socket;
use basilgrade_types::clock;
use basilgrade_types::verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

const TIMEOUT: clock::Millis = clock::Millis(5000);

/// How the server ends a connection after its bytes.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Bytes that the server sends for a call, and how it ends the connection then.
type Script = sync::Arc<sync::Mutex<(Vec<u8>, End)>>;

fn new_call(path: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .body(Full::default())
        .expect("the request is valid")
}

/// Reads the head of a request; returns whether it names the path `/whole`, or `None` at the end of
/// the connection.
async fn read_request(stream: &mut tokio::net::TcpStream) -> Option<bool> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(received.starts_with(b"POST /whole"))
}

/// Starts a server that answers calls of `/whole` and keeps the connection; it handles other calls as
/// the script says.
async fn start_server() -> (net::SocketAddr, Script) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let script: Script = sync::Arc::new(sync::Mutex::new((Vec::new(), End::Close)));
    let known = sync::Arc::clone(&script);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let script = sync::Arc::clone(&known);
            tokio::spawn(async move {
                while let Some(is_whole) = read_request(&mut stream).await {
                    if is_whole {
                        let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                        let _ = stream.write_all(whole).await;
                        continue;
                    }
                    let (bytes, end) = script.lock().expect("no holder panics").clone();
                    // Errors are ignored: the caller may close the connection at any time.
                    let _ = stream.write_all(&bytes).await;
                    if matches!(end, End::Reset) {
                        tokio::time::sleep(time::Duration::from_millis(2)).await;
                        let socket = socket2::SockRef::from(&stream);
                        let _ = socket.set_linger(Some(time::Duration::ZERO));
                    }
                    return;
                }
            });
        }
    });
    (address, script)
}

/// Asserts that the bytes are no answer to a call, on a new connection and on a kept one.
async fn assert_broken(address: net::SocketAddr, script: &Script, bytes: &[u8], end: End) {
    let name = format!("{:?} then {end:?}", String::from_utf8_lossy(bytes));
    *script.lock().expect("no holder panics") = (bytes.to_vec(), end);
    let connections = pool::ConnectionPool::default();
    for is_kept in [false, true] {
        if is_kept {
            let whole = connections.call(address, new_call("/whole"), "", TIMEOUT);
            assert_eq!(whole.await.expect("the answer is whole").status, 200);
        }
        let broken = connections.call(address, new_call("/cut"), "", TIMEOUT);
        let failure = broken.await.expect_err(&name);
        assert_eq!(failure.verdict, verdict::Verdict::MayHaveRun, "{name}");
    }
    let opened =
        connection::Connection::open(address, TIMEOUT.duration(), socket::Patience::Answer).await;
    let mut opened = opened.expect("the server accepts connections");
    match opened.send(new_call("/cut")).await {
        Err(failure) => assert_eq!(failure.verdict, verdict::Verdict::MayHaveRun, "{name}"),
        Ok(answer) => {
            let body = connection::read_body(answer.into_body(), 1 << 20).await;
            let failure = body.expect_err(&name);
            assert_eq!(failure.verdict, verdict::Verdict::MayHaveRun, "{name}");
        }
    }
}

/// Heads of answers, each with the blank line that ends it; the lengths are those of no body here.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Engine-Signature: s\r\nContent-Length: 80\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 80\r\nX-Attempt-Id: a\r\nX-Engine-Signature: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Engine-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.0 200 OK\r\nX-Engine-Signature: s\r\n\r\n",
    "HTTP/1.1 200 OK\nConnection: close\nX-Engine-Signature: s\n\n",
];

/// Guards against the end of a connection that is taken for the end of an answer's head.
#[tokio::test]
async fn head_that_is_cut_at_any_byte_is_no_answer() {
    let (address, script) = start_server().await;

    for head in HEADS {
        for length in 0..head.len() {
            let bytes = &head.as_bytes()[..length];
            assert_broken(address, &script, bytes, End::Close).await;
            if length % 8 == 0 {
                assert_broken(address, &script, bytes, End::Reset).await;
            }
        }
    }
}

/// Guards against an interim answer that is taken for the answer.
#[tokio::test]
async fn interim_answer_and_a_cut_head_are_no_answer() {
    let (address, script) = start_server().await;
    let head = HEADS[0];

    for interim in ["100 Continue\r\n", "103 Early Hints\r\nLink: </a>\r\n"] {
        let interim = format!("HTTP/1.1 {interim}\r\n");
        for end in [End::Close, End::Reset] {
            for length in 0..interim.len() {
                assert_broken(address, &script, &interim.as_bytes()[..length], end).await;
            }
            for length in (0..head.len()).step_by(5) {
                let bytes = [interim.as_bytes(), &head.as_bytes()[..length]].concat();
                assert_broken(address, &script, &bytes, end).await;
            }
        }
    }
}

/// Guards against a body that is taken for whole although its length, its last chunk or the regular
/// end of its connection is missing.
#[tokio::test]
async fn body_that_ends_early_is_no_answer() {
    let (address, script) = start_server().await;
    let body = "{\"items\":[]}".repeat(6);
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());

    for length in 0..body.len() {
        let bytes = format!("{}{}", HEADS[0], &body[..length]);
        assert_broken(address, &script, bytes.as_bytes(), End::Close).await;
    }
    for length in 0..chunks.len() {
        let bytes = format!("{}{}", HEADS[2], &chunks[..length]);
        assert_broken(address, &script, bytes.as_bytes(), End::Close).await;
    }
    for head in &HEADS[3..] {
        for length in [0, 1, 40, body.len()] {
            let bytes = format!("{head}{}", &body[..length]);
            assert_broken(address, &script, bytes.as_bytes(), End::Reset).await;
        }
    }
}
