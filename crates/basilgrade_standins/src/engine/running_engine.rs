//! A running engine.

use std::io;
use std::sync;

use futures::FutureExt;
use futures::future;
use serde_json::json;

use crate::engine::generation;
use crate::engine::options;
use crate::engine::shared_state;
use crate::fault;
use crate::fault_injector;
use crate::http_request;
use crate::http_response;
use crate::server;

pub use crate::engine::shared_state::Cancellation;
pub use crate::engine::shared_state::Order;

/// A running engine; it stops when dropped.
#[derive(Debug)]
pub struct Engine {
    /// Address, faults and executions.
    pub server: server::Server,
    state: sync::Arc<shared_state::SharedState>,
}

/// Starts an engine.
///
/// # Errors
///
/// When no port can be opened.
pub async fn start(options: options::Options) -> io::Result<Engine> {
    let state = sync::Arc::new(shared_state::SharedState::new(options));
    let application = sync::Arc::new(Application {
        state: sync::Arc::clone(&state),
    });
    let faults = state.faults.clone();
    let executions = state.executions.clone();
    Ok(Engine {
        server: server::start(application, faults, executions).await?,
        state,
    })
}

impl Engine {
    /// Cancellations received, in order.
    pub fn cancellations(&self) -> Vec<Cancellation> {
        self.state.lock().cancellations.clone()
    }

    /// Resumed generations whose received tokens differ from what this engine generates.
    pub fn resume_conflicts(&self) -> usize {
        self.state.lock().conflicts
    }

    /// Models loaded.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().models.clone()
    }

    /// Orders followed, in order.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().orders.clone()
    }

    /// Orders refused because of their fencing number.
    pub fn refused_orders(&self) -> usize {
        self.state.lock().refused
    }

    /// Prompts in the order in which their generations started.
    pub fn started(&self) -> Vec<String> {
        self.state.lock().started.clone()
    }

    /// Generations that wait for their turn.
    pub fn queued(&self) -> usize {
        self.state.slots.load().1
    }

    /// Requests whose generation stopped because of a cancellation.
    pub fn cancelled_requests(&self) -> Vec<String> {
        self.state.lock().cancelled.iter().cloned().collect()
    }
}

struct Application {
    state: sync::Arc<shared_state::SharedState>,
}

impl Application {
    fn cancel(&self, request: &http_request::HttpRequest, id: &str) {
        let text = |name| request.header(name).map(str::to_owned);
        let cancellation = shared_state::Cancellation {
            request: id.to_owned(),
            stage: text("basilgrade-stage"),
            attempt: text("basilgrade-attempt"),
        };
        self.state.lock().cancellations.push(cancellation.clone());
        // Nobody listens when no generation is running.
        let _ = self.state.cancel.send(cancellation);
    }

    fn load(&self) -> http_response::HttpResponse {
        let lag = self.state.options.report_lag;
        let leaving = self.state.faults.default_fault() == fault::Fault::Leaving;
        let inner = self.state.lock();
        let now = std::time::Instant::now();
        let (running, queued) = inner.history.at(now, lag.duration());
        http_response::HttpResponse::json(&json!({
            "running": running,
            "queued": queued,
            "age": lag.0,
            "leaving": leaving,
            "models": inner.models,
        }))
    }

    fn order(&self, body: &[u8]) -> http_response::HttpResponse {
        let order: shared_state::Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return http_response::HttpResponse::whole(400, error.to_string()),
        };
        let new = {
            let mut inner = self.state.lock();
            let newest = inner.orders.iter().map(|order| order.fence).max();
            if self.state.options.fencing == options::Fencing::Checked
                && newest.is_some_and(|newest| order.fence < newest)
            {
                inner.refused += 1;
                return http_response::HttpResponse::whole(409, "fencing number is old");
            }
            inner.orders.push(order.clone());
            let new = order.models.iter().filter(|m| !inner.models.contains(m));
            new.count() as u64
        };
        let time = self.state.options.load_time.0.saturating_mul(new);
        let state = sync::Arc::clone(&self.state);
        let load = move || {
            let mut inner = state.lock();
            // An order that came in while models were loading replaces this one.
            if inner.orders.last() == Some(&order) {
                inner.models.clone_from(&order.models);
            }
        };
        if time == 0 {
            load();
        } else {
            tokio::spawn(async move {
                tokio::time::sleep(std::time::Duration::from_millis(time)).await;
                load();
            });
        }
        http_response::HttpResponse::whole(200, "")
    }

    fn kv(&self, request: &http_request::HttpRequest, prefix: &str) -> http_response::HttpResponse {
        let Ok(prefix) = prefix.parse() else {
            return http_response::HttpResponse::whole(400, "prefix is not a number");
        };
        let cache = &mut self.state.lock().cache;
        if request.method == "PUT" {
            cache.put(prefix, request.body.clone());
            return http_response::HttpResponse::whole(200, "");
        }
        match cache.get(prefix) {
            Some(kv) => http_response::HttpResponse::whole(200, kv),
            None => http_response::HttpResponse::whole(404, "prefix is not cached"),
        }
    }
}

impl server::Application for Application {
    fn faults(
        &self,
        request: &http_request::HttpRequest,
    ) -> Option<&fault_injector::FaultInjector> {
        let default_fault = self.state.faults.default_fault();
        let all = matches!(default_fault, fault::Fault::Dead | fault::Fault::Hang);
        let work = request.path() == "/v1/completions";
        (work || all).then_some(&self.state.faults)
    }

    fn run<'a>(
        &'a self,
        request: &'a http_request::HttpRequest,
        fault: &'a fault::Fault,
    ) -> future::BoxFuture<'a, http_response::HttpResponse> {
        async move {
            let path = request.path();
            if let Some(id) = path.strip_prefix("/v1/cancel/") {
                self.cancel(request, id);
                return http_response::HttpResponse::whole(200, "");
            }
            if let Some(prefix) = path.strip_prefix("/kv/") {
                return self.kv(request, prefix);
            }
            match path {
                "/v1/completions" => generation::start(&self.state, request, fault),
                "/load" => self.load(),
                "/cache/events" => {
                    let from = request.number("from").unwrap_or_default();
                    http_response::HttpResponse::json(&self.state.lock().cache.events(from))
                }
                "/orders" => self.order(&request.body),
                _ => http_response::HttpResponse::whole(404, ""),
            }
        }
        .boxed()
    }
}
