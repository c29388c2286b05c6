//! Sections `[link REGION REGION]`.

use std::collections::BTreeSet;
use std::collections::HashMap;

use basilgrade_types::id;

use crate::model::deployment;
use crate::model::link;
use crate::parse::headers;
use crate::parse::prices;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
    deployment: &deployment::Deployment,
    prices: &prices::Prices,
) -> Vec<link::Link> {
    let domains = deployment.domains.values();
    let regions: BTreeSet<&id::RegionId> = domains.map(|domain| &domain.region).collect();
    let mut lines: HashMap<(id::RegionId, id::RegionId), usize> = HashMap::new();
    let mut found = Vec::new();
    for section in headers::of(sections, "link") {
        let price = section_price(section, source, prices);
        let (Some(from), Some(to)) = (headers::name(section, 0), headers::name(section, 1)) else {
            continue;
        };
        for region in [&from, &to] {
            check_region(section, source, region, &regions);
        }
        if from == to {
            let found = "both ends are the same region";
            source.report(section.line, &section.header, "", found, "two regions");
            continue;
        }
        let pair = ordered(&from, &to);
        if let Some(first) = lines.get(&pair) {
            let found = format!("the link is already on line {first}");
            let expected = "one section for both directions";
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        lines.insert(pair.clone(), section.line);
        let (from, to) = pair;
        if let Some((price, latency)) = price {
            found.push(link::Link {
                from,
                to,
                price,
                latency,
            });
        }
    }
    report_missing(sections, source, &regions, &lines);
    // The order and direction of links mean nothing, so equal deployments get equal models.
    found.sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
    found
}

fn section_price(
    section: &section::Section,
    source: &mut source::Source,
    prices: &prices::Prices,
) -> Option<(
    basilgrade_types::price::Price,
    basilgrade_types::clock::Millis,
)> {
    let mut reader = reader::Reader::new(section, source);
    let price = match prices.link {
        Some(price) if !reader.has("price") => {
            reader.mark_known("price");
            Some(price)
        }
        _ => reader.required("price", prices::price),
    };
    let latency = reader.required("latency", value::time);
    reader.finish();
    Some((price?, latency?))
}

fn check_region(
    section: &section::Section,
    source: &mut source::Source,
    region: &id::RegionId,
    regions: &BTreeSet<&id::RegionId>,
) {
    if regions.contains(region) {
        return;
    }
    let known = regions.iter().map(|region| region.as_str());
    let expected = source.suggest(region.as_str(), known, "the region of a failure domain");
    let found = format!("no failure domain lies in region `{region}`");
    source.report(section.line, &section.header, "", found, expected);
}

/// Traffic between any two regions is possible, so each pair needs a price.
///
/// A missing link is reported at the first failure domain of the later region.
fn report_missing(
    sections: &[section::Section],
    source: &mut source::Source,
    regions: &BTreeSet<&id::RegionId>,
    lines: &HashMap<(id::RegionId, id::RegionId), usize>,
) {
    let mut domains: HashMap<&str, &section::Section> = HashMap::new();
    for section in headers::of(sections, "domain") {
        if let Some(region) = section.value("region") {
            domains.entry(region).or_insert(section);
        }
    }
    for (index, from) in regions.iter().enumerate() {
        for to in regions.iter().skip(index + 1) {
            if lines.contains_key(&ordered(from, to)) {
                continue;
            }
            let Some(domain) = domains.get(to.as_str()) else {
                continue;
            };
            let found = format!("no link between `{from}` and `{to}` is declared");
            let expected = format!("`[link {from} {to}]` with `price` and `latency`");
            let line = domain.line_of("region");
            source.report(line, &domain.header, "region", found, expected);
        }
    }
}

fn ordered(one: &id::RegionId, other: &id::RegionId) -> (id::RegionId, id::RegionId) {
    if one <= other {
        (one.clone(), other.clone())
    } else {
        (other.clone(), one.clone())
    }
}
