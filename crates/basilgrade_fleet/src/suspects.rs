//! Detection of requests and prompt parts that crash engines, from the evidence of all daemons.
//!
//! A crash breaks every request that its engine runs, so all of them and their prompt parts become
//! suspects. A suspect is cleared as soon as an engine has answered a request with it completely,
//! which happens soon to a sound one and never to one that crashes engines. What remains after a
//! few crashes is blocked, unless other blocked suspects that are not in the request explain all of
//! its crashes: such a request is let through, and its answer clears it.

use std::fmt;
use std::mem;
use std::str;

use basilgrade_types::clock;
use basilgrade_types::id;
use compact_str::CompactString;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::directory::upstream;
use crate::model::fingerprint;
use crate::model::prompt;

/// Number of separate crashes, with no complete answer since, after which a suspect is blocked.
const CRASHES_TO_BLOCK: usize = 3;

/// Number of separate crashes after which a request stays blocked even if others explain them:
/// requests that crash the same engines explain each other.
const MAX_EXPLAINED_CRASHES: usize = 5;

/// Engines that crash within this time of each other count as one crash: they fail together, for
/// example with their rack, or the network of the daemon fails.
const CRASH_SPACING: clock::Millis = clock::Millis(500);

/// [`CRASH_SPACING`] of one request, which is repeated only after it has broken: time in which
/// concurrent requests with one fingerprint break together.
const REPEAT_SPACING: clock::Millis = clock::Millis(50);

/// Maximum number of runs of engines that a daemon keeps for a suspect; the oldest are dropped.
const MAX_RUNS: usize = 8;

/// Maximum number of parts about which this daemon keeps evidence, beside the blocked ones; the
/// oldest are dropped.
const MAX_PARTS: usize = 32;

/// Maximum number of requests about which this daemon keeps evidence, beside the blocked ones; the
/// oldest with the fewest crashes are dropped.
const MAX_REQUESTS: usize = 128;

/// Time without news after which evidence about a part that is not blocked expires.
const PART_TTL: clock::Millis = clock::Millis(60_000);

/// Time without news after which evidence about a request or a blocked part expires; refused
/// requests count as news.
pub const EVIDENCE_TTL: clock::Millis = clock::Millis(30 * 60_000);

/// What may crash the engines that run it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Suspect {
    /// A part that prompts share.
    Part(prompt::PartId),
    /// A request in all its attempts.
    Request(fingerprint::Fingerprint),
}

impl Suspect {
    const fn crash_spacing(self) -> clock::Millis {
        match self {
            Self::Part(_) => CRASH_SPACING,
            Self::Request(_) => REPEAT_SPACING,
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part:{part}"),
            Self::Request(request) => write!(f, "request:{request}"),
        }
    }
}

/// Error of a text that names no [`Suspect`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidSuspect;

impl str::FromStr for Suspect {
    type Err = InvalidSuspect;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, hash) = text.split_once(':').ok_or(InvalidSuspect)?;
        let suspect = match kind {
            "part" => hash.parse().map(Self::Part),
            "request" => hash.parse().map(Self::Request),
            _ => return Err(InvalidSuspect),
        };
        suspect.map_err(|_| InvalidSuspect)
    }
}

/// Evidence of one daemon about one suspect.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Runs of engines that broke requests with the suspect, with the Unix time of the first one.
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

/// Number of crashes at `times` that are apart by `spacing`.
fn count_separate(times: impl Iterator<Item = clock::Millis>, spacing: clock::Millis) -> usize {
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let mut count = 0;
    let mut next = clock::Millis::ZERO;
    for at in times {
        if at >= next {
            count += 1;
            next = at.plus(spacing);
        }
    }
    count
}

/// Evidence of all daemons about requests and prompt parts.
#[derive(Debug, Default)]
pub struct Suspects {
    own: IndexMap<Suspect, Evidence>,
    /// Evidence of other daemons, and of earlier processes of this one.
    others: IndexMap<Suspect, IndexMap<id::VmId, Evidence>>,
    /// Blocked suspects, each with the crashes that are not cleared.
    blocked: IndexMap<Suspect, IndexMap<CompactString, clock::Millis>>,
    /// Suspects whose own evidence has changed since it was last taken.
    changed: IndexSet<Suspect>,
    /// Suspects whose own evidence was dropped since this was last asked.
    dropped: Vec<Suspect>,
}

impl Suspects {
    /// Records that the connection to `entry` broke while the engine ran a request with `suspects`.
    pub fn record_break(
        &mut self,
        now: clock::Millis,
        entry: &upstream::Upstream,
        suspects: impl Iterator<Item = Suspect>,
    ) {
        let run = run_name(entry);
        for suspect in suspects {
            let evidence = self.own.entry(suspect).or_default();
            if !evidence.crashes.contains_key(&run) {
                evidence.crashes.insert(run.clone(), now);
                let surplus = evidence.crashes.len().saturating_sub(MAX_RUNS);
                evidence.crashes.drain(..surplus);
                evidence.seen_at = now;
                self.changed.insert(suspect);
                self.update_blocked(suspect);
            }
        }
        self.drop_surplus();
    }

    /// Drops own evidence above the limits: the oldest about parts, and about requests the oldest
    /// with the fewest crashes.
    fn drop_surplus(&mut self) {
        let is_open = |suspect: &Suspect| !self.blocked.contains_key(suspect);
        let (mut parts, mut requests) = (Vec::new(), Vec::new());
        for (suspect, evidence) in &self.own {
            match suspect {
                Suspect::Part(_) => parts.push(*suspect),
                Suspect::Request(_) if is_open(suspect) => {
                    requests.push((evidence.crashes.len(), *suspect));
                }
                Suspect::Request(_) => {}
            }
        }
        let surplus_parts = parts.len().saturating_sub(MAX_PARTS);
        let oldest = parts.into_iter().filter(is_open).take(surplus_parts);
        let surplus_requests = requests.len().saturating_sub(MAX_REQUESTS);
        // The sort is stable, so the oldest come first among equals.
        requests.sort_by_key(|(crashes, _)| *crashes);
        let fewest = requests.into_iter().map(|(_, suspect)| suspect);
        let surplus: IndexSet<_> = oldest.chain(fewest.take(surplus_requests)).collect();
        for suspect in &surplus {
            self.changed.swap_remove(suspect);
            self.dropped.push(*suspect);
        }
        self.own.retain(|suspect, _| !surplus.contains(suspect));
    }

    /// Records that an engine answered a request with `suspects` completely.
    pub fn record_success(&mut self, now: clock::Millis, suspects: impl Iterator<Item = Suspect>) {
        for suspect in suspects {
            if self.open_crashes(suspect).is_empty() {
                continue;
            }
            let is_unshared = !self.others.contains_key(&suspect);
            if matches!(suspect, Suspect::Request(_)) && is_unshared {
                // No evidence of others has to be cleared.
                self.forget(suspect);
                continue;
            }
            let evidence = self.own.entry(suspect).or_default();
            evidence.answered_at = now;
            evidence.seen_at = now;
            self.changed.insert(suspect);
            self.update_blocked(suspect);
        }
    }

    /// Drops own evidence about `suspect`.
    fn forget(&mut self, suspect: Suspect) {
        self.own.shift_remove(&suspect);
        self.changed.swap_remove(&suspect);
        self.update_blocked(suspect);
        self.dropped.push(suspect);
    }

    fn update_blocked(&mut self, suspect: Suspect) {
        let crashes = self.open_crashes(suspect);
        let spacing = suspect.crash_spacing();
        if count_separate(crashes.values().copied(), spacing) >= CRASHES_TO_BLOCK {
            self.blocked.insert(suspect, crashes);
        } else {
            self.blocked.swap_remove(&suspect);
        }
    }

    /// Evidence of all daemons about `suspect`.
    fn all_evidence(&self, suspect: Suspect) -> Evidence {
        let mut all = self.own.get(&suspect).cloned().unwrap_or_default();
        let others = self.others.get(&suspect);
        for evidence in others.into_iter().flat_map(IndexMap::values) {
            all.merge(evidence);
        }
        all
    }

    /// Crashes of engines that ran a request with `suspect` and are not cleared.
    fn open_crashes(&self, suspect: Suspect) -> IndexMap<CompactString, clock::Millis> {
        let mut all = self.all_evidence(suspect);
        all.crashes.retain(|_, at| *at > all.answered_at);
        all.crashes
    }

    /// Records that a request with `suspects` was refused, which keeps blocked parts from expiring.
    pub fn record_refusal(&mut self, now: clock::Millis, suspects: impl Iterator<Item = Suspect>) {
        for suspect in suspects {
            let mut all = self.all_evidence(suspect);
            let is_due = all.seen_at.plus(clock::Millis(EVIDENCE_TTL.0 / 2)) < now;
            if is_due && self.blocked.contains_key(&suspect) {
                all.seen_at = now;
                self.own.insert(suspect, all);
                self.changed.insert(suspect);
            }
        }
    }

    /// Whether a request with `suspects`, its fingerprint and its shared parts, must not reach
    /// engines.
    pub fn is_blocked(&self, suspects: &[Suspect]) -> bool {
        let blocked = suspects.iter().filter_map(|suspect| {
            let crashes = self.blocked.get(suspect)?;
            Some((*suspect, crashes))
        });
        blocked
            .into_iter()
            .any(|(suspect, crashes)| !self.is_explained(suspect, crashes, suspects))
    }

    /// Whether blocked suspects that are not in `present` explain all `crashes` of `suspect`.
    fn is_explained(
        &self,
        suspect: Suspect,
        crashes: &IndexMap<CompactString, clock::Millis>,
        present: &[Suspect],
    ) -> bool {
        let count = count_separate(crashes.values().copied(), suspect.crash_spacing());
        if matches!(suspect, Suspect::Request(_)) && count >= MAX_EXPLAINED_CRASHES {
            return false;
        }
        crashes.keys().all(|run| {
            let mut others = self.blocked.iter();
            others.any(|(other, known)| !present.contains(other) && known.contains_key(run))
        })
    }

    /// Replaces the evidence of other daemons, and of earlier processes of this one.
    ///
    /// A record that is older than the one known of its daemon is left out, as the store may do a write
    /// late.
    pub fn replace_others(&mut self, mut others: IndexMap<Suspect, IndexMap<id::VmId, Evidence>>) {
        for (suspect, known) in &mut self.others {
            let Some(found) = others.get_mut(suspect) else {
                continue;
            };
            for (daemon, evidence) in found {
                let newer = known.swap_remove(daemon);
                if let Some(newer) = newer.filter(|newer| newer.seen_at > evidence.seen_at) {
                    *evidence = newer;
                }
            }
        }
        self.others = others;
        let own = self.own.keys().chain(self.blocked.keys());
        let known: IndexSet<_> = own.chain(self.others.keys()).copied().collect();
        for suspect in known {
            self.update_blocked(suspect);
        }
    }

    /// Takes the evidence of this daemon, named `own`, that has changed since the last call.
    pub fn take_changed(&mut self, own: &id::VmId) -> Vec<(Suspect, Evidence)> {
        let changed = mem::take(&mut self.changed);
        let mut taken = Vec::new();
        for suspect in changed {
            let mut evidence = self.own.get(&suspect).cloned().unwrap_or_default();
            // The record of an earlier process is replaced, so its evidence is kept in the new one.
            let earlier = self.others.get(&suspect).and_then(|known| known.get(own));
            if let Some(earlier) = earlier {
                evidence.merge(earlier);
            }
            taken.push((suspect, evidence));
        }
        taken
    }

    /// Marks all evidence of this daemon as changed, because the published one may be lost.
    pub fn mark_all_changed(&mut self) {
        self.changed.extend(self.own.keys().copied());
    }

    /// Marks evidence as changed or dropped again, because that could not be published.
    pub fn restore(&mut self, changed: impl Iterator<Item = Suspect>, dropped: Vec<Suspect>) {
        self.changed.extend(changed);
        self.dropped.extend(dropped);
    }

    /// Drops own evidence that has expired; returns the parts of all evidence that was dropped since
    /// the last call.
    pub fn take_dropped(&mut self, now: clock::Millis) -> Vec<Suspect> {
        let is_expired = |(suspect, evidence): (&Suspect, &Evidence)| {
            let ttl = match suspect {
                Suspect::Part(_) if !self.blocked.contains_key(suspect) => PART_TTL,
                _ => EVIDENCE_TTL,
            };
            (evidence.seen_at.plus(ttl) <= now).then_some(*suspect)
        };
        let expired: Vec<_> = self.own.iter().filter_map(is_expired).collect();
        for suspect in expired {
            self.forget(suspect);
        }
        let mut dropped = mem::take(&mut self.dropped);
        // A dropped part may have become a suspect again.
        dropped.retain(|suspect| !self.own.contains_key(suspect));
        dropped
    }
}
