//! Errors of the codec.

use quick_error::quick_error;

quick_error! {
    /// Why bytes are not a message.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum CodecError {
        /// The bytes exceed the size limit; nothing was decoded.
        TooLarge(size: usize, limit: usize) {
            display("message of {} bytes exceeds the limit of {}; it was dropped", size, limit)
        }
        /// The bytes are not in the agreed form.
        Malformed(reason: String) {
            display("message is malformed: {}; it was dropped; check that all daemons run the same release", reason)
        }
    }
}
