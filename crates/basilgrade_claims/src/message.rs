//! Messages between daemons about claims.

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

/// A message between two daemons; any may be lost, delayed, repeated or reordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Entry daemon to primary: claim a key.
    Claim {
        /// What is claimed.
        claim: claim_key::ClaimKey,
        /// What the request asks for.
        fingerprint: fingerprint::Fingerprint,
        /// The attempt.
        attempt: attempt_id::AttemptId,
        /// The slot's epoch as known to the sender.
        epoch: offset::Offset,
    },
    /// Primary to entry daemon: the decision on a claim.
    Decided {
        /// The attempt.
        attempt: attempt_id::AttemptId,
        /// The decision.
        decision: decision::Decision,
    },
    /// Entry daemon to primary: how the call of a claim ended.
    Settle {
        /// What was claimed.
        claim: claim_key::ClaimKey,
        /// The attempt.
        attempt: attempt_id::AttemptId,
        /// How it ended.
        settlement: settlement::Settlement,
        /// The slot's epoch as known to the sender.
        epoch: offset::Offset,
    },
    /// Primary to entry daemon: the end of the call is recorded.
    Settled {
        /// The attempt.
        attempt: attempt_id::AttemptId,
    },
    /// What the sender knows to be in force for a slot.
    Ownership {
        /// The slot.
        slot: slot::Slot,
        /// The newest effective record of the slot.
        ownership: ownership::Ownership,
    },
    /// The sender knows no epoch of the slot as new as the message it answers.
    Behind {
        /// The slot.
        slot: slot::Slot,
    },
    /// Primary to backup: changed claims.
    Replicate {
        /// The slot.
        slot: slot::Slot,
        /// The pair under which the primary acts.
        pair: offset::Offset,
        /// Claims below this creation time are evicted.
        floor: clock::Millis,
        /// The claims.
        records: Vec<claim_record::ClaimRecord>,
    },
    /// Backup to primary: claims are recorded.
    Replicated {
        /// The slot.
        slot: slot::Slot,
        /// The pair of the message acknowledged.
        pair: offset::Offset,
        /// The claims and the versions recorded.
        versions: Vec<(claim_key::TableKey, u32)>,
    },
    /// Backup to primary: the sender has not received all claims.
    Unsynchronised {
        /// The slot.
        slot: slot::Slot,
        /// The pair.
        pair: offset::Offset,
    },
    /// Primary to a new backup: a part of all claims.
    Transfer {
        /// The slot.
        slot: slot::Slot,
        /// The pair.
        pair: offset::Offset,
        /// Counts the parts from 0.
        index: u32,
        /// Claims below this creation time are evicted.
        floor: clock::Millis,
        /// The claims.
        records: Vec<claim_record::ClaimRecord>,
        /// Whether this part completes the table.
        last: bool,
    },
    /// New backup to primary: a part is recorded.
    Transferred {
        /// The slot.
        slot: slot::Slot,
        /// The pair.
        pair: offset::Offset,
        /// The part.
        index: u32,
    },
}
