//! Section `[platform]`: the platform that provides the log service, VM list and weight store.

use std::net;

use crate::reader;
use crate::value;

/// How to reach the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// `address`: the IP address and port of the platform's HTTP interface.
    pub address: net::SocketAddr,
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> Option<Platform> {
    let address = reader.required("address", value::address);
    Some(Platform { address: address? })
}
