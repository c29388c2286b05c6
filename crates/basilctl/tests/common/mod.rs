//! A log in memory whose answers can be lost.

#![allow(dead_code, unreachable_pub, reason = "each test file uses some of it")]

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

/// What happens to an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Append {
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It takes effect, its answer is lost, and the next reads fail.
    BeforeOutage,
    /// It does not take effect, and its answer is lost.
    Lost,
    /// The log refuses it.
    Refused,
    /// Another publication is stored before it.
    Second,
}

#[derive(Default)]
struct State {
    bodies: Vec<Bytes>,
    faults: VecDeque<Append>,
    competing: Option<Bytes>,
    appends: usize,
    outage: usize,
}

/// A log in memory.
#[derive(Default)]
pub struct MemoryLog {
    state: Mutex<State>,
}

impl MemoryLog {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics here")
    }

    /// Applies a fault to the next append.
    pub fn fail_append(&self, fault: Append) {
        self.lock().faults.push_back(fault);
    }

    /// Makes this many reads fail.
    pub fn fail_reads(&self, count: usize) {
        self.lock().outage = count;
    }

    /// The record that is stored first at [`Append::Second`].
    pub fn set_competing(&self, body: Bytes) {
        self.lock().competing = Some(body);
    }

    /// How many appends were tried.
    pub fn appends(&self) -> usize {
        self.lock().appends
    }

    /// The newest record.
    pub fn last(&self) -> Bytes {
        self.lock().bodies.last().cloned().unwrap_or_default()
    }

    fn store(&self, body: Bytes) -> Result<offset::Offset, AppendError> {
        let mut state = self.lock();
        state.appends += 1;
        let fault = state.faults.pop_front();
        let unknown = Err(AppendError::Unknown("answer lost".to_owned()));
        match fault {
            Some(Append::Refused) => return Err(AppendError::NotAppended("refused".to_owned())),
            Some(Append::Lost) => return unknown,
            Some(Append::Second) => {
                let competing = state.competing.take().expect("a competing record is set");
                state.bodies.push(competing);
            }
            Some(Append::BeforeOutage) => state.outage = 5,
            Some(Append::AnswerLost) | None => {}
        }
        state.bodies.push(body);
        if matches!(fault, Some(Append::AnswerLost | Append::BeforeOutage)) {
            return unknown;
        }
        Ok(offset::Offset(state.bodies.len() as u64 - 1))
    }

    fn load(&self, from: offset::Offset, max: usize) -> Result<log_service::Batch, ReadError> {
        let mut state = self.lock();
        if state.outage > 0 {
            state.outage -= 1;
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

/// The path of a committed example.
pub fn example_file(name: &str) -> String {
    format!(
        "{}/../../docs/examples/{name}.ini",
        env!("CARGO_MANIFEST_DIR")
    )
}

/// A committed example.
pub fn example(name: &str) -> deployment::Deployment {
    let text = std::fs::read_to_string(example_file(name)).expect("the example is committed");
    config::parse(&text, name).expect("the example is valid")
}

/// The example with another burst for its first customer.
pub fn changed(name: &str, burst: u32) -> deployment::Deployment {
    let mut deployment = example(name);
    deployment.customers[0].burst = burst;
    deployment
}
