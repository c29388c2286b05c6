//! A daemon, as others know it.

use std::net;

use basilgrade_types::clock;
use basilgrade_types::id;

use crate::ranking;

/// Where a daemon can be reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Daemon {
    /// Name of its VM.
    pub name: id::VmId,
    /// Where it accepts other daemons.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Unix time of its last registration.
    pub seen_at: clock::Millis,
}

/// Orders `daemons` for a duty in `domain`: those that stand there first, else like [`rank`].
pub fn rank_local_first(duty: &str, domain: &id::DomainId, daemons: &mut [Daemon]) {
    rank(duty, daemons);
    daemons.sort_by_key(|daemon| daemon.domain != *domain);
}

/// Orders `daemons` for a duty; all daemons that know the same ones agree on the order.
pub fn rank(duty: &str, daemons: &mut [Daemon]) {
    let key = ranking::key(duty);
    daemons
        .sort_by_cached_key(|daemon| std::cmp::Reverse(ranking::weight(key, daemon.name.as_str())));
}
