//! Kinds of messages.

use serde::Deserialize;
use serde::Serialize;

use crate::digest;
use crate::digest_reply;
use crate::full_state_chunk;
use crate::heartbeat;
use crate::node_record;
use crate::state_update;

/// What a message says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Opens a gossip exchange.
    Digest(digest::Digest),
    /// Answers a digest.
    DigestReply(digest_reply::DigestReply),
    /// Sends what an answer asked for.
    StateUpdate(state_update::StateUpdate),
    /// Asks a silent member for a sign of life.
    Probe(node_record::NodeRecord),
    /// Answers a probe.
    ProbeReply(heartbeat::Heartbeat),
    /// Asks for the whole state, except what the digest mentions.
    JoinRequest(digest::Digest),
    /// Answers a join request.
    FullStateChunk(full_state_chunk::FullStateChunk),
}
