//! What the state machine asks its daemon to do.

use basilgrade_journal::node;
use bytes::Bytes;
use uuid::Uuid;

use crate::attempt_id;
use crate::decision;
use crate::message;

/// An action for the daemon to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: node::Node,
        /// The message.
        message: message::Message,
    },
    /// Append a record to stream `control` once and report the answer.
    Append {
        /// The record's id.
        id: Uuid,
        /// The body of the entry.
        body: Bytes,
    },
    /// Tell the executor of a request; given exactly once per attempt.
    Decide {
        /// The attempt.
        attempt: attempt_id::AttemptId,
        /// The decision.
        decision: decision::Decision,
    },
}
