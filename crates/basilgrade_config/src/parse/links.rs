//! Parses sections `[link REGION REGION]`.

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
    let mut link_lines: HashMap<(id::RegionId, id::RegionId), usize> = HashMap::new();
    let mut links = Vec::new();
    for section in headers::of_kind(sections, "link") {
        let price_and_latency = read_price_and_latency(section, source, prices);
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
        let pair = sorted_pair(&from, &to);
        if let Some(first) = link_lines.get(&pair) {
            let found = format!("the link is already on line {first}");
            let expected = "one section for both directions";
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        link_lines.insert(pair.clone(), section.line);
        let (from, to) = pair;
        if let Some((price, latency)) = price_and_latency {
            links.push(link::Link {
                from,
                to,
                price,
                latency,
            });
        }
    }
    report_missing_links(sections, source, &regions, &link_lines);
    // The order and direction of links in the text have no meaning; sorting them makes equivalent
    // configurations equal.
    links.sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
    links
}

/// Reads the price of 1 MiB and the one-way latency; the price defaults to that of `[prices]`.
fn read_price_and_latency(
    section: &section::Section,
    source: &mut source::Source,
    prices: &prices::Prices,
) -> Option<(
    basilgrade_types::price::Price,
    basilgrade_types::clock::Millis,
)> {
    let mut reader = reader::SectionReader::new(section, source);
    let price = match prices.link {
        Some(price) if !reader.has_key("price") => {
            reader.mark_known("price");
            Some(price)
        }
        _ => reader.required("price", prices::parse_price),
    };
    let latency = reader.required("latency", value::duration);
    reader.finish();
    Some((price?, latency?))
}

/// Reports `region` if no failure domain lies in it.
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

/// Reports pairs of regions without a link; any two regions may exchange traffic, so each pair
/// needs a price.
///
/// The problem is reported at the first failure domain of the region whose name sorts second.
fn report_missing_links(
    sections: &[section::Section],
    source: &mut source::Source,
    regions: &BTreeSet<&id::RegionId>,
    link_lines: &HashMap<(id::RegionId, id::RegionId), usize>,
) {
    let mut domains: HashMap<&str, &section::Section> = HashMap::new();
    for section in headers::of_kind(sections, "domain") {
        if let Some(region) = section.value("region") {
            domains.entry(region).or_insert(section);
        }
    }
    for (index, from) in regions.iter().enumerate() {
        for to in regions.iter().skip(index + 1) {
            if link_lines.contains_key(&sorted_pair(from, to)) {
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

/// Returns the two regions in alphabetical order.
fn sorted_pair(one: &id::RegionId, other: &id::RegionId) -> (id::RegionId, id::RegionId) {
    if one <= other {
        (one.clone(), other.clone())
    } else {
        (other.clone(), one.clone())
    }
}
