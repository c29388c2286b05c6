//! Which daemons keep copies of the streams that others begin.
//!
//! The daemons of a failure domain form a few groups. A group sends its streams to the same two
//! keepers, one inside the domain and one outside of it, so that a daemon which looks for a stream
//! asks few others. If a keeper does not answer, the next one by rank takes its place.
//!
//! While one software version serves, one daemon of each domain also gets all of its streams and
//! records them in the log of the store.

use basilgrade_types::id;

use crate::daemon;
use crate::placement;
use crate::ranking;

/// Number of copies of each stream.
pub const COPIES: usize = 2;

/// Number of groups of the daemons of a failure domain.
const GROUPS: usize = 4;

/// Number of daemons of the failure domain that are asked for a stream which began there: the first
/// keeper of each group, and two that take the place of others.
const ASKED_INSIDE: usize = GROUPS + 2;

/// Number of daemons outside of the failure domain that are asked for such a stream.
const ASKED_OUTSIDE: usize = GROUPS + 1;

/// Daemons that may keep the streams of a failure domain, in order of preference.
#[derive(Clone, Debug, Default)]
pub struct Keepers {
    inside: Vec<daemon::Daemon>,
    /// Daemons outside of the failure domain, those in its region.
    region: Vec<daemon::Daemon>,
    /// Daemons outside of the region.
    elsewhere: Vec<daemon::Daemon>,
}

impl Keepers {
    /// Ranks `daemons` as keepers of the streams that begin in `domain`. Those in its region come
    /// before others, as traffic between regions is billed.
    pub fn rank(
        domain: &id::DomainId,
        topology: &placement::Topology,
        daemons: &[daemon::Daemon],
    ) -> Self {
        let is_keeper = |daemon: &&daemon::Daemon| daemon.keeps_streams;
        let mut ranked: Vec<_> = daemons.iter().filter(is_keeper).cloned().collect();
        daemon::rank(&format!("streams of {domain}"), &mut ranked);
        let (inside, outside): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|daemon| daemon.domain == *domain);
        let home = topology.regions.get(domain);
        let (region, elsewhere) = outside
            .into_iter()
            .partition(|daemon| home.is_some() && topology.regions.get(&daemon.domain) == home);
        Self {
            inside,
            region,
            elsewhere,
        }
    }

    /// Daemons to which the daemon `own` sends its streams, of those for which `is_usable` returns
    /// `true`: one inside the failure domain and one outside of it, as far as there are.
    pub fn targets(
        &self,
        own: &id::VmId,
        is_usable: impl Fn(&daemon::Daemon) -> bool,
    ) -> [Option<daemon::Daemon>; COPIES] {
        let usable = |daemon: &&daemon::Daemon| daemon.name != *own && is_usable(daemon);
        let group = group_of(own);
        let mut inside = rotate(&self.inside, group).filter(usable);
        let mut outside = rotate(&self.region, group)
            .chain(rotate(&self.elsewhere, group))
            .filter(usable);
        let first = inside.next().or_else(|| outside.next()).cloned();
        let second = outside.next().or_else(|| inside.next()).cloned();
        [first, second]
    }

    /// Daemons that the daemon `own` of the same failure domain asks for a stream that began there,
    /// of those for which `is_usable` returns `true`.
    pub fn asked(
        &self,
        own: &id::VmId,
        is_usable: impl Fn(&daemon::Daemon) -> bool,
    ) -> Vec<daemon::Daemon> {
        let usable = |daemon: &&daemon::Daemon| daemon.name != *own && is_usable(daemon);
        let inside = self.inside.iter().filter(usable).take(ASKED_INSIDE);
        let outside = self.outside().filter(usable).take(ASKED_OUTSIDE);
        inside.chain(outside).cloned().collect()
    }

    /// Like [`Keepers::asked`], for a daemon of another failure domain, which takes over the callers
    /// of this one while its daemons do not answer.
    pub fn asked_elsewhere(
        &self,
        own: &id::VmId,
        is_usable: impl Fn(&daemon::Daemon) -> bool,
    ) -> Vec<daemon::Daemon> {
        let usable = |daemon: &&daemon::Daemon| daemon.name != *own && is_usable(daemon);
        let outside = self.outside().filter(usable);
        outside.take(ASKED_OUTSIDE).cloned().collect()
    }

    fn outside(&self) -> impl Iterator<Item = &daemon::Daemon> {
        self.region.iter().chain(&self.elsewhere)
    }
}

/// Daemon that records the streams which begin in `domain` in the log, of those for which `is_usable`
/// returns `true`; `None` if no other daemon of the domain than `own` does.
pub fn recorder(
    domain: &id::DomainId,
    own: &id::VmId,
    daemons: &[daemon::Daemon],
    is_usable: impl Fn(&daemon::Daemon) -> bool,
) -> Option<daemon::Daemon> {
    let is_candidate = |daemon: &&daemon::Daemon| {
        daemon.domain == *domain && (daemon.name == *own || daemon.keeps_streams)
    };
    let mut ranked: Vec<_> = daemons.iter().filter(is_candidate).cloned().collect();
    daemon::rank("log of streams", &mut ranked);
    let is_able = |daemon: &daemon::Daemon| daemon.name == *own || is_usable(daemon);
    let first = ranked.into_iter().find(is_able)?;
    (first.name != *own).then_some(first)
}

/// Group of the daemon `name` within its failure domain.
fn group_of(name: &id::VmId) -> usize {
    (ranking::key(name.as_str()) % GROUPS as u64) as usize
}

/// The daemons of `ranked`, beginning with that of the rank `first`.
fn rotate(ranked: &[daemon::Daemon], first: usize) -> impl Iterator<Item = &daemon::Daemon> {
    let (before, from) = ranked.split_at(first % ranked.len().max(1));
    from.iter().chain(before)
}
