//! A member of the own domain.

use basilgrade_types::clock;

use crate::item;
use crate::item_key;
use crate::item_set;
use crate::node_record;
use crate::progress;
use crate::status;

/// State that this daemon holds about one run of a daemon of its own domain.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) record: node_record::NodeRecord,
    /// Newest known value of the heartbeat counter.
    pub(crate) version: u64,
    pub(crate) status: status::Status,
    /// When the member last incremented its heartbeat counter.
    pub(crate) last_alive: clock::Millis,
    /// When `status` last changed.
    pub(crate) status_since: clock::Millis,
    pub(crate) items: item_set::ItemSet,
}

impl Member {
    pub(crate) fn new(record: node_record::NodeRecord, now: clock::Millis) -> Self {
        Self {
            record,
            version: 0,
            status: status::Status::Alive,
            last_alive: now,
            status_since: now,
            items: item_set::ItemSet::default(),
        }
    }

    pub(crate) fn set_status(&mut self, now: clock::Millis, status: status::Status) {
        if self.status != status {
            self.status = status;
            self.status_since = now;
        }
    }

    pub(crate) fn progress(&self) -> progress::Progress {
        match self.items.get(item_key::ItemKey::Progress) {
            Some(item_set::StoredItem {
                item: item::Item::Progress(progress),
                ..
            }) => *progress,
            _ => progress::Progress::default(),
        }
    }
}
