//! Parses sections `[pool NAME]`.

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::limits;
use crate::model::pool;
use crate::parse::headers;
use crate::parse::prices;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
    prices: &prices::Prices,
) -> IndexMap<id::PoolId, pool::Pool> {
    headers::of_kind(sections, "pool")
        .filter_map(|section| read_one(section, source, prices))
        .map(|pool| (pool.id.clone(), pool))
        .collect()
}

fn read_one(
    section: &section::Section,
    source: &mut source::Source,
    prices: &prices::Prices,
) -> Option<pool::Pool> {
    let mut reader = reader::SectionReader::new(section, source);
    let kind = reader.required("kind", value::parsed::<pool::Kind>);
    // Placement orders are sent to engines only, so `fencing` is optional for other kinds.
    let fencing = if kind == Some(pool::Kind::Engine) {
        reader.required("fencing", value::parsed)
    } else {
        let fencing = reader.optional("fencing", value::parsed);
        Some(fencing.unwrap_or(pool::Fencing::Ignored))
    };
    let slots = reader.optional("slots", value::integer(1..=limits::SLOTS));
    if slots.is_some() && kind.is_some_and(|kind| kind != pool::Kind::Engine) {
        let found = "only engines load models";
        reader.report("slots", found, "the key only for a pool of engines");
    }
    let keys = reader.optional("keys", value::parsed);
    let default_price = kind.and_then(|kind| prices.call_price(kind));
    let price = if default_price.is_some() || kind.is_none() {
        reader
            .optional("price", prices::parse_price)
            .or(default_price)
    } else {
        reader.required("price", prices::parse_price)
    };
    reader.finish();
    Some(pool::Pool {
        id: headers::name(section, 0)?,
        kind: kind?,
        fencing: fencing?,
        keys: keys.unwrap_or(pool::RequestKeys::Ignored),
        slots: slots.unwrap_or(1),
        price: price?,
    })
}
