//! A member of a stage pool.

use std::io;
use std::sync;

use bytes::Bytes;
use futures::FutureExt;
use futures::future;

use crate::execution;
use crate::fault;
use crate::fault_injector;
use crate::http_request;
use crate::http_response;
use crate::server;

struct Member {
    faults: fault_injector::FaultInjector,
    executions: execution::Executions,
}

/// Starts a pool member that answers `POST /run`.
///
/// # Errors
///
/// When no port can be opened.
pub async fn start() -> io::Result<server::Server> {
    let faults = fault_injector::FaultInjector::default();
    let executions = execution::Executions::default();
    let member = Member {
        faults: faults.clone(),
        executions: executions.clone(),
    };
    server::start(sync::Arc::new(member), faults, executions).await
}

/// The answer to `input` at a stage: `stage(input)`, so that an answer shows all its stages.
pub fn transform(stage: &str, input: &[u8]) -> Bytes {
    [stage.as_bytes(), b"(", input, b")"].concat().into()
}

impl server::Application for Member {
    fn faults(&self, _: &http_request::HttpRequest) -> Option<&fault_injector::FaultInjector> {
        Some(&self.faults)
    }

    fn run<'a>(
        &'a self,
        request: &'a http_request::HttpRequest,
        _: &'a fault::Fault,
    ) -> future::BoxFuture<'a, http_response::HttpResponse> {
        if request.method != "POST" || request.path() != "/run" {
            return future::ready(http_response::HttpResponse::whole(404, "")).boxed();
        }
        self.executions.add(request);
        let stage = request.header("basilgrade-stage").unwrap_or_default();
        let body = transform(stage, &request.body);
        future::ready(http_response::HttpResponse::whole(200, body)).boxed()
    }
}
