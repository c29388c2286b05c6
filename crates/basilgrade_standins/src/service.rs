//! A plain service with an idempotent lookup and a non-idempotent charge.

use std::io;
use std::sync;

use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use indexmap::IndexMap;

use crate::execution;
use crate::fault;
use crate::fault_injector;
use crate::http_request;
use crate::http_response;
use crate::server;

/// Whether the service knows the system's headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Echo {
    /// Echoes request id, stage and attempt.
    #[default]
    Sent,
    /// Echoes nothing.
    Omitted,
}

/// Whether the service honours request keys.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Keys {
    /// A repeat with the same key gets the first answer and is not executed.
    Honoured,
    /// Every call is executed.
    #[default]
    Ignored,
}

struct Service {
    echo: Echo,
    keys: Keys,
    faults: fault_injector::FaultInjector,
    executions: execution::Executions,
    answers: sync::Mutex<IndexMap<String, Bytes>>,
}

/// Starts a service that answers `/lookup/{item}` and `POST /charge`.
///
/// Charges are counted for each request key in [`server::Server::executions`].
///
/// # Errors
///
/// When no port can be opened.
pub async fn start(echo: Echo, keys: Keys) -> io::Result<server::Server> {
    let faults = fault_injector::FaultInjector::default();
    let executions = execution::Executions::default();
    let service = Service {
        echo,
        keys,
        faults: faults.clone(),
        executions: executions.clone(),
        answers: sync::Mutex::default(),
    };
    server::start(sync::Arc::new(service), faults, executions).await
}

/// The answer to a lookup.
pub fn lookup(item: &str) -> Bytes {
    let hash = xxhash_rust::xxh3::xxh3_64(item.as_bytes());
    format!("{{\"item\":\"{item}\",\"price\":{}}}", hash % 1000).into()
}

/// The answer to a charge.
pub fn receipt(body: &[u8]) -> Bytes {
    let hash = xxhash_rust::xxh3::xxh3_64(body);
    format!("{{\"charged\":\"{hash:016x}\"}}").into()
}

impl Service {
    fn charge(&self, request: &http_request::HttpRequest) -> Bytes {
        let key = request.header("idempotency-key");
        let mut answers = self
            .answers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if self.keys == Keys::Honoured
            && let Some(answer) = key.and_then(|key| answers.get(key))
        {
            return answer.clone();
        }
        self.executions.add(request);
        let answer = receipt(&request.body);
        if let Some(key) = key {
            answers.insert(key.to_owned(), answer.clone());
        }
        answer
    }
}

impl server::Application for Service {
    fn faults(&self, _: &http_request::HttpRequest) -> Option<&fault_injector::FaultInjector> {
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
