//! Selection of the log reader of the domain, and of peers to pull log records from.

use basilgrade_types::clock;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::member;
use crate::node;
use crate::node_record;
use crate::phase;
use crate::progress;
use crate::pull;
use crate::status;
use crate::summary;
use crate::tag;
use crate::timing;

impl node::Node {
    /// Selects the member that reads the log for the domain: the longest-running one among the
    /// members that are alive, with those that can reach the log preferred.
    ///
    /// The longest-running member changes only when that member stops, never because another joins.
    fn reader_tag(&self, now: clock::Millis) -> Option<tag::Tag> {
        let self_eligible =
            matches!(self.phase, phase::JoinPhase::Joined) && !self.pause.is_recent(now);
        self.members
            .iter()
            .filter(|(tag, member)| {
                member.status == status::Status::Alive && (**tag != self.tag || self_eligible)
            })
            .min_by_key(|(tag, member)| {
                let access = member.progress().log_access;
                (
                    access == progress::LogAccess::Unreachable,
                    member.record.incarnation,
                    **tag,
                )
            })
            .map(|(tag, _)| *tag)
    }

    /// Whether this daemon reads the log for its domain and writes the summary of the domain.
    pub fn reads_log(&self, now: clock::Millis) -> bool {
        self.chosen_since
            .is_some_and(|since| now.since(since) >= timing::READER_TAKEOVER_DELAY)
            && self.reader_tag(now) == Some(self.tag)
    }

    pub(super) fn update_reader(&mut self, now: clock::Millis) {
        if self.reader_tag(now) == Some(self.tag) {
            self.chosen_since.get_or_insert(now);
        } else {
            self.chosen_since = None;
        }
        if self
            .log_failure
            .is_some_and(|at| now.since(at) >= timing::LOG_READER_COOLDOWN)
        {
            self.set_log_access(now, progress::LogAccess::Reachable);
        }
    }

    /// Reports whether this daemon can reach the log. If it cannot, another member that has not
    /// reported the same becomes the log reader.
    pub fn set_log_access(&mut self, now: clock::Millis, log_access: progress::LogAccess) {
        self.log_failure = match log_access {
            progress::LogAccess::Reachable => None,
            progress::LogAccess::Unreachable => Some(self.log_failure.unwrap_or(now)),
        };
        let progress = progress::Progress {
            log_access,
            ..self.own().progress()
        };
        self.set_own_progress(now, progress);
    }

    /// The highest positions in the log streams among this daemon and its reachable peers.
    pub fn newest_progress(&self, now: clock::Millis) -> progress::Progress {
        self.fresh_summaries(now)
            .map(summary::Summary::progress)
            .fold(self.domain_progress(), progress::Progress::newest)
    }

    /// The highest positions in the log streams among the members of the own domain that are not
    /// dead.
    pub(super) fn domain_progress(&self) -> progress::Progress {
        self.members
            .values()
            .filter(|member| member.status != status::Status::Dead)
            .map(member::Member::progress)
            .fold(progress::Progress::default(), progress::Progress::newest)
    }

    fn fresh_summaries(&self, now: clock::Millis) -> impl Iterator<Item = &summary::Summary> {
        self.remote_summaries()
            .filter(move |summary| now.since(summary.last_update) < timing::DOMAIN_TIMEOUT)
    }

    /// Selects a peer to pull records of `stream` from, if a reachable peer has records that this
    /// daemon lacks and no earlier pull is in progress.
    ///
    /// Members pull from their own domain. Only the log reader and daemons that are not ready also
    /// pull from other domains, so each record is transferred into a domain about once.
    pub fn pull(
        &mut self,
        now: clock::Millis,
        stream: pull::Stream,
        rng: &mut dyn Rng,
    ) -> Option<pull::Pull> {
        let position = |progress: progress::Progress| match stream {
            pull::Stream::Config => progress.revision.0,
            pull::Stream::Control => progress.control_offset.0,
        };
        let held = position(self.own().progress());
        if self
            .pulls
            .get(&stream)
            .is_some_and(|(from, at)| *from == held && now.since(*at) < timing::PULL_TIMEOUT)
        {
            return None;
        }
        let same_domain: Vec<(&node_record::NodeRecord, u64)> = self
            .other_members()
            .filter(|(_, member)| member.status.is_live())
            .map(|(_, member)| (&member.record, position(member.progress())))
            .filter(|(_, target)| *target > held)
            .collect();
        let other_domains = || {
            self.fresh_summaries(now)
                .map(|summary| (summary, position(summary.progress())))
                .filter(|(_, target)| *target > held)
                .filter_map(|(summary, target)| Some((preferred_holder(summary)?, target)))
                .collect::<Vec<_>>()
        };
        let candidates = if !same_domain.is_empty() {
            same_domain
        } else if self.reads_log(now) || !self.ready {
            other_domains()
        } else {
            return None;
        };
        let newest = candidates.iter().map(|(_, target)| *target).max()?;
        let holders: Vec<_> = candidates
            .into_iter()
            .filter(|(_, target)| *target == newest)
            .collect();
        let (record, target) = holders.choose(rng).copied()?;
        let pull = pull::Pull {
            stream,
            vm: record.vm.clone(),
            address: record.address,
            held,
            target,
        };
        self.pulls.insert(stream, (held, now));
        Some(pull)
    }
}

/// Selects the member of another domain that most likely holds the records that the summary of the
/// domain announces: the writer of the summary, if it is live.
fn preferred_holder(summary: &summary::Summary) -> Option<&node_record::NodeRecord> {
    summary
        .members()
        .filter(|(_, status)| status.is_live())
        .map(|(record, _)| record)
        .max_by_key(|record| record.tag() == summary.term.writer)
}
