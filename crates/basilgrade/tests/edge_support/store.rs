//! Stand-in for the platform's store: a log of keyed records per topic, which can be read from an
//! offset on or as the newest record of each key.

use std::sync;
use std::time;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use indexmap::IndexMap;

use super::server;

/// Keys and values of one topic, in the order of their offsets.
type Records = Vec<(Vec<u8>, Vec<u8>)>;

/// Size of the end and the first offset in an answer to a read.
const BOUNDS_SIZE: usize = 16;

/// Size up to which an answer to a read holds more than one record, in KiB, unless the request says
/// otherwise.
const MAX_READ_SIZE: usize = 1024;

/// Copy of all topics of a store.
pub(crate) struct Copy(IndexMap<String, Records>);

/// The topics by name; a record with an empty value removes its key.
#[derive(Default)]
pub(crate) struct Store {
    topics: sync::Mutex<IndexMap<String, Records>>,
    changed: tokio::sync::Notify,
    /// Number of times that the topics were replaced by an older copy.
    era: std::sync::atomic::AtomicU64,
    /// Most keys in a page of the newest records; all are in one page if this is not set.
    page_keys: sync::OnceLock<usize>,
    /// Reads of the topic `keyed.servers`.
    reads: std::sync::atomic::AtomicUsize,
    /// Calls of all kinds.
    calls: std::sync::atomic::AtomicUsize,
    /// Refused appends.
    refusals: std::sync::atomic::AtomicUsize,
    /// Topic to which nothing can be appended.
    full: sync::Mutex<Option<&'static str>>,
    /// Topic whose readers get no answer.
    silent: sync::Mutex<Option<&'static str>>,
}

fn query_parameter(request: &Request<Bytes>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let pair = query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    Some(pair.to_owned())
}

/// Decodes the percent-encoded text of a query.
fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut parts = text.split('%');
    bytes.extend_from_slice(parts.next().unwrap_or_default().as_bytes());
    for part in parts {
        let (digits, rest) = part.split_at(2);
        bytes.push(u8::from_str_radix(digits, 16).expect("two hexadecimal digits follow a `%`"));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Store {
    /// Appends a record and wakes the waiting readers.
    pub(crate) fn put(&self, topic: &str, key: &str, value: &str) {
        self.put_bytes(topic, key.as_bytes(), value.as_bytes());
    }

    /// Appends a record whose key and value need not be text, and wakes the waiting readers.
    pub(crate) fn put_bytes(&self, topic: &str, key: &[u8], value: &[u8]) {
        let mut topics = self.topics.lock().expect("no holder of the lock panics");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_vec(), value.to_vec()));
        drop(topics);
        self.changed.notify_waiters();
    }

    /// Refuses appends to this topic with status 503.
    pub(crate) fn refuse_appends(&self, topic: Option<&'static str>) {
        *self.full.lock().expect("no holder of the lock panics") = topic;
    }

    /// Closes connections on which this topic is read.
    pub(crate) fn refuse_reads(&self, topic: Option<&'static str>) {
        *self.silent.lock().expect("no holder of the lock panics") = topic;
    }

    /// Has each page of the newest records hold at most `keys` keys.
    pub(crate) fn limit_pages(&self, keys: usize) {
        self.page_keys.set(keys).expect("the limit is set once");
    }

    /// Copies all topics.
    pub(crate) fn copy(&self) -> Copy {
        let topics = self.topics.lock().expect("no holder of the lock panics");
        Copy(topics.clone())
    }

    /// Replaces all topics by an older copy; later records get their offsets again.
    pub(crate) fn restore(&self, copy: &Copy) {
        let mut topics = self.topics.lock().expect("no holder of the lock panics");
        topics.clone_from(&copy.0);
        self.era.fetch_add(1, sync::atomic::Ordering::Relaxed);
        drop(topics);
        self.changed.notify_waiters();
    }

    /// Returns the keys of a topic with their newest values.
    pub(crate) fn newest(&self, topic: &str) -> IndexMap<String, Vec<u8>> {
        self.newest_and_end(topic).0
    }

    /// Returns the keys of a topic with their newest values, and the end offset of these records.
    fn newest_and_end(&self, topic: &str) -> (IndexMap<String, Vec<u8>>, usize) {
        let topics = self.topics.lock().expect("no holder of the lock panics");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = IndexMap::new();
        for (key, value) in records {
            let key = String::from_utf8_lossy(key).into_owned();
            newest.shift_remove(&key);
            if !value.is_empty() {
                newest.insert(key, value.clone());
            }
        }
        (newest, records.len())
    }

    /// Counts the reads of the topic `keyed.servers`, in which the upstreams are registered.
    pub(crate) fn upstream_reads(&self) -> usize {
        self.reads.load(sync::atomic::Ordering::Relaxed)
    }

    /// Counts the calls of all kinds.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(sync::atomic::Ordering::Relaxed)
    }

    /// Counts the refused appends.
    pub(crate) fn refusals(&self) -> usize {
        self.refusals.load(sync::atomic::Ordering::Relaxed)
    }

    /// Counts the records of a topic, outdated ones included.
    pub(crate) fn record_count(&self, topic: &str) -> usize {
        self.end_offset(topic)
    }

    fn end_offset(&self, topic: &str) -> usize {
        let topics = self.topics.lock().expect("no holder of the lock panics");
        topics.get(topic).map_or(0, Vec::len)
    }

    /// Encodes the end offset, the first offset and the records from offset `from` on, up to `limit`
    /// KiB but one at least.
    fn encode_records(&self, topic: &str, from: usize, limit: usize) -> Vec<u8> {
        let topics = self.topics.lock().expect("no holder of the lock panics");
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut body = Vec::new();
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.get(from..).unwrap_or_default() {
            let length = 1 + key.len() + value.len();
            let is_first = body.len() == BOUNDS_SIZE;
            if !is_first && body.len() + 4 + length > limit << 10 {
                break;
            }
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key);
            body.extend_from_slice(value);
        }
        body
    }

    /// Waits until `topic` has a record at the offset `from`, or no longer reaches up to it.
    async fn wait_for_record(&self, topic: &str, from: usize) {
        loop {
            let changed = self.changed.notified();
            if self.end_offset(topic) > from {
                return;
            }
            changed.await;
            if self.end_offset(topic) < from {
                return;
            }
        }
    }

    /// Answers with the records from the offset `from` on; if there are none yet, waits for one for
    /// up to `wait-ms`.
    async fn read(&self, request: &Request<Bytes>, topic: &str) -> Response<server::Body> {
        if topic == "keyed.servers" {
            self.reads.fetch_add(1, sync::atomic::Ordering::Relaxed);
        }
        let numeric_parameter = |name| {
            query_parameter(request, name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let from: usize = numeric_parameter("from");
        let wait = time::Duration::from_millis(numeric_parameter("wait-ms") as u64);
        // A time-out is no error: the answer then holds no records.
        let _ = tokio::time::timeout(wait, self.wait_for_record(topic, from)).await;
        if self.end_offset(topic) < from {
            let mut gone = Response::new(server::full_body(r#"{"first":0}"#));
            *gone.status_mut() = hyper::StatusCode::GONE;
            return gone;
        }
        let limit = query_parameter(request, "max-size").and_then(|text| text.parse().ok());
        let records = self.encode_records(topic, from, limit.unwrap_or(MAX_READ_SIZE));
        Response::new(server::full_body(records))
    }

    /// Encodes the newest records of the keys that follow `after`, and the end offset, as one page.
    fn newest_page(&self, topic: &str, after: Option<&str>) -> Response<server::Body> {
        use base64::Engine as _;
        let (mut newest, end_offset) = self.newest_and_end(topic);
        newest.sort_unstable_keys();
        newest.retain(|key, _| after.is_none_or(|after| key.as_str() > after));
        let page_keys = self.page_keys.get().copied().unwrap_or(usize::MAX);
        let has_more = newest.len() > page_keys;
        let items: Vec<_> = newest
            .into_iter()
            .take(page_keys)
            .map(|(key, value)| {
                let value = base64::prelude::BASE64_STANDARD.encode(value);
                serde_json::json!({"key": key, "value": value, "offset": 0})
            })
            .collect();
        let page = serde_json::json!({
            "items": items, "has-more": has_more, "end-offset": end_offset,
        });
        Response::new(server::full_body(page.to_string()))
    }

    /// Appends the records in `body`, each with four bytes of length, one byte of key length, key and
    /// value.
    fn append(&self, topic: &str, body: &Bytes) -> Response<server::Body> {
        let mut rest = &body[..];
        while let Some((length, content)) = rest.split_first_chunk() {
            let (record, next) = content.split_at(u32::from_be_bytes(*length) as usize);
            rest = next;
            let (key, value) = record[1..].split_at(record[0] as usize);
            self.put_bytes(topic, key, value);
        }
        Response::new(server::full_body("{}"))
    }
}

impl server::Handler for Store {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        self.calls.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let topic = query_parameter(&request, "topic")?;
        let is = |refused: &sync::Mutex<Option<&'static str>>| {
            *refused.lock().expect("no holder of the lock panics") == Some(&*topic)
        };
        let mut answer = match request.uri().path() {
            "/basilgrade/log-read" | "/basilgrade/log-newest" if is(&self.silent) => return None,
            "/basilgrade/log-append" if is(&self.full) => {
                self.refusals.fetch_add(1, sync::atomic::Ordering::Relaxed);
                let mut refusal = Response::new(server::full_body("{}"));
                *refusal.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                refusal
            }
            "/basilgrade/log-read" => self.read(&request, &topic).await,
            "/basilgrade/log-newest" => {
                let after = query_parameter(&request, "after");
                self.newest_page(&topic, after.map(|after| decode_query(&after)).as_deref())
            }
            "/basilgrade/log-append" => self.append(&topic, request.body()),
            _ => return None,
        };
        let era = self.era.load(sync::atomic::Ordering::Relaxed);
        answer.headers_mut().insert("store-era", era.into());
        Some(answer)
    }
}
