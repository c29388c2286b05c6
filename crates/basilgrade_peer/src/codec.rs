//! Length-delimited frames that are authenticated by an HMAC over a counter and the payload.

use std::io;
use std::sync;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use hmac::Mac;
use tokio_util::codec;

use crate::secret;
use crate::traffic;

/// The maximum length of a frame in bytes, which bounds the memory that a peer can make this daemon
/// allocate.
pub const FRAME_MAX_BYTES: usize = 1 << 20;

/// The size in bytes of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The size in bytes of the truncated HMAC at the end of a frame.
const MAC_LENGTH: usize = 16;

/// Encodes and decodes length-delimited frames, each of which ends with an HMAC over its number and
/// its payload.
///
/// Both sides count the frames of each direction, so that a replayed, dropped or reordered frame
/// fails verification.
#[derive(Debug)]
pub struct AuthenticatedCodec {
    framing: codec::LengthDelimitedCodec,
    sending: FrameAuthenticator,
    receiving: FrameAuthenticator,
    traffic: sync::Arc<traffic::Traffic>,
}

/// Computes the HMACs of the frames of one direction of a connection. `counter` is the number of
/// the next frame, from 0.
#[derive(Debug)]
struct FrameAuthenticator {
    secret: secret::Secret,
    counter: u64,
}

impl FrameAuthenticator {
    fn next_mac(&mut self, payload: &[u8]) -> secret::HmacSha256 {
        let mac = self.secret.mac("", &[&self.counter.to_be_bytes(), payload]);
        self.counter += 1;
        mac
    }
}

impl AuthenticatedCodec {
    /// Creates a codec that authenticates sent frames with the key `sending` and verifies received
    /// ones with the key `receiving`.
    pub fn new(sending: secret::Secret, receiving: secret::Secret) -> Self {
        let framing = codec::LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_MAX_BYTES)
            .new_codec();
        let authenticator = |secret| FrameAuthenticator { secret, counter: 0 };
        Self {
            framing,
            sending: authenticator(sending),
            receiving: authenticator(receiving),
            traffic: sync::Arc::default(),
        }
    }
}

impl AuthenticatedCodec {
    /// Counts the bytes of this link in `traffic`, which all links of a daemon share.
    #[must_use]
    pub fn with_traffic(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }
}

impl codec::Encoder<Bytes> for AuthenticatedCodec {
    type Error = io::Error;

    fn encode(&mut self, payload: Bytes, output: &mut BytesMut) -> Result<(), Self::Error> {
        let mac = self.sending.next_mac(&payload).finalize().into_bytes();
        let mut frame = BytesMut::with_capacity(payload.len() + MAC_LENGTH);
        frame.put_slice(&payload);
        frame.put_slice(&mac[..MAC_LENGTH]);
        self.traffic.add_sent(LENGTH_PREFIX_BYTES + frame.len());
        self.framing.encode(frame.freeze(), output)
    }
}

impl codec::Decoder for AuthenticatedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(mut frame) = self.framing.decode(input)? else {
            return Ok(None);
        };
        self.traffic.add_received(LENGTH_PREFIX_BYTES + frame.len());
        let invalid = || {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the HMAC of the frame is wrong: the frame was altered, or it is not the next frame of its sender; open a new link",
            )
        };
        let payload_length = frame.len().checked_sub(MAC_LENGTH).ok_or_else(invalid)?;
        let mac = frame.split_off(payload_length);
        self.receiving
            .next_mac(&frame)
            .verify_truncated_left(&mac)
            .map_err(|_| invalid())?;
        Ok(Some(frame))
    }
}
