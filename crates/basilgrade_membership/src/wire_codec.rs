//! Messages as bytes.

use crate::error;
use crate::limits;
use crate::message;

/// Encodes a message with postcard.
///
/// # Errors
/// [`error::CodecError::TooLarge`] if it exceeds [`limits::MESSAGE_LIMIT`].
pub fn encode(message: &message::Message) -> Result<Vec<u8>, error::CodecError> {
    let bytes = postcard::to_stdvec(message)
        .map_err(|reason| error::CodecError::Malformed(reason.to_string()))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes a message, whose size is checked before anything is allocated.
///
/// # Errors
/// [`error::CodecError`] if the bytes exceed [`limits::MESSAGE_LIMIT`], are no message or go on
/// after it.
pub fn decode(bytes: &[u8]) -> Result<message::Message, error::CodecError> {
    check_size(bytes.len())?;
    let (message, rest) = postcard::take_from_bytes(bytes)
        .map_err(|reason| error::CodecError::Malformed(reason.to_string()))?;
    if !rest.is_empty() {
        return Err(error::CodecError::Malformed(format!(
            "{} bytes follow the message",
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
