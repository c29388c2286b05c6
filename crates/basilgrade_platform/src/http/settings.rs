//! Limits of the platform's clients.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits of the platform's clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest answer.
    pub max_body: size::ByteCount,
    /// Largest record to append.
    pub max_record: size::ByteCount,
    /// Time to establish a connection.
    pub connect_timeout: clock::Millis,
    /// Time for a whole call, including the connection.
    pub call_timeout: clock::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_body: size::ByteCount(8 << 20),
            max_record: size::ByteCount(1 << 20),
            // The kernel repeats a lost connection attempt after 1 s; a limit above that lets one
            // lost packet pass.
            connect_timeout: clock::Millis(1500),
            call_timeout: clock::Millis(5000),
        }
    }
}
