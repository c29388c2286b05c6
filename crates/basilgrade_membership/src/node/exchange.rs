//! Gossip exchanges: digest, answer, news.

use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;

use crate::answer;
use crate::body;
use crate::digest;
use crate::domain_delta;
use crate::domain_digest;
use crate::heartbeat;
use crate::ledger_delta;
use crate::limits;
use crate::member_delta;
use crate::news;
use crate::node;
use crate::outgoing;
use crate::status;
use crate::tag;
use crate::want;

/// Which parts of its state a daemon mentions in a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// Members of the own domain.
    Members,
    /// Domain summaries.
    Domains,
    /// Both.
    All,
}

/// Space left for deltas in a message.
pub(super) struct Space {
    left: usize,
    /// Something did not fit.
    pub(super) full: bool,
}

impl Space {
    pub(super) fn new(left: usize) -> Self {
        Self { left, full: false }
    }

    fn admit(&mut self, delta: &ledger_delta::LedgerDelta) -> bool {
        let weight = 32
            + delta
                .items
                .iter()
                .map(|entry| entry.item.weight())
                .sum::<usize>();
        if weight > self.left {
            self.full = true;
            return false;
        }
        self.left -= weight;
        true
    }
}

impl node::Node {
    /// This daemon's digest; raises its version, as every message is a sign of life.
    pub(super) fn digest(&mut self, now: clock::Millis, scope: Scope) -> digest::Digest {
        self.beat(now);
        let members = match scope {
            Scope::Domains => Vec::new(),
            Scope::Members | Scope::All => self
                .members
                .iter()
                .filter(|(_, member)| Self::is_mentioned(now, member))
                .filter_map(|(tag, _)| self.heartbeat(now, *tag))
                .collect(),
        };
        let domains = match scope {
            Scope::Members => None,
            Scope::Domains | Scope::All => Some(self.domain_digests()),
        };
        digest::Digest {
            record: self.settings.record.clone(),
            members,
            domains,
        }
    }

    /// What the sender of `digest` lacks, as far as it fits.
    pub(super) fn news_for(
        &self,
        now: clock::Millis,
        digest: &digest::Digest,
        space: &mut Space,
    ) -> news::News {
        let mut news = news::News::default();
        if digest.record.domain == self.settings.record.domain {
            let theirs: IndexMap<tag::Tag, &heartbeat::Heartbeat> = digest
                .members
                .iter()
                .map(|heartbeat| (heartbeat.tag, heartbeat))
                .collect();
            for (tag, member) in &self.members {
                if !Self::is_mentioned(now, member) {
                    continue;
                }
                let their = theirs.get(tag);
                let news_of_state = their.is_none_or(|their| {
                    their.version < member.version
                        || their.version == member.version
                            && their.status.is_live()
                            && !member.status.is_live()
                });
                if their.is_none() && member.status == status::Status::Dead {
                    continue;
                }
                if news_of_state {
                    news.heartbeats.extend(self.heartbeat(now, *tag));
                }
                let from = their.map_or(0, |their| their.items);
                if let Some(delta) = member.ledger.delta(from)
                    && space.admit(&delta)
                {
                    news.members
                        .push(member_delta::MemberDelta { tag: *tag, delta });
                }
            }
        }
        if let Some(theirs) = &digest.domains {
            news.domains = self.domain_news(theirs, space);
        }
        news
    }

    fn domain_news(
        &self,
        theirs: &[domain_digest::DomainDigest],
        space: &mut Space,
    ) -> Vec<domain_delta::DomainDelta> {
        let theirs: IndexMap<tag::Tag, &domain_digest::DomainDigest> =
            theirs.iter().map(|their| (their.domain, their)).collect();
        let mut deltas = Vec::new();
        for (tag, summary) in &self.domains {
            let from = match theirs.get(tag) {
                Some(their) if their.term > summary.term => continue,
                Some(their) if their.term == summary.term => their.version,
                _ => 0,
            };
            if let Some(delta) = summary.ledger.delta(from)
                && space.admit(&delta)
            {
                deltas.push(domain_delta::DomainDelta {
                    domain: summary.domain.clone(),
                    term: summary.term,
                    delta,
                });
            }
        }
        deltas
    }

    pub(super) fn on_digest(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        digest: digest::Digest,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        if digest.record.vm != *from {
            return;
        }
        self.learn(now, &digest.record);
        self.beat(now);
        let news = self.news_for(now, &digest, &mut Space::new(limits::GOSSIP_CHUNK));
        let wants = if digest.record.domain == self.settings.record.domain {
            self.apply_heartbeats(now, digest.members)
        } else {
            Vec::new()
        };
        let domains = digest
            .domains
            .map(|theirs| self.domain_wants(&theirs))
            .unwrap_or_default();
        let answer = answer::Answer {
            news,
            wants,
            domains,
        };
        self.send(from, body::Body::Answer(answer), out);
    }

    pub(super) fn on_answer(
        &mut self,
        now: clock::Millis,
        from: &id::VmId,
        answer: answer::Answer,
        out: &mut Vec<outgoing::Outgoing>,
    ) {
        self.apply_news(now, answer.news);
        self.confirm(from);
        let mut space = Space::new(limits::GOSSIP_CHUNK);
        let mut news = news::News::default();
        for want in answer.wants.iter().take(limits::MEMBER_LIMIT) {
            let Some(member) = self.members.get(&want.tag) else {
                continue;
            };
            if let Some(delta) = member.ledger.delta(want.from)
                && space.admit(&delta)
            {
                news.members.push(member_delta::MemberDelta {
                    tag: want.tag,
                    delta,
                });
            }
        }
        for want in answer.domains.iter().take(limits::DOMAIN_LIMIT) {
            news.domains.extend(self.domain_delta(want, &mut space));
        }
        if !news.is_empty() {
            self.send(from, body::Body::News(news), out);
        }
    }

    /// The newer part of one domain summary.
    fn domain_delta(
        &self,
        want: &domain_digest::DomainDigest,
        space: &mut Space,
    ) -> Option<domain_delta::DomainDelta> {
        let summary = self.domains.get(&want.domain)?;
        let from = match want.term.cmp(&summary.term) {
            std::cmp::Ordering::Greater => return None,
            std::cmp::Ordering::Equal => want.version,
            std::cmp::Ordering::Less => 0,
        };
        let delta = summary.ledger.delta(from)?;
        space.admit(&delta).then(|| domain_delta::DomainDelta {
            domain: summary.domain.clone(),
            term: summary.term,
            delta,
        })
    }

    pub(super) fn apply_heartbeats(
        &mut self,
        now: clock::Millis,
        heartbeats: Vec<heartbeat::Heartbeat>,
    ) -> Vec<want::Want> {
        heartbeats
            .into_iter()
            .take(limits::MEMBER_LIMIT)
            .filter_map(|heartbeat| self.apply_heartbeat(now, heartbeat))
            .collect()
    }

    /// Takes over items first, so that the heartbeats of members learned from them apply.
    pub(super) fn apply_news(&mut self, now: clock::Millis, news: news::News) {
        let before = self.domain_progress();
        let mut urgent = false;
        for delta in news.members {
            urgent |= self.apply_member(now, delta).urgent;
        }
        self.apply_heartbeats(now, news.heartbeats);
        for delta in news.domains {
            self.apply_domain(now, delta);
        }
        if urgent || self.domain_progress() != before {
            self.schedule_urgent(now);
        }
    }
}
