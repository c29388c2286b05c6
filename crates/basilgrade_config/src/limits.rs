//! Bounds on the size of a configuration.
//!
//! The bounds leave room above the size expected in two years (4,200 customers, 1,200 engines,
//! 20 failure domains) and prevent a faulty or hostile text from exhausting a daemon's memory.

/// The largest configuration or settings text, in bytes; 4,200 customers and 1,200 upstreams take
/// less than 1 MiB.
pub const TEXT_BYTES: usize = 8 << 20;
/// The largest canonical text that can be published, in bytes.
///
/// A snapshot stores the whole text in one log record of at most 1 MiB, in which each line break
/// takes two bytes. Without a snapshot, a new VM cannot start once retention has removed the
/// deltas.
pub const PUBLISHED_BYTES: usize = 800 << 10;
/// The longest line of a text, in bytes.
pub const LINE_BYTES: usize = 4096;
/// The largest number of lines in a text.
///
/// A canonical text that reaches all other limits has at most 360,000 lines; each line takes about
/// 60 bytes of memory while the text is parsed.
pub const LINES: usize = 400_000;
/// The largest number of problems kept in one report; further problems are only counted.
pub const PROBLEMS: usize = 200;
/// The largest number of failure domains.
pub const DOMAINS: usize = 256;
/// The largest number of links between regions.
pub const LINKS: usize = 4096;
/// The largest number of pools.
pub const POOLS: usize = 1024;
/// The largest number of upstreams.
pub const UPSTREAMS: usize = 16_384;
/// The largest number of models with a `[model NAME]` section.
pub const MODELS: usize = 1024;
/// The largest number of replicas of one model that can be required in each failure domain.
pub const REPLICAS: u32 = 1024;
/// The largest number of models that one engine can hold at once.
pub const SLOTS: u32 = 64;
/// The largest number of pipelines.
pub const PIPELINES: usize = 512;
/// The largest number of stages of one pipeline.
pub const STAGES: usize = 16;
/// The largest number of plain services.
pub const SERVICES: usize = 1024;
/// The largest number of customers.
pub const CUSTOMERS: usize = 32_768;
/// The largest number of items in one comma-separated list.
pub const LIST_ITEMS: usize = 128;
/// The longest deadline or other duration, in milliseconds: one day.
pub const TIME_MS: u64 = 24 * 3_600_000;
/// The highest price, in millionths of the currency.
pub const PRICE: u64 = 1_000_000_000_000;
/// The highest capacity of one upstream, in calls.
pub const CAPACITY: u32 = 65_536;
/// The highest request rate of one customer, in requests per second.
pub const RATE_PER_SECOND: f64 = 1_000_000.0;
/// The largest burst of one customer, in requests.
pub const BURST: u32 = 1_000_000;
/// The largest number of tokens that one stage may generate per call.
pub const TOKENS: u64 = 1_000_000;
