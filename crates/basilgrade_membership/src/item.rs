//! Items of the state that gossip disseminates.

use serde::Deserialize;
use serde::Serialize;

use crate::health;
use crate::item_key;
use crate::load_total;
use crate::node_record;
use crate::prefix_hint;
use crate::progress;
use crate::status;
use crate::tag;

/// One item of the state of a daemon or of a domain summary.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Item {
    /// Identity and address of the daemon that owns the item; the first item of every daemon.
    NodeRecord(node_record::NodeRecord),
    /// Configuration revision in force and offset in stream `control`.
    Progress(progress::Progress),
    /// Health of an upstream, as observed by the owner of the item.
    Health {
        /// Hash of the upstream's name.
        upstream: tag::Tag,
        health: health::Health,
    },
    /// Load of a pool, summed over the domain.
    Load {
        /// Hash of the pool's name.
        pool: tag::Tag,
        total: load_total::LoadTotal,
    },
    /// Demand of a customer, in tenths of a request per second.
    Demand {
        /// Hash of the customer's name.
        customer: tag::Tag,
        /// Requests per ten seconds; 0 marks a tombstone.
        rate: u32,
    },
    /// Hint that an upstream caches a prompt prefix.
    Prefix(prefix_hint::PrefixHint),
    /// A member of the domain, in the summary of the domain.
    Member {
        record: node_record::NodeRecord,
        /// Status of the member in the view of the summary writer.
        status: status::Status,
    },
}

impl Item {
    /// The key of the item in the item set of its owner.
    pub fn key(&self) -> item_key::ItemKey {
        match self {
            Self::NodeRecord(_) => item_key::ItemKey::NodeRecord,
            Self::Progress(_) => item_key::ItemKey::Progress,
            Self::Health { upstream, .. } => item_key::ItemKey::Health(*upstream),
            Self::Load { pool, .. } => item_key::ItemKey::Load(*pool),
            Self::Demand { customer, .. } => item_key::ItemKey::Demand(*customer),
            Self::Prefix(hint) => item_key::ItemKey::Prefix(hint.prefix),
            Self::Member { record, .. } => {
                item_key::ItemKey::Member(tag::Tag::of(record.vm.as_str()))
            }
        }
    }

    /// Whether the item is a tombstone: its value only revokes an earlier item with the same key.
    pub fn is_tombstone(&self) -> bool {
        match self {
            Self::NodeRecord(_) | Self::Progress(_) => false,
            Self::Health { health, .. } => *health == health::Health::Healthy,
            Self::Load { total, .. } => *total == load_total::LoadTotal::default(),
            Self::Demand { rate, .. } => *rate == 0,
            Self::Prefix(hint) => hint.tokens == 0,
            Self::Member { status, .. } => *status == status::Status::Dead,
        }
    }

    /// Whether a change of the item is gossiped at once instead of in the next round.
    pub const fn is_urgent(&self) -> bool {
        matches!(self, Self::Health { .. })
    }

    /// Upper bound of the encoded size of the item with its version, in bytes.
    pub fn encoded_size(&self) -> usize {
        match self {
            Self::NodeRecord(record) | Self::Member { record, .. } => {
                40 + record.vm.as_str().len() + record.domain.as_str().len()
            }
            Self::Progress(_) => 26,
            Self::Health { .. } => 13,
            Self::Load { .. } => 27,
            Self::Demand { .. } => 17,
            Self::Prefix(_) => 23,
        }
    }
}
