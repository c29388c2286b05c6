//! Detection of prompt parts that crash engines, from the evidence of all daemons.
//!
//! A crash breaks every request that its engine runs, so the parts of all of them become suspects.
//! A part is cleared as soon as an engine has answered a request with it completely, which happens
//! soon to a sound part and never to one that crashes engines. What remains after a few crashes is
//! blocked, except in requests without another blocked part that explains all of its crashes: such
//! a request is let through, and its answer clears the part.

use std::mem;

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::directory::upstream;
use crate::model::prompt;

/// Number of separate crashes, with no complete answer since, after which a part is blocked.
const CRASHES_TO_BLOCK: usize = 3;

/// Engines that crash within this time of each other count as one crash: they fail together, for
/// example with their rack, or the network of the daemon fails.
const CRASH_SPACING: clock::Millis = clock::Millis(500);

/// Maximum number of runs of engines that a daemon keeps for a part; the oldest are dropped.
const MAX_RUNS: usize = 8;

/// Maximum number of parts about which this daemon keeps evidence, beside the blocked ones; the
/// oldest are dropped.
const MAX_SUSPECTS: usize = 32;

/// Time without news after which evidence about a part that is not blocked expires.
const SUSPECT_TTL: clock::Millis = clock::Millis(60_000);

/// Time without news after which evidence about any part expires; requests with a blocked part
/// count as news.
pub const EVIDENCE_TTL: clock::Millis = clock::Millis(30 * 60_000);

/// Evidence of one daemon about one part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Runs of engines that broke requests with the part, with the Unix time of the first one.
    pub crashes: IndexMap<CompactString, clock::Millis>,
    /// Unix time of the last complete answer after a crash; it clears the crashes up to then.
    pub answered_at: clock::Millis,
    /// Unix time of the last change.
    pub seen_at: clock::Millis,
}

impl Evidence {
    fn merge(&mut self, other: &Self) {
        for (run, at) in &other.crashes {
            let known = self.crashes.entry(run.clone()).or_insert(*at);
            *known = (*known).min(*at);
        }
        self.answered_at = self.answered_at.max(other.answered_at);
        self.seen_at = self.seen_at.max(other.seen_at);
    }
}

/// Name of a run of an engine, for comparison only.
fn run_name(entry: &upstream::Upstream) -> CompactString {
    let started_at = entry.started_at.unwrap_or_default();
    compact_str::format_compact!("{}@{}", entry.id, started_at.0)
}

/// Number of crashes at `times` that are apart by `CRASH_SPACING`.
fn count_separate(times: impl Iterator<Item = clock::Millis>) -> usize {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let mut count = 0;
    let mut next = clock::Millis::ZERO;
    for at in times {
        if at >= next {
            count += 1;
            next = at.plus(CRASH_SPACING);
        }
    }
    count
}

/// Evidence of all daemons about prompt parts.
#[derive(Debug, Default)]
pub struct Suspects {
    own: IndexMap<prompt::PartId, Evidence>,
    /// Evidence of other daemons, and of earlier processes of this one.
    others: IndexMap<prompt::PartId, IndexMap<id::VmId, Evidence>>,
    /// Blocked parts, each with the crashes that are not cleared.
    blocked: IndexMap<prompt::PartId, IndexMap<CompactString, clock::Millis>>,
    /// Parts whose own evidence has changed since it was last taken.
    changed: IndexSet<prompt::PartId>,
    /// Parts whose own evidence was dropped since this was last asked.
    dropped: Vec<prompt::PartId>,
}

impl Suspects {
    /// Records that the connection to `entry` broke while the engine ran a request with `parts`.
    pub fn record_break(
        &mut self,
        now: clock::Millis,
        entry: &upstream::Upstream,
        parts: impl Iterator<Item = prompt::PartId>,
    ) {
        let run = run_name(entry);
        for part in parts {
            let evidence = self.own.entry(part).or_default();
            if !evidence.crashes.contains_key(&run) {
                evidence.crashes.insert(run.clone(), now);
                let surplus = evidence.crashes.len().saturating_sub(MAX_RUNS);
                evidence.crashes.drain(..surplus);
                evidence.seen_at = now;
                self.changed.insert(part);
                self.update_blocked(part);
            }
        }
        self.drop_surplus();
    }

    /// Drops the oldest own evidence above the limit.
    fn drop_surplus(&mut self) {
        let mut surplus = self.own.len().saturating_sub(MAX_SUSPECTS);
        let blocked = &self.blocked;
        self.own.retain(|part, _| {
            let is_kept = surplus == 0 || blocked.contains_key(part);
            if !is_kept {
                surplus -= 1;
                self.changed.swap_remove(part);
                self.dropped.push(*part);
            }
            is_kept
        });
    }

    /// Records that an engine answered a request with `parts` completely.
    pub fn record_success(
        &mut self,
        now: clock::Millis,
        parts: impl Iterator<Item = prompt::PartId>,
    ) {
        for part in parts {
            let open = self.open_crashes(part);
            if open.is_empty() {
                continue;
            }
            let evidence = self.own.entry(part).or_default();
            evidence.answered_at = now;
            evidence.seen_at = now;
            self.changed.insert(part);
            self.update_blocked(part);
        }
    }

    fn update_blocked(&mut self, part: prompt::PartId) {
        let crashes = self.open_crashes(part);
        if count_separate(crashes.values().copied()) >= CRASHES_TO_BLOCK {
            self.blocked.insert(part, crashes);
        } else {
            self.blocked.swap_remove(&part);
        }
    }

    /// Evidence of all daemons about `part`.
    fn all_evidence(&self, part: prompt::PartId) -> Evidence {
        let mut all = self.own.get(&part).cloned().unwrap_or_default();
        let others = self.others.get(&part);
        for evidence in others.into_iter().flat_map(IndexMap::values) {
            all.merge(evidence);
        }
        all
    }

    /// Crashes of engines that ran a request with `part` and are not cleared.
    fn open_crashes(&self, part: prompt::PartId) -> IndexMap<CompactString, clock::Millis> {
        let mut all = self.all_evidence(part);
        all.crashes.retain(|_, at| *at > all.answered_at);
        all.crashes
    }

    /// Records that a request with `parts` was refused, which keeps blocked parts from expiring.
    pub fn record_refusal(
        &mut self,
        now: clock::Millis,
        parts: impl Iterator<Item = prompt::PartId>,
    ) {
        for part in parts {
            let mut all = self.all_evidence(part);
            let is_due = all.seen_at.plus(clock::Millis(EVIDENCE_TTL.0 / 2)) < now;
            if is_due && self.blocked.contains_key(&part) {
                all.seen_at = now;
                self.own.insert(part, all);
                self.changed.insert(part);
            }
        }
    }

    /// Whether a request with the shared parts `parts` must not reach engines.
    pub fn is_blocked(&self, parts: &[prompt::PartId]) -> bool {
        if self.blocked.is_empty() {
            return false;
        }
        let mut crashes = parts.iter().filter_map(|part| self.blocked.get(part));
        crashes.any(|crashes| {
            let mut others = self.blocked.iter();
            let is_explained = others.any(|(other, known)| {
                !parts.contains(other) && crashes.keys().all(|run| known.contains_key(run))
            });
            !is_explained
        })
    }

    /// Replaces the evidence of other daemons, and of earlier processes of this one.
    pub fn replace_others(
        &mut self,
        others: IndexMap<prompt::PartId, IndexMap<id::VmId, Evidence>>,
    ) {
        self.others = others;
        let own = self.own.keys().chain(self.blocked.keys());
        let known: IndexSet<_> = own.chain(self.others.keys()).copied().collect();
        for part in known {
            self.update_blocked(part);
        }
    }

    /// Takes the evidence of this daemon, named `own`, that has changed since the last call.
    pub fn take_changed(&mut self, own: &id::VmId) -> Vec<(prompt::PartId, Evidence)> {
        let changed = mem::take(&mut self.changed);
        let mut taken = Vec::new();
        for part in changed {
            let mut evidence = self.own.get(&part).cloned().unwrap_or_default();
            // The record of an earlier process is replaced, so its evidence is kept in the new one.
            let earlier = self.others.get(&part).and_then(|known| known.get(own));
            if let Some(earlier) = earlier {
                evidence.merge(earlier);
            }
            taken.push((part, evidence));
        }
        taken
    }

    /// Marks all evidence of this daemon as changed, because the published one may be lost.
    pub fn mark_all_changed(&mut self) {
        self.changed.extend(self.own.keys().copied());
    }

    /// Marks evidence as changed or dropped again, because that could not be published.
    pub fn restore(
        &mut self,
        changed: impl Iterator<Item = prompt::PartId>,
        dropped: Vec<prompt::PartId>,
    ) {
        self.changed.extend(changed);
        self.dropped.extend(dropped);
    }

    /// Drops own evidence that has expired; returns the parts of all evidence that was dropped since
    /// the last call.
    pub fn take_dropped(&mut self, now: clock::Millis) -> Vec<prompt::PartId> {
        let is_expired = |(part, evidence): (&prompt::PartId, &Evidence)| {
            let ttl = if self.blocked.contains_key(part) {
                EVIDENCE_TTL
            } else {
                SUSPECT_TTL
            };
            (evidence.seen_at.plus(ttl) <= now).then_some(*part)
        };
        let expired: Vec<_> = self.own.iter().filter_map(is_expired).collect();
        for part in expired {
            self.own.shift_remove(&part);
            self.changed.swap_remove(&part);
            self.update_blocked(part);
            self.dropped.push(part);
        }
        let mut dropped = mem::take(&mut self.dropped);
        // A dropped part may have become a suspect again.
        dropped.retain(|part| !self.own.contains_key(part));
        dropped
    }
}
