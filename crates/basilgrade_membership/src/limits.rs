//! Size limits of the protocol.

/// Peers that a daemon gossips with in each round.
pub const FANOUT: usize = 3;

/// Other domains that a speaker contacts in each round.
pub const DOMAIN_FANOUT: usize = 2;

/// Largest encoded message; a join chunk of 32 KiB with its digests fits.
pub const MESSAGE_LIMIT: usize = 48 * 1024;

/// Largest sum of deltas in one answer to a joining daemon.
pub const JOIN_CHUNK: usize = 32 * 1024;

/// Largest sum of deltas in one gossip message, unless a single ledger is larger.
pub const GOSSIP_CHUNK: usize = 8 * 1024;

/// Largest encoded size of one ledger; a whole ledger fits into a join chunk.
pub const LEDGER_LIMIT: usize = 24 * 1024;

/// Most prefix hints of one owner.
pub const PREFIX_LIMIT: usize = 256;

/// Most members of one domain that are kept; beyond it new ones are ignored.
pub const MEMBER_LIMIT: usize = 400;

/// Most domains that are kept.
pub const DOMAIN_LIMIT: usize = 64;

/// Most names of the VM list, contacts and earlier incarnations that are kept.
pub const NAME_LIMIT: usize = 4096;

/// Bytes of soft items (demand, prefix hints) that the members of a domain publish per second
/// together.
///
/// Each byte is received once by every member and sent once on average, so it costs a member
/// twice this rate whatever the size of the domain.
pub const DOMAIN_SOFT_RATE: usize = 800;

/// Bytes of soft items (load totals, demand) that all domain summaries publish per second
/// together; shared in equal parts by the domains.
pub const FLEET_SOFT_RATE: usize = 800;

/// Soft items that wait for publication; beyond it the oldest prefix hints are dropped.
pub const PENDING_LIMIT: usize = 1024;
