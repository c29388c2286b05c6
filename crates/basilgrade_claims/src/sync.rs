//! Progress of the transfer of a slot's claims from the primary to its backup.

use basilgrade_types::clock;

use crate::claim_key;

/// Where a part of the table of claims ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartEnd {
    /// The last key of the part; `None` if the table was empty.
    pub(crate) end_key: Option<claim_key::TableKey>,
    /// Whether the part completes the table.
    pub(crate) last: bool,
}

/// The primary's progress in transferring the table of claims to its backup.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum BackupSync {
    /// The backup has all claims, or there is none.
    #[default]
    Complete,
    /// The table is being sent in parts, one part at a time.
    Transferring {
        /// The index of the part that is being sent, counted from 0.
        index: u32,
        /// The part that is being sent contains keys greater than this one; `None` for the first.
        after_key: Option<claim_key::TableKey>,
        /// Where the part that is being sent ends; `None` until it is sent for the first time.
        ///
        /// A part that is sent again ends at the same key, because the backup may have recorded the
        /// first copy and then expects the next part to begin after that key.
        part_end: Option<PartEnd>,
        /// When the part was last sent.
        sent_at: clock::Millis,
    },
}

impl BackupSync {
    /// A transfer of which no part has been sent.
    pub(crate) const NOT_STARTED: Self = Self::Transferring {
        index: 0,
        after_key: None,
        part_end: None,
        sent_at: clock::Millis::ZERO,
    };
}
