//! Parses sections `[model NAME]`.

use std::collections::BTreeSet;

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::limits;
use crate::model::placed_model;
use crate::model::pool;
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
) -> IndexMap<id::ModelId, placed_model::PlacedModel> {
    let models = headers::of_kind(sections, "model")
        .filter_map(|section| read_one(section, source, names, pools))
        .map(|model| (model.id.clone(), model))
        .collect();
    check_stage_models(sections, source);
    models
}

fn read_one(
    section: &section::Section,
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    pools: &IndexMap<id::PoolId, pool::Pool>,
) -> Option<placed_model::PlacedModel> {
    let mut reader = reader::SectionReader::new(section, source);
    let pool = reader.required("pool", value::parsed::<id::PoolId>);
    reader.check_declared("pool", pool.as_ref().map(id::PoolId::as_str), &names.pools);
    if let Some(pool) = pool.as_ref().and_then(|pool| pools.get(pool))
        && pool.kind != pool::Kind::Engine
    {
        let found = format!("`{}` is a pool of kind `{}`", pool.id, pool.kind);
        reader.report("pool", found, "a pool of kind `engine`");
    }
    let least = reader.optional("least", value::integer(0..=limits::REPLICAS));
    let id: Option<id::ModelId> = headers::name(section, 0);
    let weights = match reader.optional("version", value::parsed::<id::ModelId>) {
        Some(version) => id.as_ref().and_then(|id| {
            let weights = format!("{id}.{version}").parse().ok();
            if weights.is_none() {
                let found = format!("`{id}.{version}` is longer than {} bytes", id::NAME_LIMIT);
                reader.report("version", found, "a shorter name or version");
            }
            weights
        }),
        None => id.clone(),
    };
    reader.finish();
    Some(placed_model::PlacedModel {
        id: id?,
        pool: pool?,
        weights: weights?,
        least: least.unwrap_or(1),
    })
}

/// Reports stages whose model has no `[model NAME]` section although the pool has placed models.
///
/// The placement planner unloads models without a section from such a pool.
fn check_stage_models(sections: &[section::Section], source: &mut source::Source) {
    // Unparsed values are compared, so that a section with an unrelated error still counts.
    let declared: BTreeSet<(&str, &str)> = headers::of_kind(sections, "model")
        .filter_map(|section| Some((section.value("pool")?, *section.names().first()?)))
        .collect();
    let placed = |pool: &str| declared.iter().any(|(of, _)| *of == pool);
    for section in headers::of_kind(sections, "stage") {
        let model = section.value("model");
        let substitute = section.value("substitute-model").or(model);
        for (key, pool, model) in [
            ("model", section.value("pool"), model),
            ("substitute", section.value("substitute"), substitute),
        ] {
            let (Some(pool), Some(model)) = (pool, model) else {
                continue;
            };
            if !placed(pool) || declared.contains(&(pool, model)) {
                continue;
            }
            let excerpt = source::excerpt(model);
            let found = format!("model `{excerpt}` is not placed in pool `{pool}`");
            let known = declared.iter().filter(|(of, _)| *of == pool);
            let known: Vec<&str> = known.map(|(_, name)| *name).collect();
            let expected = source.suggest(model, known, "a model of the pool");
            let line = section.line_of(key);
            source.report(line, &section.header, key, found, expected);
        }
    }
}
