//! Interface between operators' tools and a daemon.
