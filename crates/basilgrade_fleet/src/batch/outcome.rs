//! How pieces ended.

use serde::Deserialize;
use serde::Serialize;

use crate::model::handle;

/// How a job ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All pieces are made, in order.
    Completed(Vec<handle::Handle>),
    /// The time is over, or will be before the pieces can be made.
    TimedOut,
    /// A result that the pieces need no longer exists.
    InputGone,
    /// The queue cannot take it now; nothing was made, and another one may be tried.
    HandedBack,
    /// The pieces could not be made by any upstream that was tried.
    Failed,
}

/// How one piece of a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PieceOutcome {
    /// It is made.
    Completed(handle::Handle),
    /// Its time was over when its turn came.
    TimedOut,
    /// A result that it needs no longer exists.
    InputGone,
    /// The upstream had no room for its result.
    NoRoom,
    /// The upstream failed.
    Failed,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// It was answered; an outcome for each piece in order.
    Answered(Vec<PieceOutcome>),
    /// The upstream was full and did nothing.
    Full,
    /// Another upstream has the address.
    WrongUpstream,
    /// There is no usable answer.
    Broken,
}
