//! Time-outs of the connections themselves.

use std::time;

use basilgrade_edge::http::socket;

/// Longest time-out of a route on the deployments in use.
const LONGEST_ROUTE: time::Duration = time::Duration::from_mins(1);

/// Guards against a connection that gives up on a silent upstream before the deadline.
#[tokio::test]
async fn connection_of_an_answer_outlasts_every_deadline() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let limit = time::Duration::from_secs(5);

    let answer = socket::connect(address, limit, socket::Patience::Answer)
        .await
        .expect("the listener accepts");
    let call = socket::connect(address, limit, socket::Patience::Call)
        .await
        .expect("the listener accepts");

    let known = socket2::SockRef::from(&answer);
    let time_out = known.tcp_user_timeout().expect("the option is readable");
    assert_eq!(time_out.unwrap_or_default(), time::Duration::ZERO);
    let probes = known
        .tcp_keepalive_retries()
        .expect("the option is readable");
    let interval = known
        .tcp_keepalive_interval()
        .expect("the option is readable");
    assert!(known.keepalive().expect("the option is readable"));
    assert!(interval * probes > LONGEST_ROUTE);
    let known = socket2::SockRef::from(&call);
    let time_out = known.tcp_user_timeout().expect("the option is readable");
    assert!(time_out.is_some_and(|limit| limit < LONGEST_ROUTE));
}
