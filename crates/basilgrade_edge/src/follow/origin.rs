//! Where news comes from.

/// Where a change was learned.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// The store.
    Store,
    /// Another daemon.
    Peer,
}

impl Origin {
    /// Name for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}
