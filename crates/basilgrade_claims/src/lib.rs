//! At-most-once claims on request keys.
