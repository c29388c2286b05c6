//! The platform: log service, VM list and weight store at one address.

mod log_store;
pub mod options;
pub mod running;
pub mod vm;

pub use options::Options;
pub use running::Platform;
pub use running::start;
pub use vm::Vm;
