//! Frames with a keyed hash and a counter.

use std::io;
use std::sync;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use hmac::Mac;
use tokio_util::codec;

use crate::secret;
use crate::traffic;

/// Longest frame, in bytes; bounds the memory that a peer can make this daemon use.
pub const FRAME_LIMIT: usize = 1 << 20;

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Bytes of the keyed hash at the end of each frame.
const TAG_LENGTH: usize = 16;

/// Length-delimited frames, each with a keyed hash over its counter and content.
///
/// The counter makes a repeated, dropped or reordered frame fail the check.
#[derive(Debug)]
pub struct SealedCodec {
    frames: codec::LengthDelimitedCodec,
    sending: Direction,
    receiving: Direction,
    traffic: sync::Arc<traffic::Traffic>,
}

#[derive(Debug)]
struct Direction {
    secret: secret::Secret,
    counter: u64,
}

impl Direction {
    fn next_hash(&mut self, content: &[u8]) -> secret::Hash {
        let hash = self
            .secret
            .hash("", &[&self.counter.to_be_bytes(), content]);
        self.counter += 1;
        hash
    }
}

impl SealedCodec {
    /// A codec that seals with `sending` and checks with `receiving`.
    pub fn new(sending: secret::Secret, receiving: secret::Secret) -> Self {
        let frames = codec::LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT)
            .new_codec();
        let direction = |secret| Direction { secret, counter: 0 };
        Self {
            frames,
            sending: direction(sending),
            receiving: direction(receiving),
            traffic: sync::Arc::default(),
        }
    }
}

impl SealedCodec {
    /// Counts the bytes of this link in `traffic`.
    #[must_use]
    pub fn counted(mut self, traffic: sync::Arc<traffic::Traffic>) -> Self {
        self.traffic = traffic;
        self
    }
}

impl codec::Encoder<Bytes> for SealedCodec {
    type Error = io::Error;

    fn encode(&mut self, content: Bytes, out: &mut BytesMut) -> Result<(), Self::Error> {
        let tag = self.sending.next_hash(&content).finalize().into_bytes();
        let mut frame = BytesMut::with_capacity(content.len() + TAG_LENGTH);
        frame.put_slice(&content);
        frame.put_slice(&tag[..TAG_LENGTH]);
        self.traffic.add_sent(LENGTH_BYTES + frame.len());
        self.frames.encode(frame.freeze(), out)
    }
}

impl codec::Decoder for SealedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Self::Item>, Self::Error> {
        let Some(mut frame) = self.frames.decode(input)? else {
            return Ok(None);
        };
        self.traffic.add_received(LENGTH_BYTES + frame.len());
        let refused = || io::Error::new(io::ErrorKind::InvalidData, "frame fails its keyed hash");
        let length = frame.len().checked_sub(TAG_LENGTH).ok_or_else(refused)?;
        let tag = frame.split_off(length);
        self.receiving
            .next_hash(&frame)
            .verify_truncated_left(&tag)
            .map_err(|_| refused())?;
        Ok(Some(frame))
    }
}
