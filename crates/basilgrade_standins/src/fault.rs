//! Faults that can be injected into a stand-in.

use basilgrade_types::clock;
use bytes::Bytes;

/// A fault of a stand-in, which applies to a single call unless stated otherwise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    /// Responds, then closes the connection without `connection: close`, like a server whose idle
    /// timeout expired.
    CloseIdle,
    /// Refuses connections and closes open ones. Applies to the whole server, not to a single call.
    Dead,
    /// Reads the call, but neither runs it nor responds.
    Hang,
    /// Runs the call and responds after this delay.
    Late(clock::Millis),
    /// Runs the call once and sends a complete response a second time after this delay, when the
    /// next call may already use the connection.
    LateDuplicate(clock::Millis),
    /// Responds with `503` like an upstream that is leaving, without running the call.
    Leaving,
    /// Responds without echoing request id, stage and attempt.
    NoEcho,
    /// Ends a token stream without `[DONE]`.
    NoDone,
    /// No fault.
    #[default]
    None,
    /// Responds with `503` and the verdict `not-run`, without running the call.
    NotRun,
    /// Omits one token in the middle of a token stream.
    OffsetJump,
    /// Sends one token in the middle of a token stream twice.
    OffsetRepeat,
    /// Sends these bytes instead of a response and closes the connection, without running the call.
    Raw(Bytes),
    /// Resets the connection after reading the call, without running it.
    Reset,
    /// Runs the call, then resets the connection without a response.
    RunReset,
    /// Runs the call and responds with this status code.
    Status(u16),
    /// Waits for this time before running the call; an engine also waits before each token.
    Slow(clock::Millis),
    /// Runs the call, sends only half of the body and closes the connection.
    Truncated,
    /// Runs the call once and sends the response twice.
    Duplicate,
    /// Echoes the attempt of another call.
    WrongAttempt,
    /// Echoes the request id of another call.
    WrongRequest,
    /// Echoes the stage of another call.
    WrongStage,
}
