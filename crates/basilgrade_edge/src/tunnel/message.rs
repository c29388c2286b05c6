//! First messages on a tunnel.

use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec;

/// First bytes of a connection to another daemon that becomes a tunnel.
///
/// Read as the length of a remote procedure call, they exceed the limit, so a daemon that knows no
/// tunnels closes the connection.
pub const PREAMBLE: [u8; 4] = *b"TUNL";

/// Maximum size of a frame: a message, or bytes of the upstream.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Asks for a connection to an upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Open {
    pub upstream: id::UpstreamId,
    /// Start of the run of the upstream that is meant.
    pub started_at: Option<clock::Millis>,
}

/// Reply to [`Open`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The connection is open.
    Connected,
    /// The daemon does not reach the upstream.
    Unreachable,
    /// The daemon is shutting down, forwards too many connections already, or does not know the
    /// upstream as one that accepts requests.
    Refused,
}

/// Codec of the messages and of the bytes that an upstream sends.
///
/// Those are framed so that the regular end of the upstream's connection, an empty frame, can be
/// told from a reset and from the end of the daemon that forwards. The bytes to the upstream are not
/// framed.
pub fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
