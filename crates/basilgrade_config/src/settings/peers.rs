//! Section `[peers]`: discovery and authentication of other daemons.

use std::net;

use crate::reader;
use crate::value;

pub mod secret;

/// How a daemon discovers and authenticates other daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peers {
    /// `secret`: the secret shared by all daemons and `basilctl`.
    pub secret: secret::Secret,
    /// `seeds`: peer addresses to contact first, in addition to those on the platform's VM list.
    /// Default: none.
    pub seeds: Vec<net::SocketAddr>,
}

fn parse_seeds(text: &str) -> Result<Vec<net::SocketAddr>, value::Expected> {
    value::list(text)?
        .iter()
        .map(|item| value::address(item))
        .collect()
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> Option<Peers> {
    let secret = reader.required_secret("secret", secret::read);
    let seeds = reader.optional("seeds", parse_seeds);
    Some(Peers {
        secret: secret?,
        seeds: seeds.unwrap_or_default(),
    })
}
