//! Tests of reads of the store by a daemon for which another one begins to read.

mod common;

use std::sync;
use std::time;

use basilgrade_adapter::store;
use basilgrade_edge::follow::reader;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net;

/// The configuration `{"version":1,"routes":[],"services":[]}` in base64.
const FIRST: &str = "eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119";

const SECOND: &str = r#"{"version":2,"routes":[],"services":[]}"#;

/// Time that the store takes for an answer, as for a large configuration on a slow link.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(400);

fn message(content_type: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Answer with the newest records, which are the first configuration.
fn newest() -> Vec<u8> {
    let page = format!(
        r#"{{"items":[{{"key":"config","value":"{FIRST}","offset":0}}],"has-more":false,"end-offset":1}}"#
    );
    message("application/json", page.as_bytes())
}

/// Answer with the appended record, which is the second configuration.
fn appended() -> Vec<u8> {
    let content = [&[6], b"config".as_slice(), SECOND.as_bytes()].concat();
    let size = (content.len() as u32).to_be_bytes();
    let bounds = [2_u64.to_be_bytes(), 0_u64.to_be_bytes()].concat();
    let body = [bounds.as_slice(), &size, &content].concat();
    message("application/octet-stream", &body)
}

/// Serves one connection to a store that takes its time for reads of appended records.
async fn serve(mut stream: net::TcpStream) {
    let mut request = vec![0; 4096];
    while let Ok(size) = stream.read(&mut request).await
        && size > 0
    {
        let text = String::from_utf8_lossy(&request[..size]).into_owned();
        let answer = if text.contains("/log-newest") {
            newest()
        } else {
            tokio::time::sleep(ANSWER_TIME).await;
            appended()
        };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// Guards against a configuration that arrives seconds late, as a daemon gives up its read of the store
/// when another one that is behind begins to read for it.
#[tokio::test(flavor = "multi_thread")]
async fn read_under_way_is_completed_when_another_daemon_begins_to_read() {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let (mirrors, core) = common::new_mirrors_and_core();
    let mut settings = basilgrade_edge::settings::Settings::clone(&core.settings.load());
    settings.store = address;
    core.reload(settings);
    let mirrors = sync::Arc::new(mirrors);
    let topic = store::Topic::Operators;
    let reader =
        reader::TopicReader::new(sync::Arc::clone(&core), sync::Arc::clone(&mirrors), topic);
    tokio::spawn(reader.run());
    let version = || {
        let view = core.view.load();
        view.configuration.as_ref().map(|known| known.version)
    };
    while version() != Some(1) {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    // The first read after the load waits until the daemon has had time to find its reader.
    tokio::time::sleep(time::Duration::from_millis(1700)).await;
    assert_eq!(
        version(),
        Some(1),
        "the read has ended too early for this test"
    );

    mirrors.set_reader(false, "another daemon reads the store");
    tokio::time::sleep(ANSWER_TIME * 2).await;

    assert_eq!(version(), Some(2));
}
