//! Outcomes of jobs, pieces and calls.

use std::fmt;

use basilgrade_types::clock;
use serde::Deserialize;
use serde::Serialize;

use crate::model::handle;

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All pieces are computed; their results in order.
    Completed(Vec<handle::Handle>),
    /// The deadline has passed, or would pass before the pieces are computed.
    TimedOut,
    /// An input of the pieces no longer exists.
    InputGone,
    /// The queue cannot take the job now; no piece was sent, and another queue may be tried.
    HandedBack,
    /// Every permitted attempt to compute the pieces has failed.
    Failed,
}

impl fmt::Display for JobOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed(_) => "completed",
            Self::TimedOut => "timed-out",
            Self::InputGone => "input-gone",
            Self::HandedBack => "handed-back",
            Self::Failed => "failed",
        })
    }
}

/// Outcome of one piece of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PieceOutcome {
    /// The piece is computed, with this result.
    Completed(handle::Handle),
    /// The deadline of the piece had passed when the upstream was about to compute it.
    TimedOut,
    /// An input of the piece no longer exists.
    InputGone,
    /// The upstream had no memory left for the result.
    NoRoom,
    /// The upstream failed to compute the piece.
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The upstream answered with one outcome for each piece, in order.
    Answered(Vec<PieceOutcome>),
    /// The upstream was at capacity and computed nothing.
    Full,
    /// The call was not sent, as the upstream is at the request limit that it names; it may be sent
    /// after this time.
    Held(clock::Millis),
    /// Another upstream has taken over the address.
    WrongUpstream,
    /// The call failed or its answer was unusable, so the pieces may have been computed.
    Broken,
    /// The direct path to the upstream failed during the call, so the pieces may have been computed,
    /// and the upstream may be well.
    PathLost,
}
