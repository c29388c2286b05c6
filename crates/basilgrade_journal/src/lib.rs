//! Records in the log and their replay: configuration revisions, slot grants and leases.
