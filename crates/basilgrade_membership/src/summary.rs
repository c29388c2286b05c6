//! Summaries of domains.

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::item;
use crate::item_key;
use crate::item_set;
use crate::node_record;
use crate::progress;
use crate::status;
use crate::tag;
use crate::term;

/// Summary of a domain, as written by the log reader of that domain and replicated by gossip.
#[derive(Clone, Debug)]
pub(crate) struct Summary {
    pub(crate) domain: id::DomainId,
    pub(crate) term: term::Term,
    pub(crate) items: item_set::ItemSet,
    /// When newer items of the summary last arrived or, for the own domain, were last written.
    pub(crate) last_update: clock::Millis,
}

impl Summary {
    pub(crate) fn new(domain: id::DomainId, now: clock::Millis) -> Self {
        Self {
            domain,
            term: term::Term::default(),
            items: item_set::ItemSet::default(),
            last_update: now,
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

    pub(crate) fn members(
        &self,
    ) -> impl Iterator<Item = (&node_record::NodeRecord, status::Status)> {
        self.items.iter().filter_map(|held| match &held.item {
            item::Item::Member { record, status } => Some((record, *status)),
            _ => None,
        })
    }

    pub(crate) fn member(
        &self,
        vm: &id::VmId,
    ) -> Option<(&node_record::NodeRecord, status::Status)> {
        let key = item_key::ItemKey::Member(tag::Tag::of(vm.as_str()));
        match &self.items.get(key)?.item {
            item::Item::Member { record, status } => Some((record, *status)),
            _ => None,
        }
    }
}
