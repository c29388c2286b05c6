//! The platform's store: a log whose newest record of each key can be read.

use std::sync;
use std::time;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;

use super::server;

type Records = Vec<(String, Vec<u8>)>;

/// The topics; records without a value remove their key.
#[derive(Default)]
pub(crate) struct Store {
    topics: sync::Mutex<IndexMap<String, Records>>,
    changed: tokio::sync::Notify,
    reads: std::sync::atomic::AtomicUsize,
}

fn query(request: &Request<Bytes>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pair = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    Some(pair.to_owned())
}

impl Store {
    /// Adds a record.
    pub(crate) fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("no test panics here");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        drop(topics);
        self.changed.notify_waiters();
    }

    /// Keys of a topic with their newest values.
    pub(crate) fn newest(&self, topic: &str) -> IndexMap<String, Vec<u8>> {
        let topics = self.topics.lock().expect("no test panics here");
        let mut newest = IndexMap::new();
        for (key, value) in topics.get(topic).into_iter().flatten() {
            newest.shift_remove(key);
            if !value.is_empty() {
                newest.insert(key.clone(), value.clone());
            }
        }
        newest
    }

    /// Reads of the topic of upstreams so far.
    pub(crate) fn reads(&self) -> usize {
        self.reads.load(sync::atomic::Ordering::Relaxed)
    }

    fn end(&self, topic: &str) -> usize {
        let topics = self.topics.lock().expect("no test panics here");
        topics.get(topic).map_or(0, Vec::len)
    }

    fn tail(&self, topic: &str, from: usize) -> Vec<u8> {
        let topics = self.topics.lock().expect("no test panics here");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut body = Vec::new();
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.get(from..).unwrap_or_default() {
            let length = 1 + key.len() + value.len();
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }

    async fn read(&self, request: &Request<Bytes>, topic: &str) -> Response<server::Body> {
        if topic == "keyed.servers" {
            self.reads.fetch_add(1, sync::atomic::Ordering::Relaxed);
        }
        let number = |name| {
            query(request, name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let from: usize = number("from");
        let wait = time::Duration::from_millis(number("wait-ms") as u64);
        let changed = self.changed.notified();
        if self.end(topic) <= from {
            // Whether a record came or the wait is over, the answer is what is there.
            let _ = tokio::time::timeout(wait, changed).await;
        }
        Response::new(server::whole(self.tail(topic, from)))
    }

    fn page(&self, topic: &str) -> Response<server::Body> {
        use base64::Engine as _;
        let items: Vec<_> = self
            .newest(topic)
            .into_iter()
            .map(|(key, value)| {
                let value = base64::prelude::BASE64_STANDARD.encode(value);
                serde_json::json!({"key": key, "value": value, "offset": 0})
            })
            .collect();
        let page = serde_json::json!({
            "items": items, "has-more": false, "end-offset": self.end(topic),
        });
        Response::new(server::whole(page.to_string()))
    }

    fn append(&self, topic: &str, body: &Bytes) -> Response<server::Body> {
        let key_length = body[4] as usize;
        let key = String::from_utf8_lossy(&body[5..5 + key_length]).into_owned();
        let value = String::from_utf8_lossy(&body[5 + key_length..]).into_owned();
        self.put(topic, &key, &value);
        Response::new(server::whole("{}"))
    }
}

impl server::Handler for Store {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        let topic = query(&request, "topic")?;
        let answer = match request.uri().path() {
            "/basilgrade/log-read" => self.read(&request, &topic).await,
            "/basilgrade/log-newest" => self.page(&topic),
            "/basilgrade/log-append" => self.append(&topic, request.body()),
            _ => return None,
        };
        Some(answer)
    }
}
