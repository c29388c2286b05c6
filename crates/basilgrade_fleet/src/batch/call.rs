//! Calls to be sent, and what they are made of.

use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;

use crate::batch::job;
use crate::model::handle;

/// Identifies a job in its queue.
pub type JobId = u64;

/// Identifies a call in its queue.
pub type CallId = u64;

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// Where it goes.
    pub upstream: id::UpstreamId,
    /// The address of the upstream.
    pub address: net::SocketAddr,
    /// The pieces.
    pub items: Vec<Item>,
    /// When it counts as broken.
    pub timeout: clock::Millis,
}

/// One piece of a call.
#[derive(Clone, Debug)]
pub struct Item {
    /// The caller's id of the request.
    pub request: CompactString,
    /// Number of the stage.
    pub stage: u32,
    /// Number of the piece.
    pub piece: u32,
    /// Time until the result is of no use.
    pub time_left: clock::Millis,
    /// What the piece is made from.
    pub source: job::Source,
}

/// Inputs that are no longer needed.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsumedInputs {
    /// Where they are held.
    pub inputs: job::Inputs,
    /// The inputs.
    pub handles: Vec<handle::Handle>,
}
