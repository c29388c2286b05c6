//! Actions that the claims state machine requests from its daemon.

use basilgrade_journal::node;
use bytes::Bytes;
use uuid::Uuid;

use crate::attempt_id;
use crate::decision;
use crate::message;

/// An action for the daemon to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// Send a message to another daemon; the state machine tolerates its loss.
    Send {
        to: node::Node,
        message: message::Message,
    },
    /// Append a record to the log stream `control` once, and report the answer of the log with
    /// [`crate::claims::Claims::appended`].
    Append {
        id: Uuid,
        /// The encoded record.
        body: Bytes,
    },
    /// Pass the decision on a claim to the executor of the request; emitted exactly once per
    /// attempt.
    Decide {
        attempt: attempt_id::AttemptId,
        decision: decision::Decision,
    },
}
