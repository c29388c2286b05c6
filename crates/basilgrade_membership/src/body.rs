//! Payloads of membership messages.

use serde::Deserialize;
use serde::Serialize;

use crate::chunk;
use crate::digest;
use crate::digest_reply;
use crate::heartbeat;
use crate::node_record;
use crate::state_update;

/// The payload of a membership message.
///
/// postcard encodes the variant by its index, so the order of the variants is part of the protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Opens a gossip exchange.
    Digest(digest::Digest),
    /// Replies to a digest.
    DigestReply(digest_reply::DigestReply),
    /// Sends the items that a digest reply requested.
    StateUpdate(state_update::StateUpdate),
    /// Asks a member whose heartbeats are late to prove that it is alive.
    Probe(node_record::NodeRecord),
    /// Replies to a probe.
    ProbeReply(heartbeat::Heartbeat),
    /// Requests the full state, except for the part that the digest lists.
    JoinRequest(digest::Digest),
    /// Replies to a join request.
    StateChunk(chunk::StateChunk),
}
