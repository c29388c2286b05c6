//! Errors of links between daemons.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why a link could not be set up or was closed.
    #[derive(Debug)]
    pub enum LinkError {
        /// The call failed after the link was open.
        Call(reason: String) {
            display("the peer did not answer: {}", reason)
        }
        /// The other side does not know the secret.
        Unauthenticated {
            display("the peer does not know the shared secret; check `secret` under `[peers]`")
        }
        /// The other side did not finish the handshake in time.
        Timeout {
            display("the peer did not finish the handshake in time")
        }
        /// The connection failed.
        Io(error: io::Error) {
            from()
            display("the connection failed: {}", error)
            source(error)
        }
    }
}
