//! Parses sections `[stage PIPELINE NAME]`.

use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;

use crate::limits;
use crate::model::pool;
use crate::model::stage;
use crate::parse::headers;
use crate::parse::names;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

/// Parses one stage; `None` if a required value is missing or invalid.
pub(super) fn read(
    section: &section::Section,
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    pools: &IndexMap<id::PoolId, pool::Pool>,
) -> Option<stage::Stage> {
    let mut reader = reader::SectionReader::new(section, source);
    let pool = reader.required("pool", value::parsed::<id::PoolId>);
    reader.check_declared("pool", pool.as_ref().map(id::PoolId::as_str), &names.pools);
    let declared = pool.as_ref().and_then(|pool| pools.get(pool));
    let model = reader.optional("model", value::parsed);
    let max_tokens = size::TokenCount(limits::TOKENS);
    let tokens = reader.optional("tokens", value::bounded(size::TokenCount(1)..=max_tokens));
    check_engine_keys(&mut reader, declared);
    let idempotency = reader.required("idempotency", value::parsed);
    let degrade = read_degrade(&mut reader, names, pools, declared, tokens);
    reader.finish();
    Some(stage::Stage {
        id: headers::name(section, 1)?,
        pool: pool?,
        model,
        tokens: tokens.unwrap_or_default(),
        idempotency: idempotency?,
        degrade,
    })
}

/// Requires `model` and `tokens` for a pool of engines and rejects both keys for other pools,
/// which would ignore them.
fn check_engine_keys(reader: &mut reader::SectionReader<'_>, pool: Option<&pool::Pool>) {
    let Some(pool) = pool else {
        return;
    };
    for (key, what) in [
        ("model", "the name of a model"),
        ("tokens", "a whole number of tokens"),
    ] {
        match (pool.kind == pool::Kind::Engine, reader.has_key(key)) {
            (true, false) => {
                let found = format!("the key is missing, but `{}` is a pool of engines", pool.id);
                reader.report(key, found, what);
            }
            (false, true) => {
                let found = format!("`{}` is a pool of kind `{}`", pool.id, pool.kind);
                reader.report(key, found, "the key only for a pool of engines");
            }
            _ => {}
        }
    }
}

/// Reads how the stage may be degraded; reports combinations of keys that are not allowed.
fn read_degrade(
    reader: &mut reader::SectionReader<'_>,
    names: &names::DeclaredNames<'_>,
    pools: &IndexMap<id::PoolId, pool::Pool>,
    pool: Option<&pool::Pool>,
    tokens: Option<size::TokenCount>,
) -> stage::Degrade {
    let skip = reader.optional("skip", value::boolean);
    let max_tokens = size::TokenCount(limits::TOKENS);
    let shorten = reader.optional("shorten", value::bounded(size::TokenCount(1)..=max_tokens));
    let substitute = reader.optional("substitute", value::parsed::<id::PoolId>);
    let model = reader.optional("substitute-model", value::parsed);
    if reader.has_key("substitute-model") {
        check_substitute_model(reader, pool);
    }
    let given: Vec<&str> = ["skip", "shorten", "substitute"]
        .into_iter()
        .filter(|key| reader.has_key(key))
        .collect();
    if given.len() > 1 {
        let found = format!("`{}` is given as well", given[0]);
        reader.report(given[1], found, "one of `skip`, `shorten` and `substitute`");
    }
    if let (Some(shorten), Some(tokens)) = (shorten, tokens)
        && shorten >= tokens
    {
        let found = format!("`{shorten}` does not shorten {tokens} tokens");
        reader.report("shorten", found, "less than `tokens`");
    }
    if shorten.is_some() && pool.is_some_and(|pool| pool.kind != pool::Kind::Engine) {
        let found = "the stage generates no tokens";
        reader.report("shorten", found, "the key only for a pool of engines");
    }
    if let Some(substitute) = &substitute {
        reader.check_declared("substitute", Some(substitute.as_str()), &names.pools);
        check_substitute(reader, pool, pools.get(substitute));
    }
    match (skip, shorten, substitute) {
        (Some(true), ..) => stage::Degrade::Skip,
        (_, Some(shorten), _) => stage::Degrade::Shorten(shorten),
        (.., Some(substitute)) => stage::Degrade::Substitute {
            pool: substitute,
            model,
        },
        _ => stage::Degrade::Never,
    }
}

/// Reports `substitute-model` without `substitute` or for a pool that is not a pool of engines.
fn check_substitute_model(reader: &mut reader::SectionReader<'_>, pool: Option<&pool::Pool>) {
    if !reader.has_key("substitute") {
        let found = "`substitute` is missing";
        reader.report(
            "substitute-model",
            found,
            "the key only beside `substitute`",
        );
    } else if pool.is_some_and(|pool| pool.kind != pool::Kind::Engine) {
        let found = "only engines serve models";
        reader.report(
            "substitute-model",
            found,
            "the key only for a pool of engines",
        );
    }
}

/// Reports a substitute that is the pool of the stage or a pool of another kind.
fn check_substitute(
    reader: &mut reader::SectionReader<'_>,
    pool: Option<&pool::Pool>,
    substitute: Option<&pool::Pool>,
) {
    let (Some(pool), Some(substitute)) = (pool, substitute) else {
        return;
    };
    if pool.id == substitute.id {
        let found = "the substitute is the pool itself";
        reader.report("substitute", found, "another pool");
    } else if pool.kind != substitute.kind {
        let found = format!("`{}` is of kind `{}`", substitute.id, substitute.kind);
        let expected = format!("a pool of kind `{}`", pool.kind);
        reader.report("substitute", found, expected);
    }
}
