//! Names of the streams in the log service.

/// The stream of configuration publications and their snapshots.
pub const CONFIG: &str = "config";

/// The stream of slot grants, slot releases and placement leases, and their snapshots.
pub const CONTROL: &str = "control";
