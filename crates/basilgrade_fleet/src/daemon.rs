//! A daemon of the deployment, and the order of daemons for a duty.
//!
//! A duty is a task that one daemon performs for others, such as keeping a queue.

use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::ranking;

/// Name, address and failure domain of a registered daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Daemon {
    /// Name of the daemon's VM.
    pub name: id::VmId,
    /// Address at which the daemon accepts connections of other daemons.
    pub address: net::SocketAddr,
    pub domain: id::DomainId,
    /// Unix time of the daemon's last registration.
    pub seen_at: clock::Millis,
    /// Whether the daemon keeps copies of the streams that others begin.
    pub keeps_streams: bool,
    /// Whether the daemon takes load reports of others.
    pub shares_loads: bool,
    /// Whether the daemon sends compressed updates of the topics.
    pub packs_updates: bool,
}

/// Orders `daemons` for a duty: those in `domain` first, and within each group as [`rank`] does.
pub fn rank_local_first(duty: &str, domain: &id::DomainId, daemons: &mut [Daemon]) {
    rank(duty, daemons);
    daemons.sort_by_key(|daemon| daemon.domain != *domain);
}

/// Orders `daemons` for a duty by rendezvous hashing; the first one performs the duty.
///
/// Daemons that know the same `daemons` compute the same order.
pub fn rank(duty: &str, daemons: &mut [Daemon]) {
    let key = ranking::key(duty);
    daemons
        .sort_by_cached_key(|daemon| std::cmp::Reverse(ranking::weight(key, daemon.name.as_str())));
}
