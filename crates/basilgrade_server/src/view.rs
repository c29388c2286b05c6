//! State that requests read: the configuration in force and the observed state of upstreams.

pub mod atomic_f32;
pub mod entry;
pub mod pool;
pub mod registry;
pub mod snapshot;
pub mod stats;
pub mod usage;
pub mod usages;
