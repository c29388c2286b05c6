//! A running platform.

use std::io;
use std::sync;
use std::time;

use futures::FutureExt;
use futures::future;
use indexmap::IndexMap;
use serde_json::json;

use crate::execution;
use crate::fault;
use crate::fault_injector;
use crate::http_request;
use crate::http_response;
use crate::platform::log_store;
use crate::platform::options;
use crate::platform::vm;
use crate::server;

/// Records that one read returns at most, whatever was asked for.
const READ_LIMIT: u64 = 1000;

#[derive(Debug)]
struct State {
    options: options::Options,
    log_faults: fault_injector::FaultInjector,
    vm_faults: fault_injector::FaultInjector,
    weight_faults: fault_injector::FaultInjector,
    executions: execution::Executions,
    log: sync::Mutex<log_store::LogStore>,
    /// VM lists with the time from which they are true; the served one lags.
    vms: sync::Mutex<Vec<(time::Instant, Vec<vm::Vm>)>>,
    weights: sync::Mutex<IndexMap<String, u64>>,
}

/// A running platform; it stops when dropped.
///
/// `server.set(Fault::Dead)` stops all of it; the other faults are set for each part.
#[derive(Debug)]
pub struct Platform {
    /// Address and executions; appends that took effect are recorded.
    pub server: server::Server,
    /// Faults of the log service.
    pub log_faults: fault_injector::FaultInjector,
    /// Faults of the VM list.
    pub vm_faults: fault_injector::FaultInjector,
    /// Faults of the weight store.
    pub weight_faults: fault_injector::FaultInjector,
    state: sync::Arc<State>,
}

/// Starts a platform.
///
/// # Errors
///
/// When no port can be opened.
pub async fn start(options: options::Options) -> io::Result<Platform> {
    let state = sync::Arc::new(State {
        log: sync::Mutex::new(log_store::LogStore::new(
            options.retention,
            options.append_rate,
        )),
        options,
        log_faults: fault_injector::FaultInjector::default(),
        vm_faults: fault_injector::FaultInjector::default(),
        weight_faults: fault_injector::FaultInjector::default(),
        executions: execution::Executions::default(),
        vms: sync::Mutex::default(),
        weights: sync::Mutex::default(),
    });
    let faults = fault_injector::FaultInjector::default();
    let executions = state.executions.clone();
    let application = sync::Arc::new(Application {
        state: sync::Arc::clone(&state),
    });
    Ok(Platform {
        server: server::start(application, faults, executions).await?,
        log_faults: state.log_faults.clone(),
        vm_faults: state.vm_faults.clone(),
        weight_faults: state.weight_faults.clone(),
        state,
    })
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Platform {
    /// Appends a record directly. Returns its offset.
    pub fn append(&self, stream: &str, body: &str) -> u64 {
        lock(&self.state.log).append(stream, body.to_owned())
    }

    /// The retained records of a stream.
    pub fn bodies(&self, stream: &str) -> Vec<String> {
        lock(&self.state.log).bodies(stream)
    }

    /// Drops the records of a stream before an offset.
    pub fn expire(&self, stream: &str, first: u64) {
        lock(&self.state.log).expire(stream, first);
    }

    /// Replaces the VM list; readers see it after the lag.
    pub fn set_vms(&self, vms: Vec<vm::Vm>) {
        lock(&self.state.vms).push((time::Instant::now(), vms));
    }

    /// Adds a model to the weight store.
    pub fn set_weights(&self, model: &str, bytes: u64) {
        lock(&self.state.weights).insert(model.to_owned(), bytes);
    }
}

struct Application {
    state: sync::Arc<State>,
}

impl Application {
    fn log(
        &self,
        request: &http_request::HttpRequest,
        stream: &str,
    ) -> http_response::HttpResponse {
        let mut log = lock(&self.state.log);
        if request.method == "GET" {
            let from = request.number("from").unwrap_or_default();
            let max = request.number("max").unwrap_or(READ_LIMIT).min(READ_LIMIT);
            return http_response::HttpResponse::json(&log.read(stream, from, max as usize));
        }
        let Ok(body) = String::from_utf8(request.body.to_vec()) else {
            return http_response::HttpResponse::whole(400, "record is not text");
        };
        if !log.admit(time::Instant::now()) {
            return http_response::HttpResponse::whole(429, "too many appends");
        }
        self.state.executions.add(request);
        let offset = log.append(stream, body);
        http_response::HttpResponse::json(&json!({"offset": offset}))
    }

    fn vms(&self) -> http_response::HttpResponse {
        let lag = self.state.options.list_lag.duration();
        let mut lists = lock(&self.state.vms);
        let visible = lists.iter().rposition(|(from, _)| from.elapsed() >= lag);
        let Some(visible) = visible else {
            return http_response::HttpResponse::whole(200, "[]");
        };
        lists.drain(..visible);
        http_response::HttpResponse::json(&lists[0].1)
    }

    fn weights(&self) -> http_response::HttpResponse {
        http_response::HttpResponse::json(&json!({
            "rate": self.state.options.store_rate,
            "models": *lock(&self.state.weights),
        }))
    }
}

impl server::Application for Application {
    fn faults(
        &self,
        request: &http_request::HttpRequest,
    ) -> Option<&fault_injector::FaultInjector> {
        match request.path() {
            "/vms" => Some(&self.state.vm_faults),
            "/weights" => Some(&self.state.weight_faults),
            _ => Some(&self.state.log_faults),
        }
    }

    fn run<'a>(
        &'a self,
        request: &'a http_request::HttpRequest,
        _: &'a fault::Fault,
    ) -> future::BoxFuture<'a, http_response::HttpResponse> {
        let path = request.path();
        let response = match path {
            "/vms" => self.vms(),
            "/weights" => self.weights(),
            _ => match path.strip_prefix("/log/") {
                Some(stream) => self.log(request, stream),
                None => http_response::HttpResponse::whole(404, ""),
            },
        };
        future::ready(response).boxed()
    }
}
