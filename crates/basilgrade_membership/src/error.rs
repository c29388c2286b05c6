//! Errors of the message codec.

use quick_error::quick_error;

quick_error! {
    /// Reasons why a message cannot be encoded or decoded.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CodecError {
        /// The encoded message exceeds the size limit.
        TooLarge(size: usize, limit: usize) {
            display("membership message of {} bytes exceeds the limit of {} bytes (`MAX_MESSAGE_BYTES`); the message was dropped; check that all daemons run the same release", size, limit)
        }
        /// postcard could not encode or decode the message.
        Malformed(reason: String) {
            display("membership message is malformed: {}; the message was dropped; check that all daemons run the same release", reason)
        }
    }
}
