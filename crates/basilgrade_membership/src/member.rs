//! A member of the own domain.

use basilgrade_types::clock;

use crate::item;
use crate::item_key;
use crate::ledger;
use crate::progress;
use crate::record;
use crate::status;

/// What is known of one run of a daemon of the own domain.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) record: record::Record,
    /// Version of its state.
    pub(crate) version: u64,
    pub(crate) status: status::Status,
    /// When it last raised its version.
    pub(crate) alive: clock::Millis,
    /// When its present status began.
    pub(crate) since: clock::Millis,
    pub(crate) ledger: ledger::Ledger,
}

impl Member {
    pub(crate) fn new(record: record::Record, now: clock::Millis) -> Self {
        Self {
            record,
            version: 0,
            status: status::Status::Alive,
            alive: now,
            since: now,
            ledger: ledger::Ledger::default(),
        }
    }

    pub(crate) fn set_status(&mut self, now: clock::Millis, status: status::Status) {
        if self.status != status {
            self.status = status;
            self.since = now;
        }
    }

    pub(crate) fn progress(&self) -> progress::Progress {
        match self.ledger.get(item_key::ItemKey::Progress) {
            Some(ledger::Held {
                item: item::Item::Progress(progress),
                ..
            }) => *progress,
            _ => progress::Progress::default(),
        }
    }
}
