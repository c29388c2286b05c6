//! What an upstream announces in its answers about the requests that it takes.

use std::sync::atomic;

/// Announcements of one run of an upstream, which end with that run.
#[derive(Debug, Default)]
pub struct Notices {
    is_leaving: atomic::AtomicBool,
}

impl Notices {
    /// Whether the upstream has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Relaxed)
    }

    /// Records that the upstream is leaving; `true` if that was not known.
    pub fn record_leaving(&self) -> bool {
        !self.is_leaving.swap(true, atomic::Ordering::Relaxed)
    }
}
