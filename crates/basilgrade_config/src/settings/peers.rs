//! Section `[peers]`: the other daemons.

use std::net;

use crate::reader;
use crate::value;

pub mod secret;

/// How to find and to trust other daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peers {
    /// `secret`: known to every daemon and to `basilctl`.
    pub secret: secret::Secret,
    /// `seeds`: peer addresses to ask first; the VM list adds to them. Default: none.
    pub seeds: Vec<net::SocketAddr>,
}

fn seeds(text: &str) -> Result<Vec<net::SocketAddr>, value::Expected> {
    value::list(text)?
        .iter()
        .map(|item| value::address(item))
        .collect()
}

pub(super) fn read(reader: &mut reader::Reader<'_>) -> Option<Peers> {
    let secret = reader.required_secret("secret", secret::read);
    let seeds = reader.optional("seeds", seeds);
    Some(Peers {
        secret: secret?,
        seeds: seeds.unwrap_or_default(),
    })
}
