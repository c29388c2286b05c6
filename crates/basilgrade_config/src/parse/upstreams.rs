//! Parses sections `[upstream NAME]`.

use std::collections::HashMap;
use std::net;

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::limits;
use crate::model::upstream;
use crate::parse::headers;
use crate::parse::names;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
) -> IndexMap<id::UpstreamId, upstream::Upstream> {
    let mut addresses = HashMap::new();
    headers::of_kind(sections, "upstream")
        .filter_map(|section| read_one(section, source, names, &mut addresses))
        .map(|upstream| (upstream.id.clone(), upstream))
        .collect()
}

/// Parses one upstream; `addresses` maps the addresses of earlier upstreams to their headers.
fn read_one<'a>(
    section: &'a section::Section,
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    addresses: &mut HashMap<net::SocketAddr, &'a str>,
) -> Option<upstream::Upstream> {
    let mut reader = reader::SectionReader::new(section, source);
    let pool = reader.required("pool", value::parsed::<id::PoolId>);
    reader.check_declared("pool", pool.as_ref().map(id::PoolId::as_str), &names.pools);
    let domain = reader.required("domain", value::parsed::<id::DomainId>);
    let domain_name = domain.as_ref().map(id::DomainId::as_str);
    reader.check_declared("domain", domain_name, &names.domains);
    let address = reader.required("address", value::address);
    if let Some(address) = address {
        if let Some(other) = addresses.get(&address) {
            let found = format!("`{address}` is also the address of [{other}]");
            reader.report("address", found, "each address once");
        } else {
            addresses.insert(address, &section.header);
        }
    }
    let capacity = reader.required("capacity", value::integer(1..=limits::CAPACITY));
    reader.finish();
    Some(upstream::Upstream {
        id: headers::name(section, 0)?,
        pool: pool?,
        domain: domain?,
        address: address?,
        capacity: capacity?,
    })
}
