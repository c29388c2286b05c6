//! Faults of a stand-in.

use basilgrade_types::clock;
use bytes::Bytes;

/// What a stand-in does wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Answers, then closes the connection without saying so, as after an idle time.
    CloseIdle,
    /// Refuses connections and closes the open ones. Only for the whole server, not for one call.
    Dead,
    /// Reads the call and never runs or answers it.
    Hang,
    /// Runs the call and answers after this time.
    Late(clock::Millis),
    /// Runs the call once and sends a whole answer again after this time, when the next call may
    /// already be on the connection.
    LateDuplicate(clock::Millis),
    /// Answers `503` as an upstream that is leaving, without running the call.
    Leaving,
    /// Answers without echo headers.
    NoEcho,
    /// Ends a token stream without `[DONE]`.
    NoDone,
    /// No fault.
    #[default]
    None,
    /// Answers `503` with the verdict `not-run`, without running the call.
    NotRun,
    /// Leaves out one token in the middle of a stream.
    OffsetJump,
    /// Sends one token in the middle of a stream twice.
    OffsetRepeat,
    /// Writes these bytes instead of an answer and closes the connection, without running the call.
    Raw(Bytes),
    /// Resets the connection after reading the call, without running it.
    Reset,
    /// Runs the call, then resets the connection without an answer.
    RunReset,
    /// Runs the call and answers with this status.
    Status(u16),
    /// Waits this long before it runs the call; an engine also before each token.
    Slow(clock::Millis),
    /// Runs the call, sends half of the body and closes the connection.
    Truncated,
    /// Runs the call once and sends the answer twice.
    Duplicate,
    /// Echoes another attempt.
    WrongAttempt,
    /// Echoes another request id.
    WrongRequest,
    /// Echoes another stage.
    WrongStage,
}
