//! Readiness of the daemon to serve requests.

use basilgrade_types::revision;

/// Whether the daemon may report that it is ready, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// The daemon has the highest configuration revision among its reachable peers, or it was ready
    /// before and has fallen behind only since.
    Ready,
    /// The daemon has not yet received the state of its peers.
    Joining,
    /// The daemon has received no configuration revision, neither from a peer nor from the log.
    NoRevision,
    /// A reachable peer has the given newer revision.
    Behind(revision::Revision),
    /// The daemon has announced that it will stop, or a newer run of its VM has replaced it.
    Leaving,
}
