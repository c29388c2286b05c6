//! Parses sections `[service POOL]`.

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::model::pool;
use crate::model::service;
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
    pools: &IndexMap<id::PoolId, pool::Pool>,
) -> IndexMap<id::PoolId, service::Service> {
    headers::of_kind(sections, "service")
        .filter_map(|section| read_one(section, source, names, pools))
        .map(|service| (service.pool.clone(), service))
        .collect()
}

fn read_one(
    section: &section::Section,
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    pools: &IndexMap<id::PoolId, pool::Pool>,
) -> Option<service::Service> {
    let mut reader = reader::SectionReader::new(section, source);
    let deadline = reader.required("deadline", value::duration);
    let idempotency = reader.required("idempotency", value::parsed);
    reader.finish();
    let pool: id::PoolId = headers::name(section, 0)?;
    check_pool(section, source, names, &pool, pools.get(&pool));
    if names.pipelines.contains(pool.as_str()) {
        // The `targets` of a customer list pipelines and services by name alone.
        let found = format!("`{pool}` is also the name of a pipeline");
        source.report(section.line, &section.header, "", found, "another name");
    }
    Some(service::Service {
        pool,
        deadline: deadline?,
        idempotency: idempotency?,
    })
}

/// Reports a service whose pool is not declared or is not of kind `service`.
fn check_pool(
    section: &section::Section,
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    pool: &id::PoolId,
    declared: Option<&pool::Pool>,
) {
    if !names.pools.contains(pool.as_str()) {
        let known = names.pools.iter().copied();
        let expected = source.suggest(pool.as_str(), known, "a declared pool");
        let found = format!("pool `{pool}` is not declared");
        source.report(section.line, &section.header, "", found, expected);
    }
    if let Some(declared) = declared
        && declared.kind != pool::Kind::Service
    {
        let found = format!("`{pool}` is a pool of kind `{}`", declared.kind);
        let expected = "a pool of kind `service`";
        source.report(section.line, &section.header, "", found, expected);
    }
}
