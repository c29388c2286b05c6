//! Names of the system's streams in the log service.

/// Publications and snapshots of the configuration.
pub const CONFIG: &str = "config";

/// Slot grants, leases and their snapshots.
pub const CONTROL: &str = "control";
