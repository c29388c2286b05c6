//! What callers and the operator saw.

use std::collections::BTreeMap;
use std::sync;
use std::time;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    Once,
    Safe,
    Stream,
    Resumable,
    /// A request that only shows which configuration is in force.
    Probe(u64),
}

/// One request and its end.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) daemon: usize,
    /// Run of the daemon's process.
    pub(crate) incarnation: u64,
    pub(crate) sent: time::Instant,
    pub(crate) ended: time::Instant,
    /// `None` if the connection ended without an answer, or the caller gave up.
    pub(crate) status: Option<u16>,
    pub(crate) gave_up: bool,
    pub(crate) body: String,
    pub(crate) is_whole: bool,
}

/// A span in which something was harmed.
#[derive(Clone, Debug)]
pub(crate) struct Harmed {
    /// The daemon, or `None` for the store.
    pub(crate) daemon: Option<usize>,
    pub(crate) from: time::Instant,
    pub(crate) until: time::Instant,
}

/// An upstream that left.
#[derive(Clone, Debug)]
pub(crate) struct Left {
    pub(crate) upstream: String,
    pub(crate) from: time::Instant,
    pub(crate) until: time::Instant,
}

/// Everything that was seen in a run.
#[derive(Default)]
pub(crate) struct Record {
    pub(crate) requests: sync::Mutex<Vec<Request>>,
    pub(crate) harmed: sync::Mutex<Vec<Harmed>>,
    pub(crate) left: sync::Mutex<Vec<Left>>,
    pub(crate) faults: sync::Mutex<BTreeMap<String, usize>>,
    pub(crate) findings: sync::Mutex<Vec<String>>,
}

/// Adds to one of the lists.
pub(crate) fn add<T>(list: &sync::Mutex<Vec<T>>, entry: T) {
    list.lock().expect("no task panics here").push(entry);
}

/// A copy of one of the lists.
pub(crate) fn all<T: Clone>(list: &sync::Mutex<Vec<T>>) -> Vec<T> {
    list.lock().expect("no task panics here").clone()
}
