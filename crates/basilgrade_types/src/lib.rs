//! Types shared by all packages: ids, sizes, rates, time, verdicts and request keys.

pub mod attempt;
pub mod clock;
pub mod fence;
pub mod id;
pub mod incarnation;
pub mod key;
pub mod manual_clock;
pub mod offset;
pub mod parse;
pub mod price;
pub mod rate;
pub mod request;
pub mod revision;
pub mod size;
pub mod slot;
pub mod verdict;
