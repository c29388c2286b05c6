//! Declared names, known before the sections are read.

use std::collections::BTreeSet;

use crate::parse::headers;
use crate::section;

/// Names from section headers.
///
/// A section with a faulty value still declares its name, so that one fault is not reported again
/// wherever the name is used.
#[derive(Debug)]
pub(super) struct Names<'a> {
    pub(super) domains: BTreeSet<&'a str>,
    pub(super) pipelines: BTreeSet<&'a str>,
    pub(super) pools: BTreeSet<&'a str>,
    pub(super) services: BTreeSet<&'a str>,
}

impl<'a> Names<'a> {
    pub(super) fn collect(sections: &'a [section::Section]) -> Self {
        let of = |word| {
            headers::of(sections, word)
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
