//! Compression of the updates that daemons send each other.
//!
//! One daemon sends each change to all followers of its failure domain over one link, so that a
//! large configuration takes the link seconds unless it is compressed.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::sync;

use bytes::Bytes;
use flate2::read;
use flate2::write;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::mirror;
use crate::peers::links;

/// Least size of encoded updates that are compressed, in bytes.
const MIN_COMPRESSED: usize = 4 << 10;

/// Encoded updates of a reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Payload {
    Plain(Bytes),
    /// Compressed with DEFLATE.
    Deflated(Bytes),
}

/// Compresses updates, and keeps the last ones, as most followers ask for the same.
#[derive(Debug, Default)]
pub struct Packer {
    last: sync::Mutex<Option<(Bytes, Bytes)>>,
}

impl Packer {
    /// Encodes `updates`.
    ///
    /// # Errors
    ///
    /// A message if they cannot be encoded.
    pub fn pack(&self, updates: &[mirror::Update]) -> Result<Payload, String> {
        let plain = postcard::to_stdvec(updates).map_err(|error| error.to_string())?;
        if plain.len() < MIN_COMPRESSED {
            return Ok(Payload::Plain(Bytes::from(plain)));
        }
        let mut last = self
            .last
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let Some((known, deflated)) = last.as_ref()
            && known == &plain
        {
            return Ok(Payload::Deflated(deflated.clone()));
        }
        let deflated = Bytes::from(deflate(&plain).map_err(|error| error.to_string())?);
        *last = Some((Bytes::from(plain), deflated.clone()));
        Ok(Payload::Deflated(deflated))
    }
}

fn deflate(plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    encoder.write_all(plain)?;
    encoder.finish()
}

/// Decodes the updates of a reply.
///
/// # Errors
///
/// A message if they are malformed, or larger than a message between daemons may be.
pub fn unpack(payload: &Payload) -> Result<Vec<mirror::Update>, String> {
    let decoded = match payload {
        Payload::Plain(plain) => postcard::from_bytes(plain),
        Payload::Deflated(deflated) => {
            let mut plain = Vec::new();
            read::DeflateDecoder::new(deflated.as_ref())
                .take(links::MAX_MESSAGE_BYTES as u64 + 1)
                .read_to_end(&mut plain)
                .map_err(|error| error.to_string())?;
            if plain.len() > links::MAX_MESSAGE_BYTES {
                return Err("the decompressed updates are too large".to_owned());
            }
            postcard::from_bytes(&plain)
        }
    };
    decoded.map_err(|error| error.to_string())
}
