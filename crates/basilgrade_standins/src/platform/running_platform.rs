//! Server of the stand-in for the platform.

use std::io;
use std::sync;
use std::time;

use futures::FutureExt;
use futures::future;
use indexmap::IndexMap;
use serde_json::json;

use crate::execution;
use crate::fault;
use crate::fault_switch;
use crate::http_request;
use crate::http_response;
use crate::platform::log_store;
use crate::platform::options;
use crate::platform::vm;
use crate::server;

/// Maximum number of records per read, even if the request allows more.
const READ_LIMIT: u64 = 1000;

#[derive(Debug)]
struct State {
    options: options::Options,
    log_faults: fault_switch::FaultSwitch,
    vm_faults: fault_switch::FaultSwitch,
    weight_faults: fault_switch::FaultSwitch,
    executions: execution::Executions,
    log: sync::Mutex<log_store::LogStore>,
    /// VM lists with the time when each was set. The newest one older than the lag is served.
    vms: sync::Mutex<Vec<(time::Instant, Vec<vm::Vm>)>>,
    weights: sync::Mutex<IndexMap<String, u64>>,
}

/// A running platform, which stops when dropped.
///
/// `server.set_fault(Fault::Dead)` makes the log service, the VM list and the weight store
/// unreachable. Other faults are set separately for each of the three.
#[derive(Debug)]
pub struct Platform {
    /// Address and executions. Only appends that took effect are recorded.
    pub server: server::Server,
    /// Faults of the log service.
    pub log_faults: fault_switch::FaultSwitch,
    /// Faults of the VM list.
    pub vm_faults: fault_switch::FaultSwitch,
    /// Faults of the weight store.
    pub weight_faults: fault_switch::FaultSwitch,
    state: sync::Arc<State>,
}

/// Starts a stand-in for the platform.
///
/// # Errors
///
/// Returns the error of the operating system if no port can be opened.
pub async fn start(options: options::Options) -> io::Result<Platform> {
    let state = sync::Arc::new(State {
        log: sync::Mutex::new(log_store::LogStore::new(
            options.retention,
            options.append_rate,
        )),
        options,
        log_faults: fault_switch::FaultSwitch::default(),
        vm_faults: fault_switch::FaultSwitch::default(),
        weight_faults: fault_switch::FaultSwitch::default(),
        executions: execution::Executions::default(),
        vms: sync::Mutex::default(),
        weights: sync::Mutex::default(),
    });
    let faults = fault_switch::FaultSwitch::default();
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
    /// Appends a record without an HTTP call and returns its offset.
    pub fn append(&self, stream: &str, body: &str) -> u64 {
        lock(&self.state.log).append(stream, body.to_owned())
    }

    /// Returns the bodies of the retained records of a stream.
    pub fn bodies(&self, stream: &str) -> Vec<String> {
        lock(&self.state.log).bodies(stream)
    }

    /// Removes the records of a stream before offset `first`.
    pub fn expire(&self, stream: &str, first: u64) {
        lock(&self.state.log).expire(stream, first);
    }

    /// Replaces the VM list. Requests see the new list after the lag of the options.
    pub fn set_vms(&self, vms: Vec<vm::Vm>) {
        lock(&self.state.vms).push((time::Instant::now(), vms));
    }

    /// Sets the size of the weights of a model in the weight store.
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
            return http_response::HttpResponse::whole(400, "record is not UTF-8 text");
        };
        if !log.admit(time::Instant::now()) {
            return http_response::HttpResponse::whole(
                429,
                "append rate limit exceeded; try again later",
            );
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
    fn faults(&self, request: &http_request::HttpRequest) -> Option<&fault_switch::FaultSwitch> {
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
