//! Server of the stand-in for an engine.

use std::io;
use std::sync;

use futures::FutureExt;
use futures::future;
use serde_json::json;

use crate::engine::generation;
use crate::engine::options;
use crate::engine::state;
use crate::fault;
use crate::fault_switch;
use crate::http_request;
use crate::http_response;
use crate::server;

pub use crate::engine::state::Cancellation;
pub use crate::engine::state::Order;

/// A running engine, which stops when dropped.
#[derive(Debug)]
pub struct Engine {
    /// Address, faults and executions of the engine.
    pub server: server::Server,
    state: sync::Arc<state::State>,
}

/// Starts a stand-in for an engine.
///
/// # Errors
///
/// Returns the error of the operating system if no port can be opened.
pub async fn start(options: options::Options) -> io::Result<Engine> {
    let state = sync::Arc::new(state::State::new(options));
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
    /// Returns the received cancellations in order of arrival.
    pub fn cancellations(&self) -> Vec<Cancellation> {
        self.state.lock().cancellations.clone()
    }

    /// Returns the number of resumed generations whose received tokens differ from the tokens that
    /// this engine generates.
    pub fn resume_conflicts(&self) -> usize {
        self.state.lock().conflicts
    }

    /// Returns the loaded models.
    pub fn models(&self) -> Vec<String> {
        self.state.lock().models.clone()
    }

    /// Returns the accepted orders in order of arrival.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().orders.clone()
    }

    /// Returns the number of orders refused because of an outdated fencing number.
    pub fn refused_orders(&self) -> usize {
        self.state.lock().refused
    }

    /// Returns the prompts of all started generations in order of start.
    pub fn started(&self) -> Vec<String> {
        self.state.lock().started.clone()
    }

    /// Returns the number of queued generations.
    pub fn queued(&self) -> usize {
        self.state.slots.load().1
    }

    /// Returns the ids of requests whose running generation was stopped by a cancellation.
    pub fn cancelled_requests(&self) -> Vec<String> {
        self.state.lock().cancelled.iter().cloned().collect()
    }
}

struct Application {
    state: sync::Arc<state::State>,
}

impl Application {
    fn cancel(&self, request: &http_request::HttpRequest, id: &str) {
        let text = |name| request.header(name).map(str::to_owned);
        let cancellation = state::Cancellation {
            request: id.to_owned(),
            stage: text("basilgrade-stage"),
            attempt: text("basilgrade-attempt"),
        };
        self.state.lock().cancellations.push(cancellation.clone());
        // Sending fails if no generation is running; the cancellation then has no effect.
        let _ = self.state.cancel.send(cancellation);
    }

    fn load(&self) -> http_response::HttpResponse {
        let lag = self.state.options.report_lag;
        let leaving = self.state.faults.default_fault() == fault::Fault::Leaving;
        let mutable = self.state.lock();
        let now = std::time::Instant::now();
        let (running, queued) = mutable.history.at(now, lag.duration());
        http_response::HttpResponse::json(&json!({
            "running": running,
            "queued": queued,
            "age": lag.0,
            "leaving": leaving,
            "models": mutable.models,
        }))
    }

    fn order(&self, body: &[u8]) -> http_response::HttpResponse {
        let order: state::Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return http_response::HttpResponse::whole(400, error.to_string()),
        };
        let new_models = {
            let mut mutable = self.state.lock();
            let highest = mutable.orders.iter().map(|order| order.fence).max();
            if self.state.options.fencing == options::Fencing::Checked
                && highest.is_some_and(|highest| order.fence < highest)
            {
                mutable.refused += 1;
                return http_response::HttpResponse::whole(
                    409,
                    "fencing number of the order is outdated",
                );
            }
            mutable.orders.push(order.clone());
            let missing = order.models.iter().filter(|m| !mutable.models.contains(m));
            missing.count() as u64
        };
        let load_time = self.state.options.load_time.0.saturating_mul(new_models);
        let state = sync::Arc::clone(&self.state);
        let apply_order = move || {
            let mut mutable = state.lock();
            // A newer order that arrived while the models were loading supersedes `order`.
            if mutable.orders.last() == Some(&order) {
                mutable.models.clone_from(&order.models);
            }
        };
        if load_time == 0 {
            apply_order();
        } else {
            tokio::spawn(async move {
                tokio::time::sleep(std::time::Duration::from_millis(load_time)).await;
                apply_order();
            });
        }
        http_response::HttpResponse::whole(200, "")
    }

    fn kv(&self, request: &http_request::HttpRequest, prefix: &str) -> http_response::HttpResponse {
        let Ok(prefix) = prefix.parse() else {
            return http_response::HttpResponse::whole(
                400,
                "prefix hash in the path is not a number",
            );
        };
        let cache = &mut self.state.lock().cache;
        if request.method == "PUT" {
            cache.put(prefix, request.body.clone());
            return http_response::HttpResponse::whole(200, "");
        }
        match cache.get(prefix) {
            Some(kv) => http_response::HttpResponse::whole(200, kv),
            None => http_response::HttpResponse::whole(404, "prefix is not in the KV cache"),
        }
    }
}

impl server::Application for Application {
    fn faults(&self, request: &http_request::HttpRequest) -> Option<&fault_switch::FaultSwitch> {
        let default_fault = self.state.faults.default_fault();
        let affects_all = matches!(default_fault, fault::Fault::Dead | fault::Fault::Hang);
        let is_generation = request.path() == "/v1/completions";
        (is_generation || affects_all).then_some(&self.state.faults)
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
