//! Section `[drain]`: graceful shutdown.

use basilgrade_types::clock;

use crate::reader;
use crate::value;

/// Settings of the graceful shutdown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Drain {
    /// `linger`: how long requests are still accepted after `/readyz` starts to fail. Default 5 s.
    ///
    /// During this time the load balancer may still send new requests.
    pub linger: clock::Millis,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            linger: clock::Millis::from_secs(5),
        }
    }
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> Drain {
    let range = clock::Millis::ZERO..=clock::Millis::from_secs(600);
    let linger = reader.optional("linger", value::bounded(range));
    Drain {
        linger: linger.unwrap_or(Drain::default().linger),
    }
}
