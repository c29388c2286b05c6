//! Connection of a caller, as far as answers are sent on it.

use tokio_util::sync as tokio_sync;

use crate::http::transfer;

/// Progress of what is sent to a caller, and the means to end its connection.
#[derive(Clone, Debug, Default)]
pub struct CallerConnection {
    pub written: transfer::WrittenBytes,
    ended: tokio_sync::CancellationToken,
}

impl CallerConnection {
    /// Ends the connection with a reset, whatever is being sent.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// Cancelled when the connection has to end.
    pub fn ended(&self) -> &tokio_sync::CancellationToken {
        &self.ended
    }
}
