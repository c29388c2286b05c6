//! Authenticated messages between daemons.
