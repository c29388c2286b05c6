//! Signs of upstreams that are about to leave.

use basilgrade_standins::fault;
use basilgrade_standins::pool;
use basilgrade_types::attempt;
use basilgrade_types::clock;
use basilgrade_types::request;
use basilgrade_types::verdict;
use basilgrade_upstream::call;
use basilgrade_upstream::client;
use basilgrade_upstream::upstream::Upstream;
use bytes::Bytes;

/// Guards against a sign that is lost because the answer does not name its call, and against taking
/// such an answer for proof that the call was not run.
#[tokio::test]
async fn a_sign_counts_without_echo() {
    let server = pool::start().await.expect("a pool member starts");
    let raw = "HTTP/1.1 503 Service Unavailable\r\nbasilgrade-leaving: true\r\n\
               basilgrade-verdict: not-run\r\ncontent-length: 0\r\n\r\n";
    server.faults.push(fault::Fault::Raw(Bytes::from(raw)));
    let client = client::HttpUpstream::new(client::Settings::default());

    let error = client
        .call(call::Call {
            address: server.address,
            method: hyper::Method::POST,
            path: "/run".to_owned(),
            headers: hyper::HeaderMap::new(),
            body: Bytes::from_static(b"in"),
            request: request::RequestId::mint(),
            stage: "encode".parse().expect("a name"),
            attempt: attempt::Attempt::default(),
            key: None,
            time_left: clock::Millis::from_secs(30),
            echo: call::Echo::Required,
        })
        .await
        .expect_err("the upstream refused");

    assert!(error.is_leaving(), "{error}");
    assert_eq!(error.verdict(), verdict::Verdict::MayHaveRun);
}
