//! Records of the log and their replay: configuration revisions, slot grants and placement leases.

pub mod chunk;
pub mod config_merge;
pub mod config_record;
pub mod config_state;
pub mod control_record;
pub mod control_state;
pub mod encode;
pub mod entry;
pub mod export;
pub mod grant;
pub mod history;
pub mod lease;
pub mod lease_manager;
pub mod merge;
pub mod node;
pub mod ownership;
pub mod publication;
pub mod replay;
pub mod replayer;
pub mod snapshot_schedule;
pub mod stream;
