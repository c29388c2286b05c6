//! Calls to upstreams that process pieces.

use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;

use crate::batch::job;
use crate::model::handle;

/// Id of a job, unique in its queue.
pub type JobId = u64;

/// Id of a call, unique in its queue.
pub type CallId = u64;

/// Call to be sent to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: CallId,
    /// Upstream that receives the call.
    pub upstream: id::UpstreamId,
    pub address: net::SocketAddr,
    /// Pieces to compute.
    pub items: Vec<Item>,
    /// Whether a request of the pieces may not be served everywhere.
    pub is_restricted: bool,
    /// Time after which a call without an answer has failed.
    pub timeout: clock::Millis,
}

/// Piece in a call.
#[derive(Clone, Debug)]
pub struct Item {
    /// Request id that the caller assigned.
    pub request: CompactString,
    /// Index of the stage in its route.
    pub stage: u32,
    /// Index of the piece in its stage.
    pub piece: u32,
    /// Time left until the result is useless.
    pub time_left: clock::Millis,
    /// Input from which the piece is computed.
    pub source: job::Source,
}

/// Inputs that no stage needs any more, so that they can be freed.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsumedInputs {
    /// Pool that holds the inputs, and their size.
    pub inputs: job::Inputs,
    pub handles: Vec<handle::Handle>,
}
