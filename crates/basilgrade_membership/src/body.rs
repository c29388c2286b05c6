//! Kinds of messages.

use serde::Deserialize;
use serde::Serialize;

use crate::answer;
use crate::chunk;
use crate::digest;
use crate::heartbeat;
use crate::news;
use crate::record;

/// What a message says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Opens a gossip exchange.
    Digest(digest::Digest),
    /// Answers a digest.
    Answer(answer::Answer),
    /// Sends what an answer asked for.
    News(news::News),
    /// Asks a silent member for a sign of life.
    Probe(record::Record),
    /// Answers a probe.
    Reply(heartbeat::Heartbeat),
    /// Asks for the whole state, except what the digest mentions.
    Join(digest::Digest),
    /// Answers a join request.
    Chunk(chunk::Chunk),
}
