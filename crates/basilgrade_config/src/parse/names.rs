//! Names declared by section headers, collected before the sections are parsed.

use std::collections::BTreeSet;

use crate::parse::headers;
use crate::section;

/// The names declared by section headers.
///
/// A section with an invalid value still declares its name, so that uses of the name are not
/// reported as well.
#[derive(Debug)]
pub(super) struct DeclaredNames<'a> {
    pub(super) domains: BTreeSet<&'a str>,
    pub(super) pipelines: BTreeSet<&'a str>,
    pub(super) pools: BTreeSet<&'a str>,
    pub(super) services: BTreeSet<&'a str>,
}

impl<'a> DeclaredNames<'a> {
    pub(super) fn collect(sections: &'a [section::Section]) -> Self {
        let of = |word| {
            headers::of_kind(sections, word)
                .filter_map(|section| section.names().first().copied())
                .collect()
        };
        Self {
            domains: of("domain"),
            pipelines: of("pipeline"),
            pools: of("pool"),
            services: of("service"),
        }
    }
}
