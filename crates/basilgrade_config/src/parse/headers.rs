//! Validates section headers: a known kind, the right number of valid names, and at most the
//! allowed number of sections of each kind.

use std::collections::HashMap;

use basilgrade_types::id;

use crate::limits;
use crate::section;
use crate::source;

/// A kind of section, such as `[pool NAME]`.
///
/// `keyword` is the first word of the header, `syntax` the whole header as shown in error messages,
/// `name_count` the number of names after the keyword, and `max_sections` the largest number of
/// sections of this kind in one configuration.
struct Kind {
    keyword: &'static str,
    syntax: &'static str,
    name_count: usize,
    max_sections: usize,
}

const KINDS: [Kind; 12] = [
    kind("customer", "[customer NAME]", 1, limits::CUSTOMERS),
    kind("deployment", "[deployment]", 0, 1),
    kind("domain", "[domain NAME]", 1, limits::DOMAINS),
    kind("link", "[link REGION REGION]", 2, limits::LINKS),
    kind("model", "[model NAME]", 1, limits::MODELS),
    kind("pipeline", "[pipeline NAME]", 1, limits::PIPELINES),
    kind("pool", "[pool NAME]", 1, limits::POOLS),
    kind("prices", "[prices]", 0, 1),
    kind("service", "[service POOL]", 1, limits::SERVICES),
    kind(
        "stage",
        "[stage PIPELINE NAME]",
        2,
        limits::PIPELINES * limits::STAGES,
    ),
    kind("upstream", "[upstream NAME]", 1, limits::UPSTREAMS),
    kind("weights", "[weights]", 0, 1),
];

const fn kind(
    keyword: &'static str,
    syntax: &'static str,
    name_count: usize,
    max_sections: usize,
) -> Kind {
    Kind {
        keyword,
        syntax,
        name_count,
        max_sections,
    }
}

/// Moves the sections out of `source`, returns those with a valid header and reports the others.
pub(super) fn check(source: &mut source::Source) -> Vec<section::Section> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let mut valid = Vec::with_capacity(source.sections.len());
    for section in std::mem::take(&mut source.sections) {
        let Some(kind) = KINDS.iter().find(|kind| kind.keyword == section.kind()) else {
            let known = KINDS.iter().map(|kind| kind.keyword);
            let expected = source.suggest(section.kind(), known, "a known section");
            let found = "the section is not known";
            source.report(section.line, &section.header, "", found, expected);
            continue;
        };
        let names = section.names();
        if names.len() != kind.name_count {
            let found = format!("the header has {} names", names.len());
            let expected = format!("`{}`", kind.syntax);
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        // All names follow the same syntax, so `PoolId` can validate names of every kind.
        if let Some(error) = names
            .iter()
            .find_map(|name| name.parse::<id::PoolId>().err())
        {
            let basilgrade_types::parse::ParseError::Invalid(name, expected) = error;
            let found = format!("`{name}` is not valid");
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        let count = counts.entry(kind.keyword).or_default();
        *count += 1;
        if *count > kind.max_sections {
            let found = format!("this is section number {count} of its kind");
            let expected = format!("at most {}", kind.max_sections);
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        valid.push(section);
    }
    valid
}

/// Returns the sections whose header starts with `keyword`.
pub(super) fn of_kind<'a>(
    sections: &'a [section::Section],
    keyword: &'static str,
) -> impl Iterator<Item = &'a section::Section> {
    sections
        .iter()
        .filter(move |section| section.kind() == keyword)
}

/// Parses the name at `index` in the header, counting from 0 after the keyword.
///
/// Headers are validated by [`check`], so `None` means that `index` is out of range.
pub(super) fn name<T>(section: &section::Section, index: usize) -> Option<T>
where
    T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>,
{
    section.names().get(index)?.parse().ok()
}
