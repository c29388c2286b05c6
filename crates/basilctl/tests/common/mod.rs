//! An in-memory log with faults, and example configurations.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only a part of this module"
)]

use std::collections::VecDeque;
use std::sync::Mutex;

use basilgrade_config as config;
use basilgrade_config::model::deployment;
use basilgrade_platform::error::AppendError;
use basilgrade_platform::error::ReadError;
use basilgrade_platform::log_service;
use basilgrade_types::offset;
use bytes::Bytes;
use futures::FutureExt;
use futures::future;

/// A fault of one append to [`MemoryLog`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The record is stored, but the response is lost.
    ResponseLost,
    /// The record is stored, but the response is lost and the next five reads fail.
    StoredBeforeOutage,
    /// The request is lost: the record is not stored, but the error leaves the outcome unknown.
    RequestLost,
    /// The log refuses the record.
    Refused,
    /// The record set with [`MemoryLog::set_competing`] is stored first.
    AfterCompeting,
}

#[derive(Default)]
struct State {
    bodies: Vec<Bytes>,
    faults: VecDeque<Fault>,
    competing: Option<Bytes>,
    appends: usize,
    failing_reads: usize,
}

/// An in-memory log with one stream.
#[derive(Default)]
pub struct MemoryLog {
    state: Mutex<State>,
}

impl MemoryLog {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panicked while it held the lock")
    }

    /// Adds a fault to the queue, from which each append takes one.
    pub fn fail_append(&self, fault: Fault) {
        self.lock().faults.push_back(fault);
    }

    /// Makes the next `count` reads fail.
    pub fn fail_reads(&self, count: usize) {
        self.lock().failing_reads = count;
    }

    /// Sets the record that is stored first at [`Fault::AfterCompeting`].
    pub fn set_competing(&self, body: Bytes) {
        self.lock().competing = Some(body);
    }

    /// The number of attempted appends.
    pub fn appends(&self) -> usize {
        self.lock().appends
    }

    /// The body of the newest record; empty if there is none.
    pub fn last(&self) -> Bytes {
        self.lock().bodies.last().cloned().unwrap_or_default()
    }

    fn store(&self, body: Bytes) -> Result<offset::Offset, AppendError> {
        let mut state = self.lock();
        state.appends += 1;
        let fault = state.faults.pop_front();
        let unknown = Err(AppendError::Unknown("response lost".to_owned()));
        match fault {
            Some(Fault::Refused) => return Err(AppendError::NotAppended("refused".to_owned())),
            Some(Fault::RequestLost) => return unknown,
            Some(Fault::AfterCompeting) => {
                let competing = state.competing.take().expect("a competing record is set");
                state.bodies.push(competing);
            }
            Some(Fault::StoredBeforeOutage) => state.failing_reads = 5,
            Some(Fault::ResponseLost) | None => {}
        }
        state.bodies.push(body);
        if matches!(fault, Some(Fault::ResponseLost | Fault::StoredBeforeOutage)) {
            return unknown;
        }
        Ok(offset::Offset(state.bodies.len() as u64 - 1))
    }

    fn load(&self, from: offset::Offset, max: usize) -> Result<log_service::Batch, ReadError> {
        let mut state = self.lock();
        if state.failing_reads > 0 {
            state.failing_reads -= 1;
            return Err(ReadError::Unavailable("outage".to_owned()));
        }
        let bodies = state.bodies.iter().enumerate();
        let records: Vec<log_service::Record> = bodies
            .skip(from.0 as usize)
            .take(max)
            .map(|(index, body)| log_service::Record {
                offset: offset::Offset(index as u64),
                body: body.clone(),
            })
            .collect();
        let next = records.last().map_or(from, |record| record.offset.next());
        Ok(log_service::Batch {
            first: offset::Offset(0),
            next,
            records,
        })
    }
}

impl log_service::LogService for MemoryLog {
    fn append<'a>(
        &'a self,
        _: &'a str,
        body: Bytes,
    ) -> future::BoxFuture<'a, Result<offset::Offset, AppendError>> {
        future::ready(self.store(body)).boxed()
    }

    fn read<'a>(
        &'a self,
        _: &'a str,
        from: offset::Offset,
        max: usize,
    ) -> future::BoxFuture<'a, Result<log_service::Batch, ReadError>> {
        future::ready(self.load(from, max)).boxed()
    }
}

/// The path of the example configuration `name` in the repository.
pub fn example_file(name: &str) -> String {
    format!(
        "{}/../../docs/examples/{name}.ini",
        env!("CARGO_MANIFEST_DIR")
    )
}

/// The example configuration `name` in the repository.
pub fn example(name: &str) -> deployment::Deployment {
    let text =
        std::fs::read_to_string(example_file(name)).expect("the example is in the repository");
    config::parse(&text, name).expect("the example is valid")
}

/// The example configuration `name` with another `burst` for its first customer.
pub fn example_with_burst(name: &str, burst: u32) -> deployment::Deployment {
    let mut deployment = example(name);
    deployment.customers[0].burst = burst;
    deployment
}
