//! Keys of disseminated items.

use crate::tag;

/// Identifies an item among the items of one owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ItemKey {
    /// Identity and address of the owner.
    NodeRecord,
    /// Configuration revision and control offset of the owner.
    Progress,
    /// Health of an upstream, by the hash of its name.
    Health(tag::Tag),
    /// Load total of a pool, by the hash of its name.
    Load(tag::Tag),
    /// Demand of a customer, by the hash of its name.
    Demand(tag::Tag),
    /// Prefix hint, by the hash of the prefix.
    Prefix(tag::Tag),
    /// Member of the domain, by the hash of its VM name.
    Member(tag::Tag),
}
