//! HTTP clients of the log service, the VM list and the weight store.

mod failure;
pub mod http_log;
pub mod http_vm_list;
pub mod http_weight_store;
pub mod settings;
mod transport;

pub use http_log::HttpLog;
pub use http_vm_list::HttpVmList;
pub use http_weight_store::HttpWeightStore;
pub use settings::Settings;
