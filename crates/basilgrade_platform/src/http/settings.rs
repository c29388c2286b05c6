//! Limits of the platform's clients.

use basilgrade_types::clock;
use basilgrade_types::size;

/// Limits of the platform's clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Largest answer.
    pub body: size::ByteCount,
    /// Largest record to append.
    pub record: size::ByteCount,
    /// Time to establish a connection.
    pub connect: clock::Millis,
    /// Time for a whole call, including the connection.
    pub call: clock::Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            body: size::ByteCount(8 << 20),
            record: size::ByteCount(1 << 20),
            // The kernel repeats a lost connection attempt after 1 s; a limit above that lets one
            // lost packet pass.
            connect: clock::Millis(1500),
            call: clock::Millis(5000),
        }
    }
}
