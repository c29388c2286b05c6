//! Comparison and replication of domain summaries.

use std::cmp;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::domain_delta;
use crate::domain_digest;
use crate::item_set;
use crate::item_set_delta;
use crate::limits;
use crate::node;
use crate::node_record;
use crate::status;
use crate::summary;
use crate::tag;

impl node::Node {
    pub(super) fn domain_digests(&self) -> Vec<domain_digest::DomainDigest> {
        self.summaries
            .iter()
            .map(|(tag, summary)| domain_digest::DomainDigest {
                domain: *tag,
                term: summary.term,
                version: summary.items.version(),
            })
            .collect()
    }

    /// Returns requests for the summaries of which the peer holds a newer version.
    pub(super) fn domain_requests(
        &self,
        remote_entries: &[domain_digest::DomainDigest],
    ) -> Vec<domain_digest::DomainDigest> {
        remote_entries
            .iter()
            .take(limits::MAX_DOMAINS)
            .filter_map(|remote_entry| {
                let held = self.summaries.get(&remote_entry.domain);
                let (term, version) =
                    held.map_or_else(Default::default, |held| (held.term, held.items.version()));
                ((remote_entry.term, remote_entry.version) > (term, version)).then_some(
                    domain_digest::DomainDigest {
                        domain: remote_entry.domain,
                        term,
                        version,
                    },
                )
            })
            .collect()
    }

    /// Applies a delta of a domain summary.
    pub(super) fn apply_domain(&mut self, now: clock::Millis, delta: domain_delta::DomainDelta) {
        let tag = tag::Tag::of(delta.domain.as_str());
        if !self.summaries.contains_key(&tag) && self.summaries.len() >= limits::MAX_DOMAINS {
            return;
        }
        let held = self
            .summaries
            .entry(tag)
            .or_insert_with(|| summary::Summary::new(delta.domain.clone(), now));
        match delta.term.cmp(&held.term) {
            cmp::Ordering::Less => return,
            cmp::Ordering::Equal => {}
            // Only a delta that starts at version 0 can replace the summary of an earlier term.
            cmp::Ordering::Greater if delta.delta.from > 0 => return,
            cmp::Ordering::Greater => {
                held.term = delta.term;
                held.items = item_set::ItemSet::default();
            }
        }
        let applied = held
            .items
            .apply(now, item_set_delta::ItemSetDelta { ..delta.delta });
        if applied.advanced {
            held.last_update = now;
        }
    }

    /// Looks up a daemon of another domain in the summary of that domain.
    pub(super) fn remote_record(
        &self,
        vm: &id::VmId,
    ) -> Option<(&node_record::NodeRecord, status::Status)> {
        self.remote_summaries()
            .find_map(|summary| summary.member(vm))
    }

    /// The summaries of all domains except the own one.
    pub(super) fn remote_summaries(&self) -> impl Iterator<Item = &summary::Summary> {
        let own = &self.settings.record.domain;
        self.summaries
            .values()
            .filter(move |summary| summary.domain != *own)
    }
}
