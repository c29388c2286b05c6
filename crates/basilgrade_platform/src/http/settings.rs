//! Settings of the HTTP clients of the platform.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits on sizes and times of calls to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum size of the body of a response.
    pub max_body: size::ByteCount,
    /// Maximum size of a record to append to the log.
    pub max_record: size::ByteCount,
    /// Time limit to establish a connection.
    pub connect_timeout: clock::Millis,
    /// Time limit of a whole call, including establishing the connection.
    pub call_timeout: clock::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_body: size::ByteCount(8 << 20),
            max_record: size::ByteCount(1 << 20),
            // The kernel repeats a lost connection attempt after 1 s. A limit above 1 s tolerates
            // one lost packet.
            connect_timeout: clock::Millis(1500),
            call_timeout: clock::Millis(5000),
        }
    }
}
