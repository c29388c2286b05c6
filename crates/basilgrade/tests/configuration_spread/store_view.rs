//! The store as one machine of a fleet sees it.

use std::sync;
use std::sync::atomic;
use std::time;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::Request;
use hyper::Response;

use crate::server;
use crate::store;

/// How the store treats a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Treatment {
    /// Answers after this time.
    Answers(time::Duration),
    /// Refuses all calls with status 503.
    Busy,
    /// Answers nothing.
    Silent,
    /// Closes connections.
    Closes,
}

/// Replacements of addresses in the registrations of daemons, of equal length.
pub(crate) type Addresses = Vec<(String, String)>;

/// The store with addresses of proxies in place of those of the daemons.
pub(crate) struct StoreView {
    pub(crate) store: sync::Arc<store::Store>,
    pub(crate) addresses: Addresses,
    pub(crate) treatment: sync::Mutex<Treatment>,
    /// Number of reads of the operators' records.
    pub(crate) reads: atomic::AtomicUsize,
}

/// Replaces the addresses in `text`, which need not be UTF-8.
fn replace(text: &[u8], addresses: &Addresses) -> Vec<u8> {
    let mut replaced = text.to_vec();
    for (from, to) in addresses {
        let (from, to) = (from.as_bytes(), to.as_bytes());
        let mut start = 0;
        while let Some(found) = replaced[start..]
            .windows(from.len())
            .position(|window| window == from)
        {
            start += found;
            replaced[start..start + to.len()].copy_from_slice(to);
            start += to.len();
        }
    }
    replaced
}

impl StoreView {
    /// Replaces the addresses in an answer to a read of the registrations of daemons.
    async fn translate(
        &self,
        answer: Response<server::Body>,
        is_page: bool,
    ) -> Response<server::Body> {
        let (head, body) = answer.into_parts();
        let body = body
            .collect()
            .await
            .expect("the body is in memory")
            .to_bytes();
        let text = if is_page {
            let mut page: serde_json::Value =
                serde_json::from_slice(&body).expect("a page is JSON");
            let items = page["items"].as_array_mut().expect("a page has items");
            for item in items {
                let value = item["value"].as_str().expect("an item has a value");
                let value = BASE64_STANDARD.decode(value).expect("a value is base64");
                let value = replace(&value, &self.addresses);
                item["value"] = BASE64_STANDARD.encode(value).into();
            }
            page.to_string().into_bytes()
        } else {
            replace(&body, &self.addresses)
        };
        let mut head = head;
        head.headers.remove("content-length");
        Response::from_parts(head, server::full_body(text))
    }
}

impl server::Handler for StoreView {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        let treatment = *self.treatment.lock().expect("no holder of the lock panics");
        match treatment {
            Treatment::Answers(span) => tokio::time::sleep(span).await,
            Treatment::Busy => {
                let mut refusal = Response::new(server::full_body("{}"));
                *refusal.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
                return Some(refusal);
            }
            Treatment::Silent => std::future::pending().await,
            Treatment::Closes => return None,
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let path = request.uri().path().to_owned();
        if query.contains("topic=keyed.op") {
            self.reads.fetch_add(1, atomic::Ordering::Relaxed);
        }
        let answer = server::Handler::handle(sync::Arc::clone(&self.store), request).await?;
        let is_read = path.ends_with("log-read") || path.ends_with("log-newest");
        if is_read && query.contains("topic=keyed.status") && answer.status() == 200 {
            return Some(self.translate(answer, path.ends_with("log-newest")).await);
        }
        Some(answer)
    }
}
