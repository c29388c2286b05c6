//! Bounds on the size of a configuration.
//!
//! They leave room above the two-year size (4,200 customers, 1,200 engines, 20 failure domains)
//! and keep a faulty or hostile text from taking a daemon's memory.

/// The longest text, in bytes; 4,200 customers and 1,200 upstreams take less than 1 MiB.
pub const TEXT: usize = 8 << 20;
/// The longest canonical text that is published, in bytes.
///
/// A snapshot holds the whole text in one record of at most 1 MiB, in which each line break takes
/// a second byte; without snapshots a new VM cannot start once retention has removed the deltas.
pub const PUBLISHED_BYTES: usize = 800 << 10;
/// The longest line, in bytes.
pub const LINE_BYTES: usize = 4096;
/// Most lines. The canonical text has at most 360,000 if all other limits are reached; each line
/// takes about 60 bytes of memory while the text is read.
pub const LINES: usize = 400_000;
/// Most problems kept in one report; further ones are only counted.
pub const PROBLEMS: usize = 200;
/// Most failure domains.
pub const DOMAINS: usize = 256;
/// Most links between regions.
pub const LINKS: usize = 4096;
/// Most pools.
pub const POOLS: usize = 1024;
/// Most upstreams.
pub const UPSTREAMS: usize = 16_384;
/// Most models that are placed.
pub const MODELS: usize = 1024;
/// Most replicas of a model that can be required in a failure domain.
pub const REPLICAS: u32 = 1024;
/// Most models that an engine can hold at once.
pub const SLOTS: u32 = 64;
/// Most pipelines.
pub const PIPELINES: usize = 512;
/// Most stages of one pipeline.
pub const STAGES: usize = 16;
/// Most plain services.
pub const SERVICES: usize = 1024;
/// Most customers.
pub const CUSTOMERS: usize = 32_768;
/// Most names in one list.
pub const LIST_ITEMS: usize = 128;
/// The longest deadline or other time, in milliseconds.
pub const TIME_MS: u64 = 24 * 3_600_000;
/// The highest price, in millionths of the currency.
pub const PRICE: u64 = 1_000_000_000_000;
/// The highest capacity of one upstream, in calls.
pub const CAPACITY: u32 = 65_536;
/// The highest request rate of one customer, per second.
pub const RATE_PER_SECOND: f64 = 1_000_000.0;
/// The largest burst of one customer, in requests.
pub const BURST: u32 = 1_000_000;
/// Most tokens of one stage.
pub const TOKENS: u64 = 1_000_000;
