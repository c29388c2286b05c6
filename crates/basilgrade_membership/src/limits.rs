//! Fan-out, size and rate limits of the membership protocol.

/// Members of its domain that a daemon gossips with in each round.
pub const MEMBER_FANOUT: usize = 3;

/// Other domains that the representative of a domain contacts in each round.
pub const DOMAIN_FANOUT: usize = 2;

/// Maximum size of an encoded message; a join chunk of 32 KiB with its digests fits.
pub const MAX_MESSAGE_BYTES: usize = 48 * 1024;

/// Maximum total size of the deltas in one reply to a joining daemon.
pub const MAX_JOIN_CHUNK_BYTES: usize = 32 * 1024;

/// Maximum total size of the deltas in one gossip message; a delta that does not fit is left out.
pub const MAX_GOSSIP_DELTA_BYTES: usize = 8 * 1024;

/// Maximum encoded size of the items of one owner; all items of an owner fit into a join chunk.
pub const MAX_ITEM_SET_BYTES: usize = 24 * 1024;

/// Maximum number of prefix hints that a daemon publishes.
pub const MAX_PREFIX_HINTS: usize = 256;

/// Maximum number of members kept for the own domain; further ones are ignored.
pub const MAX_MEMBERS: usize = 400;

/// Maximum number of domains whose summaries are kept.
pub const MAX_DOMAINS: usize = 64;

/// Maximum number of VMs kept in each of the VM list, the contact table and the table of known
/// incarnations.
pub const MAX_VM_NAMES: usize = 4096;

/// Bytes of soft state (demand, prefix hints) that all members of a domain together publish per
/// second.
///
/// Every member receives each byte once and sends it once on average, so the traffic of a member is
/// twice this rate regardless of the size of the domain.
pub const DOMAIN_SOFT_STATE_BYTES_PER_S: usize = 800;

/// Bytes of soft state (load totals, demand) that all domain summaries together publish per second;
/// each domain may use an equal share.
pub const FLEET_SOFT_STATE_BYTES_PER_S: usize = 800;

/// Maximum number of soft-state items of each kind that wait for publication. Above it, the oldest
/// prefix hints are dropped, and new customers and pools are ignored.
pub const MAX_PENDING_ITEMS: usize = 1024;
