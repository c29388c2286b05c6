//! A change of a claim that the backup has not acknowledged.

use basilgrade_journal::node;
use basilgrade_types::clock;

/// A change of a claim that the backup has not acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    /// The version to be acknowledged.
    pub(crate) version: u32,
    /// The entry daemon to notify after the acknowledgement.
    pub(crate) waiter: Option<node::Node>,
    /// When the change was last sent.
    pub(crate) sent_at: clock::Millis,
}
