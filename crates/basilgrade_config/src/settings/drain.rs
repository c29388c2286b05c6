//! Section `[drain]`: shutdown.

use basilgrade_types::clock;

use crate::reader;
use crate::value;

/// Shutdown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drain {
    /// `linger`: how long requests are still accepted after `/readyz` fails. Default 5 s.
    ///
    /// It covers the time in which the balancer still sends new requests.
    pub linger: clock::Millis,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            linger: clock::Millis::from_secs(5),
        }
    }
}

pub(super) fn read(reader: &mut reader::Reader<'_>) -> Drain {
    let range = clock::Millis::ZERO..=clock::Millis::from_secs(600);
    let linger = reader.optional("linger", value::bounded(range));
    Drain {
        linger: linger.unwrap_or(Drain::default().linger),
    }
}
