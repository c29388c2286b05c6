//! The stand-in for the users' store.

mod edge_support;

use std::sync;
use std::thread;

use bytes::Bytes;
use edge_support::server::Handler as _;
use edge_support::store;
use http_body_util::BodyExt as _;
use hyper::Request;

/// Number of records that are appended while pages are read.
const RECORDS: u64 = 600;

/// Guards against a page whose end offset covers a record that the page lacks.
#[tokio::test]
async fn page_contains_every_record_before_its_end_offset() {
    let store = sync::Arc::<store::Store>::default();
    let writer = {
        let store = sync::Arc::clone(&store);
        thread::spawn(move || {
            for number in 0..RECORDS {
                store.put("keyed.op", &format!("key-{number}"), "value");
            }
        })
    };

    let mut end_offset = 0;
    while end_offset < RECORDS {
        let request = Request::get("/basilgrade/log-newest?topic=keyed.op&part=0")
            .body(Bytes::new())
            .expect("the request is valid");
        let answer = sync::Arc::clone(&store)
            .handle(request)
            .await
            .expect("the store answers");
        let body = answer.into_body().collect().await.expect("the body ends");
        let page: serde_json::Value =
            serde_json::from_slice(&body.to_bytes()).expect("the page is JSON");
        end_offset = page["end-offset"].as_u64().expect("the page has an end");
        let count = page["items"].as_array().map_or(0, Vec::len);
        assert_eq!(count as u64, end_offset);
    }
    writer.join().expect("the writer does not panic");
}
