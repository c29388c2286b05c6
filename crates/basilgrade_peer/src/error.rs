//! Errors of links, which are authenticated connections between daemons.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// The reason why a link to a peer daemon could not be opened or a call over it failed.
    #[derive(Debug)]
    pub enum LinkError {
        /// The call failed on an open link, so the peer may have executed it.
        Call(reason: String) {
            display("the peer did not respond to the call: {}; see the log of the peer", reason)
        }
        /// The peer does not know the shared secret.
        Unauthenticated {
            display("authentication failed because the secrets of the daemons differ; check `secret` under `[peers]`")
        }
        /// Connecting or the handshake timed out, or connecting failed less than 500 ms ago.
        Timeout {
            display("connecting to the peer or the handshake timed out, or connecting failed less than 500 ms ago; check that the peer is running")
        }
        /// The TCP connection to the peer failed.
        Io(error: io::Error) {
            from()
            display("the connection to the peer failed: {}; check that the peer is running and reachable", error)
            source(error)
        }
    }
}
