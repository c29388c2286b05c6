//! Summaries of domains.

use std::cmp;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::domain_delta;
use crate::domain_digest;
use crate::ledger;
use crate::ledger_delta;
use crate::limits;
use crate::node;
use crate::record;
use crate::status;
use crate::summary;
use crate::tag;

impl node::Node {
    pub(super) fn domain_digests(&self) -> Vec<domain_digest::DomainDigest> {
        self.domains
            .iter()
            .map(|(tag, summary)| domain_digest::DomainDigest {
                domain: *tag,
                term: summary.term,
                version: summary.ledger.version(),
            })
            .collect()
    }

    /// The summaries of which a peer holds a newer state.
    pub(super) fn domain_wants(
        &self,
        theirs: &[domain_digest::DomainDigest],
    ) -> Vec<domain_digest::DomainDigest> {
        theirs
            .iter()
            .take(limits::DOMAIN_LIMIT)
            .filter_map(|their| {
                let held = self.domains.get(&their.domain);
                let (term, version) =
                    held.map_or_else(Default::default, |held| (held.term, held.ledger.version()));
                ((their.term, their.version) > (term, version)).then_some(
                    domain_digest::DomainDigest {
                        domain: their.domain,
                        term,
                        version,
                    },
                )
            })
            .collect()
    }

    /// Takes over newer items of a domain summary.
    pub(super) fn apply_domain(&mut self, now: clock::Millis, delta: domain_delta::DomainDelta) {
        let tag = tag::Tag::of(delta.domain.as_str());
        if !self.domains.contains_key(&tag) && self.domains.len() >= limits::DOMAIN_LIMIT {
            return;
        }
        let held = self
            .domains
            .entry(tag)
            .or_insert_with(|| summary::Summary::new(delta.domain.clone(), now));
        match delta.term.cmp(&held.term) {
            cmp::Ordering::Less => return,
            cmp::Ordering::Equal => {}
            // Only a delta from the start can replace the summary of an earlier term.
            cmp::Ordering::Greater if delta.delta.from > 0 => return,
            cmp::Ordering::Greater => {
                held.term = delta.term;
                held.ledger = ledger::Ledger::default();
            }
        }
        let applied = held
            .ledger
            .apply(now, ledger_delta::LedgerDelta { ..delta.delta });
        if applied.advanced {
            held.heard = now;
        }
    }

    /// A daemon of another domain, as that domain's summary states it.
    pub(super) fn remote_record(&self, vm: &id::VmId) -> Option<(&record::Record, status::Status)> {
        self.remote_summaries()
            .find_map(|summary| summary.member(vm))
    }

    /// Summaries of the other domains.
    pub(super) fn remote_summaries(&self) -> impl Iterator<Item = &summary::Summary> {
        let own = &self.settings.record.domain;
        self.domains
            .values()
            .filter(move |summary| summary.domain != *own)
    }
}
