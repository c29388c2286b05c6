//! Whether the daemon may serve.

use basilgrade_types::revision;

/// Whether the daemon may report ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// It holds the highest revision among its reachable peers, or was ready before and has only
    /// fallen behind since.
    Ready,
    /// It has not yet received the state of its peers.
    Joining,
    /// Neither a peer nor the log has given it a revision.
    NoRevision,
    /// A reachable peer has a newer revision.
    Behind(revision::Revision),
    /// It has announced that it will stop.
    Leaving,
}
