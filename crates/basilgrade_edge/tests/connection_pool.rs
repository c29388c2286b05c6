//! Tests of calls on kept connections.

use std::sync;
use std::sync::atomic;

use basilgrade_edge::http::pool;
use basilgrade_types::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

fn new_call() -> Request<Full<Bytes>> {
    Request::post("/call")
        .body(Full::default())
        .expect("the request is valid")
}

/// Guards against a call that is sent again to an upstream that has begun to leave meanwhile.
#[tokio::test]
async fn call_is_not_repeated_once_it_is_forbidden() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let received = sync::Arc::new(atomic::AtomicUsize::new(0));
    let is_allowed = sync::Arc::new(atomic::AtomicBool::new(true));
    let (count, allowed) = (sync::Arc::clone(&received), sync::Arc::clone(&is_allowed));
    // Answers the first call of a connection and closes the connection at the second one.
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            for number in 0..2 {
                if stream.read(&mut request).await.unwrap_or(0) == 0 {
                    break;
                }
                count.fetch_add(1, atomic::Ordering::SeqCst);
                if number == 1 {
                    allowed.store(false, atomic::Ordering::SeqCst);
                    break;
                }
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await.expect("the caller reads");
            }
        }
    });
    let connections = pool::ConnectionPool::default();
    let limit = clock::Millis(5000);

    let check = |_| is_allowed.load(atomic::Ordering::SeqCst);
    let first = connections.call_while(address, new_call(), "", limit, check);
    let first = first.await.map(|answer| answer.status.as_u16()).ok();
    let second = connections.call_while(address, new_call(), "", limit, check);
    let second = second.await.map(|answer| answer.status.as_u16()).ok();

    assert_eq!((first, second), (Some(200), None));
    assert_eq!(received.load(atomic::Ordering::SeqCst), 2);
}
