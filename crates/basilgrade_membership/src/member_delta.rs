//! Newer items of one member.

use serde::Deserialize;
use serde::Serialize;

use crate::ledger_delta;
use crate::tag;

/// Newer items of one run of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberDelta {
    /// The run of the daemon.
    pub tag: tag::Tag,
    /// Its items.
    pub delta: ledger_delta::LedgerDelta,
}
