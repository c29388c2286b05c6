//! Encoding and decoding of membership messages.

use crate::error;
use crate::limits;
use crate::message;

/// Encodes a message with postcard.
///
/// # Errors
/// [`error::CodecError::TooLarge`] if the encoded message exceeds [`limits::MAX_MESSAGE_BYTES`].
pub fn encode(message: &message::Message) -> Result<Vec<u8>, error::CodecError> {
    let bytes = postcard::to_stdvec(message)
        .map_err(|reason| error::CodecError::Malformed(reason.to_string()))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes a message; checks the size of the input before allocating.
///
/// # Errors
/// [`error::CodecError`] if the input exceeds [`limits::MAX_MESSAGE_BYTES`], is not a valid message
/// or has trailing bytes.
pub fn decode(bytes: &[u8]) -> Result<message::Message, error::CodecError> {
    check_size(bytes.len())?;
    let (message, rest) = postcard::take_from_bytes(bytes)
        .map_err(|reason| error::CodecError::Malformed(reason.to_string()))?;
    if !rest.is_empty() {
        return Err(error::CodecError::Malformed(format!(
            "{} trailing bytes after the message",
            rest.len()
        )));
    }
    Ok(message)
}

fn check_size(size: usize) -> Result<(), error::CodecError> {
    if size > limits::MAX_MESSAGE_BYTES {
        return Err(error::CodecError::TooLarge(size, limits::MAX_MESSAGE_BYTES));
    }
    Ok(())
}
