//! Section `[process]`: identity and listen addresses of the daemon.

use std::net;

use basilgrade_types::id;

use crate::reader;
use crate::value;

/// Identity and listen addresses of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Process {
    /// `vm`: the VM that the daemon runs on.
    pub vm: id::VmId,
    /// `domain`: the failure domain of the VM.
    pub domain: id::DomainId,
    /// `caller-address`: the address that accepts callers' requests.
    pub caller_address: net::SocketAddr,
    /// `peer-address`: the address that accepts connections of other daemons; it is also the
    /// address advertised to them.
    pub peer_address: net::SocketAddr,
    /// `admin-address`: the address that accepts connections of `basilctl`.
    pub admin_address: net::SocketAddr,
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> Option<Process> {
    let vm = reader.required("vm", value::parsed);
    let domain = reader.required("domain", value::parsed);
    let caller = reader.required("caller-address", value::address);
    let peer = reader.required("peer-address", value::address);
    let admin = reader.required("admin-address", value::address);
    let addresses = [
        ("peer-address", peer, "caller-address", caller),
        ("admin-address", admin, "caller-address", caller),
        ("admin-address", admin, "peer-address", peer),
    ];
    for (key, address, other_key, other) in addresses {
        if address.is_some() && address == other {
            let found = format!("the address is also `{other_key}`");
            reader.report(key, found, "each address once");
        }
    }
    Some(Process {
        vm: vm?,
        domain: domain?,
        caller_address: caller?,
        peer_address: peer?,
        admin_address: admin?,
    })
}
