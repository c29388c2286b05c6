//! Which item of an owner is meant.

use crate::tag;

/// The identity of an item inside a ledger.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ItemKey {
    /// The owner's record.
    NodeRecord,
    /// The owner's progress.
    Progress,
    /// Health of an upstream.
    Health(tag::Tag),
    /// Load total of a pool.
    Load(tag::Tag),
    /// Demand of a customer.
    Demand(tag::Tag),
    /// A prefix hint.
    Prefix(tag::Tag),
    /// A member of the domain, by VM.
    Member(tag::Tag),
}
