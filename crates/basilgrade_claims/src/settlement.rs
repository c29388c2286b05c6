//! How a granted claim ended.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// The longest answer that is stored, in bytes.
pub const ANSWER_LIMIT: usize = 16 * 1024;

/// What became of the call of a granted claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settlement {
    /// The call ran; repeats get this answer if it is at most [`ANSWER_LIMIT`] long.
    Finished(Option<Bytes>),
    /// The call was not run, so a repeat may run.
    Released,
}
