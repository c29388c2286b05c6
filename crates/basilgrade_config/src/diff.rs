//! Differences between two configurations, in a form for operators.

pub mod change;

use std::fmt;

use compact_str::CompactString;
use indexmap::IndexMap;
use serde::Serialize;

use crate::model::deployment;
use crate::print;
use crate::section;
use crate::source;

/// The sections that differ between two configurations.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Diff {
    /// Changed and removed sections in the order of the old canonical text, then added sections in
    /// the order of the new one.
    pub changes: Vec<change::Change>,
}

impl Diff {
    /// Whether the two configurations are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes
            .iter()
            .try_for_each(|change| write!(f, "{change}"))
    }
}

type Sections = IndexMap<CompactString, IndexMap<CompactString, CompactString>>;

/// Compares two configurations section by section.
pub fn diff(old: &deployment::Deployment, new: &deployment::Deployment) -> Diff {
    let old = sections(old);
    let new = sections(new);
    let none = IndexMap::new();
    let kept = old.iter().filter_map(|(header, keys)| {
        let after = new.get(header);
        let kind = match after {
            Some(_) => change::Kind::Changed,
            None => change::Kind::Removed,
        };
        change::Change::between(header, kind, keys, after.unwrap_or(&none))
    });
    let added = new
        .iter()
        .filter(|(header, _)| !old.contains_key(*header))
        .filter_map(|(header, keys)| {
            change::Change::between(header, change::Kind::Added, &none, keys)
        });
    Diff {
        changes: kept.chain(added).collect(),
    }
}

/// Returns the sections of the canonical text: the keys and values of each section by header.
fn sections(deployment: &deployment::Deployment) -> Sections {
    let source = source::Source::scan(&print::print(deployment), "");
    let pair = |entry: section::Entry| (entry.key, entry.value);
    source
        .sections
        .into_iter()
        .map(|section| {
            let keys = section.entries.into_iter().map(pair).collect();
            (section.header, keys)
        })
        .collect()
}
