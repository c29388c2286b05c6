//! Size limits of the protocol.

/// Peers that a daemon gossips with in each round.
pub const MEMBER_FANOUT: usize = 3;

/// Other domains that a speaker contacts in each round.
pub const DOMAIN_FANOUT: usize = 2;

/// Largest encoded message; a join chunk of 32 KiB with its digests fits.
pub const MAX_MESSAGE_BYTES: usize = 48 * 1024;

/// Largest sum of deltas in one answer to a joining daemon.
pub const MAX_JOIN_CHUNK_BYTES: usize = 32 * 1024;

/// Largest sum of deltas in one gossip message, unless a single ledger is larger.
pub const MAX_GOSSIP_DELTA_BYTES: usize = 8 * 1024;

/// Largest encoded size of one ledger; a whole ledger fits into a join chunk.
pub const MAX_ITEM_SET_BYTES: usize = 24 * 1024;

/// Most prefix hints of one owner.
pub const MAX_PREFIX_HINTS: usize = 256;

/// Most members of one domain that are kept; beyond it new ones are ignored.
pub const MAX_MEMBERS: usize = 400;

/// Most domains that are kept.
pub const MAX_DOMAINS: usize = 64;

/// Most names of the VM list, contacts and earlier incarnations that are kept.
pub const MAX_VM_NAMES: usize = 4096;

/// Bytes of soft items (demand, prefix hints) that the members of a domain publish per second
/// together.
///
/// Each byte is received once by every member and sent once on average, so it costs a member
/// twice this rate whatever the size of the domain.
pub const DOMAIN_SOFT_STATE_BYTES_PER_S: usize = 800;

/// Bytes of soft items (load totals, demand) that all domain summaries publish per second
/// together; shared in equal parts by the domains.
pub const FLEET_SOFT_STATE_BYTES_PER_S: usize = 800;

/// Soft items that wait for publication; beyond it the oldest prefix hints are dropped.
pub const MAX_PENDING_ITEMS: usize = 1024;
