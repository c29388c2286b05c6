//! Origin of an update of a topic.

/// Source from which this daemon received an update of a topic.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// Another daemon of the deployment.
    Peer,
}

impl Origin {
    /// Value of the log key `origin`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}
