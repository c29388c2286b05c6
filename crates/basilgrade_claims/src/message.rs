//! Messages about claims that daemons exchange.

use basilgrade_journal::ownership;
use basilgrade_types::clock;
use basilgrade_types::offset;
use basilgrade_types::slot;
use serde::Deserialize;
use serde::Serialize;

use crate::attempt_id;
use crate::claim_key;
use crate::claim_record;
use crate::decision;
use crate::fingerprint;
use crate::settlement;

/// A message between two daemons about claims on request keys.
///
/// Messages may be lost, delayed, repeated or reordered. A slot is owned by a pair of daemons: the
/// primary decides claims and the backup records them. `pair` is the log offset since which the
/// two daemons own the slot, and `epoch` is the offset of the slot's newest ownership record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Entry daemon to primary: claim a key.
    Claim {
        claim: claim_key::ClaimKey,
        /// A hash of the request, which tells a repeat from a different request.
        fingerprint: fingerprint::Fingerprint,
        attempt: attempt_id::AttemptId,
        /// The newest epoch of the slot that the sender knows.
        epoch: offset::Offset,
    },
    /// Primary to entry daemon: the decision on a claim.
    Decided {
        attempt: attempt_id::AttemptId,
        decision: decision::Decision,
    },
    /// Entry daemon to primary: the outcome of the call made under a claim.
    Settle {
        claim: claim_key::ClaimKey,
        attempt: attempt_id::AttemptId,
        settlement: settlement::Settlement,
        /// The newest epoch of the slot that the sender knows.
        epoch: offset::Offset,
    },
    /// Primary to entry daemon: the outcome of the call is recorded.
    Settled { attempt: attempt_id::AttemptId },
    /// Any daemon to another: the newest ownership of a slot that the sender knows.
    Ownership {
        slot: slot::Slot,
        ownership: ownership::Ownership,
    },
    /// Any daemon to another: the sender knows only older epochs of the slot than the message that
    /// it answers, and asks for the newest ownership.
    Behind { slot: slot::Slot },
    /// Primary to backup: changed claims.
    Replicate {
        slot: slot::Slot,
        /// The pair under which the primary acts.
        pair: offset::Offset,
        /// Claims on keys created before this instant are evicted.
        floor: clock::Millis,
        records: Vec<claim_record::ClaimRecord>,
    },
    /// Backup to primary: the claims of a [`Message::Replicate`] are recorded.
    Replicated {
        slot: slot::Slot,
        /// The pair of the acknowledged message.
        pair: offset::Offset,
        /// The keys of the claims, each with the version that the backup received.
        versions: Vec<(claim_key::TableKey, u32)>,
    },
    /// Backup to primary: the backup has not received all claims of the slot.
    Unsynchronised {
        slot: slot::Slot,
        pair: offset::Offset,
    },
    /// Primary to new backup: one part of the table of claims of the slot.
    Transfer {
        slot: slot::Slot,
        pair: offset::Offset,
        /// The index of the part, counted from 0.
        index: u32,
        /// Claims on keys created before this instant are evicted.
        floor: clock::Millis,
        records: Vec<claim_record::ClaimRecord>,
        /// Whether this part completes the table.
        last: bool,
    },
    /// New backup to primary: one part of the table of claims is recorded.
    Transferred {
        slot: slot::Slot,
        pair: offset::Offset,
        /// The index of the recorded part, counted from 0.
        index: u32,
    },
}
