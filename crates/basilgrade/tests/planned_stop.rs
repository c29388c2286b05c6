//! Requests that arrive while a daemon is about to end.

mod edge_support;

use std::time;

use bytes::Bytes;
use edge_support::client;
use edge_support::deployment;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;

/// Number of connections that wait to be accepted when the daemon stops accepting.
const CONNECTIONS: usize = 16;

/// Time from the termination signal until the daemon stands still, which it does until after it was
/// to stop accepting connections.
const RUNNING: time::Duration = time::Duration::from_millis(2500);

/// Time for which the daemon stands still.
const STANDSTILL: time::Duration = time::Duration::from_secs(1);

/// Guards against established connections that are reset, with the requests on them, as the daemon
/// stops accepting others.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_to_be_accepted_get_answers_at_a_planned_stop() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let address = deployment.daemons[0].caller_address;
    deployment.daemons[0].signal("TERM");
    tokio::time::sleep(RUNNING).await;
    deployment.daemons[0].signal("STOP");
    let mut sending = tokio::task::JoinSet::new();
    for number in 0..CONNECTIONS {
        let request = client::request(&format!("late-{number}"), "GET", "/safe/x");
        sending.spawn(client::send(address, request, ""));
    }
    tokio::time::sleep(STANDSTILL).await;

    deployment.daemons[0].signal("CONT");

    let answers = sending.join_all().await;
    let answered = answers.iter().flatten().filter(|answer| answer.is_whole);
    assert_eq!(answered.count(), CONNECTIONS, "{answers:?}");
}

/// Sends a request on a kept connection; returns the status if the answer is whole.
async fn exchange(sender: &mut http1::SendRequest<Full<Bytes>>, id: &str) -> Option<u16> {
    let request = client::request(id, "GET", "/safe/x").body(Full::default());
    let request = request.expect("the request is valid");
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await.ok()?;
    Some(status)
}

/// Guards against requests on kept connections that are reset unread, as the daemon closes the
/// connections that were idle before.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_on_kept_connections_get_answers_at_a_planned_stop() {
    let deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let address = deployment.daemons[0].caller_address;
    let mut senders = Vec::new();
    for number in 0..CONNECTIONS {
        let stream = tokio::net::TcpStream::connect(address).await;
        let stream = rt::TokioIo::new(stream.expect("the daemon accepts the connection"));
        let (mut sender, connection) = http1::handshake(stream).await.expect("a connection");
        tokio::spawn(connection);
        assert_eq!(
            exchange(&mut sender, &format!("early-{number}")).await,
            Some(200)
        );
        senders.push(sender);
    }
    deployment.daemons[0].signal("TERM");
    tokio::time::sleep(RUNNING).await;
    deployment.daemons[0].signal("STOP");
    let mut sending = tokio::task::JoinSet::new();
    for (number, mut sender) in senders.into_iter().enumerate() {
        sending.spawn(async move { exchange(&mut sender, &format!("late-{number}")).await });
    }
    tokio::time::sleep(STANDSTILL).await;

    deployment.daemons[0].signal("CONT");

    let answers = sending.join_all().await;
    assert_eq!(answers.iter().flatten().count(), CONNECTIONS, "{answers:?}");
}

/// Guards against a stop that waits for connections on which no request comes.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_does_not_wait_for_idle_connections() {
    let mut deployment = deployment::start_with(&["a"], 2, &deployment::without_stages()).await;
    let stream = tokio::net::TcpStream::connect(deployment.daemons[0].caller_address).await;
    let stream = rt::TokioIo::new(stream.expect("the daemon accepts the connection"));
    let (mut sender, connection) = http1::handshake(stream).await.expect("a connection");
    let connection = tokio::spawn(connection);
    assert_eq!(exchange(&mut sender, "early").await, Some(200));

    deployment.daemons[0].signal("TERM");

    let ended = connection.await.expect("the connection does not panic");
    assert!(
        ended.is_ok(),
        "the idle connection is not closed in order: {ended:?}"
    );
    assert!(deployment.daemons[0].wait_for_exit().await);
}
