//! Outcomes of calls made under granted claims.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// The longest answer that is stored for repeats of a request, in bytes.
pub const ANSWER_LIMIT: usize = 16 * 1024;

/// The outcome of the call made under a granted claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Settlement {
    /// The call ran; repeats get this answer if it is at most [`ANSWER_LIMIT`] bytes long.
    Finished(Option<Bytes>),
    /// The call was not run, so a repeat of the request may be.
    Released,
}
