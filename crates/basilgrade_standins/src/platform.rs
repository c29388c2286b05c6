//! Stand-in for the platform: log service, VM list and weight store at one address.

mod log_store;
pub mod options;
pub mod running_platform;
pub mod vm;

pub use options::Options;
pub use running_platform::Platform;
pub use running_platform::start;
pub use vm::Vm;
