//! Stand-in for a member of a stage pool.

use std::io;
use std::sync;

use bytes::Bytes;
use futures::FutureExt;
use futures::future;

use crate::execution;
use crate::fault;
use crate::fault_switch;
use crate::http_request;
use crate::http_response;
use crate::server;

struct Member {
    faults: fault_switch::FaultSwitch,
    executions: execution::Executions,
}

/// Starts a pool member that serves `POST /run`.
///
/// # Errors
///
/// Returns the error of the operating system if no port can be opened.
pub async fn start() -> io::Result<server::Server> {
    let faults = fault_switch::FaultSwitch::default();
    let executions = execution::Executions::default();
    let member = Member {
        faults: faults.clone(),
        executions: executions.clone(),
    };
    server::start(sync::Arc::new(member), faults, executions).await
}

/// Returns the response of a stage to `input`: `stage(input)`.
///
/// The nested names show which stages produced the response of a pipeline.
pub fn transform(stage: &str, input: &[u8]) -> Bytes {
    [stage.as_bytes(), b"(", input, b")"].concat().into()
}

impl server::Application for Member {
    fn faults(&self, _: &http_request::HttpRequest) -> Option<&fault_switch::FaultSwitch> {
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
