//! How much of a slot's claims its backup has.

use basilgrade_types::clock;

use crate::claim_key;

/// The end of a part of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    /// The last key of the part; `None` if the table was empty.
    pub(crate) end: Option<claim_key::TableKey>,
    /// Whether the part completes the table.
    pub(crate) last: bool,
}

/// The primary's progress in bringing its backup up to date.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum Sync {
    /// The backup has all claims, or there is none.
    #[default]
    Complete,
    /// Parts of the table are being sent, one at a time.
    Transferring {
        /// The part under way.
        index: u32,
        /// The last key before that part.
        start: Option<claim_key::TableKey>,
        /// Where that part ends; `None` before it was sent.
        ///
        /// A part that is sent again ends at the same key, because the backup may have recorded it
        /// the first time and continues from there.
        cut: Option<Cut>,
        /// When it was last sent.
        sent: clock::Millis,
    },
}

impl Sync {
    /// A transfer that has not begun.
    pub(crate) const START: Self = Self::Transferring {
        index: 0,
        start: None,
        cut: None,
        sent: clock::Millis::ZERO,
    };
}
