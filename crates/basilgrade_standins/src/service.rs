//! Stand-in for a service with an idempotent lookup and a non-idempotent charge.

use std::io;
use std::sync;

use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use indexmap::IndexMap;

use crate::execution;
use crate::fault;
use crate::fault_switch;
use crate::http_request;
use crate::http_response;
use crate::server;

/// Whether the service echoes the `basilgrade-` headers that identify a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Echo {
    /// The service echoes request id, stage and attempt.
    #[default]
    Sent,
    /// The service echoes no header.
    Omitted,
}

/// Whether the service deduplicates charges by idempotency key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Keys {
    /// A charge with a known key gets the first response again and is not executed.
    Honoured,
    /// Every charge is executed.
    #[default]
    Ignored,
}

struct Service {
    echo: Echo,
    keys: Keys,
    faults: fault_switch::FaultSwitch,
    executions: execution::Executions,
    receipts: sync::Mutex<IndexMap<String, Bytes>>,
}

/// Starts a service that serves `/lookup/{item}` and `POST /charge`.
///
/// Executed lookups and charges are recorded in [`server::Server::executions`].
///
/// # Errors
///
/// Returns the error of the operating system if no port can be opened.
pub async fn start(echo: Echo, keys: Keys) -> io::Result<server::Server> {
    let faults = fault_switch::FaultSwitch::default();
    let executions = execution::Executions::default();
    let service = Service {
        echo,
        keys,
        faults: faults.clone(),
        executions: executions.clone(),
        receipts: sync::Mutex::default(),
    };
    server::start(sync::Arc::new(service), faults, executions).await
}

/// Returns the body of the response to a lookup, which depends only on `item`.
pub fn lookup(item: &str) -> Bytes {
    let hash = xxhash_rust::xxh3::xxh3_64(item.as_bytes());
    format!("{{\"item\":\"{item}\",\"price\":{}}}", hash % 1000).into()
}

/// Returns the body of the response to a charge, which depends only on the body of the request.
pub fn receipt(body: &[u8]) -> Bytes {
    let hash = xxhash_rust::xxh3::xxh3_64(body);
    format!("{{\"charged\":\"{hash:016x}\"}}").into()
}

impl Service {
    fn charge(&self, request: &http_request::HttpRequest) -> Bytes {
        let key = request.header("idempotency-key");
        let mut receipts = self
            .receipts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if self.keys == Keys::Honoured
            && let Some(known) = key.and_then(|key| receipts.get(key))
        {
            return known.clone();
        }
        self.executions.add(request);
        let new = receipt(&request.body);
        if let Some(key) = key {
            receipts.insert(key.to_owned(), new.clone());
        }
        new
    }
}

impl server::Application for Service {
    fn faults(&self, _: &http_request::HttpRequest) -> Option<&fault_switch::FaultSwitch> {
        Some(&self.faults)
    }

    fn echoes(&self) -> bool {
        self.echo == Echo::Sent
    }

    fn run<'a>(
        &'a self,
        request: &'a http_request::HttpRequest,
        _: &'a fault::Fault,
    ) -> future::BoxFuture<'a, http_response::HttpResponse> {
        let response = if let Some(item) = request.path().strip_prefix("/lookup/") {
            self.executions.add(request);
            http_response::HttpResponse::whole(200, lookup(item))
        } else if request.method == "POST" && request.path() == "/charge" {
            http_response::HttpResponse::whole(200, self.charge(request))
        } else {
            http_response::HttpResponse::whole(404, "")
        };
        future::ready(response).boxed()
    }
}
