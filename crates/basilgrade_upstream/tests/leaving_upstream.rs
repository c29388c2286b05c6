//! Tests of responses that announce that an upstream is about to leave.

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

/// Guards against ignoring the header `basilgrade-leaving` of a response that does not echo its
/// call, and against trusting the verdict `not-run` of such a response.
#[tokio::test]
async fn leaving_header_counts_without_echo() {
    let server = pool::start()
        .await
        .expect("expected a pool member to start");
    let response = "HTTP/1.1 503 Service Unavailable\r\nbasilgrade-leaving: true\r\n\
               basilgrade-verdict: not-run\r\ncontent-length: 0\r\n\r\n";
    server.faults.push(fault::Fault::Raw(Bytes::from(response)));
    let client = client::HttpUpstream::new(client::Settings::default());

    let error = client
        .call(call::Call {
            address: server.address,
            method: hyper::Method::POST,
            path: "/run".to_owned(),
            headers: hyper::HeaderMap::new(),
            body: Bytes::from_static(b"in"),
            request: request::RequestId::mint(),
            stage: "encode".parse().expect("expected a valid stage name"),
            attempt: attempt::Attempt::default(),
            key: None,
            time_left: clock::Millis::from_secs(30),
            echo: call::Echo::Required,
        })
        .await
        .expect_err("expected the upstream to refuse the call");

    assert!(error.is_leaving(), "{error}");
    assert_eq!(error.verdict(), verdict::Verdict::MayHaveRun);
}
