//! The summary of a domain.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::item;
use crate::item_key;
use crate::ledger;
use crate::progress;
use crate::record;
use crate::status;
use crate::tag;
use crate::term;

/// What is known of a domain through its summary.
#[derive(Clone, Debug)]
pub(crate) struct Summary {
    pub(crate) domain: id::DomainId,
    pub(crate) term: term::Term,
    pub(crate) ledger: ledger::Ledger,
    /// When it last advanced.
    pub(crate) heard: clock::Millis,
}

impl Summary {
    pub(crate) fn new(domain: id::DomainId, now: clock::Millis) -> Self {
        Self {
            domain,
            term: term::Term::default(),
            ledger: ledger::Ledger::default(),
            heard: now,
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

    pub(crate) fn members(&self) -> impl Iterator<Item = (&record::Record, status::Status)> {
        self.ledger.iter().filter_map(|held| match &held.item {
            item::Item::Member { record, status } => Some((record, *status)),
            _ => None,
        })
    }

    pub(crate) fn member(&self, vm: &id::VmId) -> Option<(&record::Record, status::Status)> {
        let key = item_key::ItemKey::Member(tag::Tag::of(vm.as_str()));
        match &self.ledger.get(key)?.item {
            item::Item::Member { record, status } => Some((record, *status)),
            _ => None,
        }
    }
}
