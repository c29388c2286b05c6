//! Checks section headers: known kinds, the right number of valid names, bounded numbers.

use std::collections::HashMap;

use basilgrade_types::id;

use crate::limits;
use crate::section;
use crate::source;

/// A kind of section: its first word, the form of the header, the number of names, the most
/// sections of the kind.
struct Kind {
    word: &'static str,
    form: &'static str,
    names: usize,
    most: usize,
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

const fn kind(word: &'static str, form: &'static str, names: usize, most: usize) -> Kind {
    Kind {
        word,
        form,
        names,
        most,
    }
}

/// Takes the sections out of `source` and returns those with a valid header.
pub(super) fn check(source: &mut source::Source) -> Vec<section::Section> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let mut valid = Vec::with_capacity(source.sections.len());
    for section in std::mem::take(&mut source.sections) {
        let Some(kind) = KINDS.iter().find(|kind| kind.word == section.kind()) else {
            let known = KINDS.iter().map(|kind| kind.word);
            let expected = source.suggest(section.kind(), known, "a known section");
            let found = "the section is not known";
            source.report(section.line, &section.header, "", found, expected);
            continue;
        };
        let names = section.names();
        if names.len() != kind.names {
            let found = format!("the header has {} names", names.len());
            let expected = format!("`{}`", kind.form);
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        // All names follow the same rule, so one id type stands for all.
        if let Some(error) = names
            .iter()
            .find_map(|name| name.parse::<id::PoolId>().err())
        {
            let basilgrade_types::parse::ParseError::Invalid(name, expected) = error;
            let found = format!("`{name}` is not valid");
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        let count = counts.entry(kind.word).or_default();
        *count += 1;
        if *count > kind.most {
            let found = format!("this is section number {count} of its kind");
            let expected = format!("at most {}", kind.most);
            source.report(section.line, &section.header, "", found, expected);
            continue;
        }
        valid.push(section);
    }
    valid
}

/// The sections of one kind.
pub(super) fn of<'a>(
    sections: &'a [section::Section],
    word: &'static str,
) -> impl Iterator<Item = &'a section::Section> {
    sections
        .iter()
        .filter(move |section| section.kind() == word)
}

/// The name at `index` in a checked header.
pub(super) fn name<T>(section: &section::Section, index: usize) -> Option<T>
where
    T: std::str::FromStr<Err = basilgrade_types::parse::ParseError>,
{
    section.names().get(index)?.parse().ok()
}
