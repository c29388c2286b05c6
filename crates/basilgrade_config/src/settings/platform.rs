//! Section `[platform]`: log service, VM list and weight store.

use std::net;

use crate::reader;
use crate::value;

/// Where the platform is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Platform {
    /// `address`: where the platform's HTTP interface listens.
    pub address: net::SocketAddr,
}

pub(super) fn read(reader: &mut reader::Reader<'_>) -> Option<Platform> {
    let address = reader.required("address", value::address);
    Some(Platform { address: address? })
}
