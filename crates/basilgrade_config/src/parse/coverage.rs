//! Checks that each pool used by a stage or service has an upstream.

use std::collections::HashSet;

use crate::parse::headers;
use crate::section;
use crate::source;

/// Reports stages and services whose pool has no upstream: their requests could never be served.
pub(super) fn check(sections: &[section::Section], source: &mut source::Source) {
    // Unparsed values are compared, so that an upstream with an unrelated error still counts.
    let pools_with_upstreams: HashSet<&str> = headers::of_kind(sections, "upstream")
        .filter_map(|section| section.value("pool"))
        .collect();
    let declared: HashSet<&str> = headers::of_kind(sections, "pool")
        .filter_map(|section| section.names().first().copied())
        .collect();
    let mut check = |section: &section::Section, key: &str, pool: &str| {
        if declared.contains(pool) && !pools_with_upstreams.contains(pool) {
            let found = format!("pool `{pool}` has no upstream");
            let expected = format!("at least one `[upstream NAME]` with `pool = {pool}`");
            let line = section.line_of(key);
            source.report(line, &section.header, key, found, expected);
        }
    };
    for section in headers::of_kind(sections, "stage") {
        for key in ["pool", "substitute"] {
            if let Some(pool) = section.value(key) {
                check(section, key, pool);
            }
        }
    }
    for section in headers::of_kind(sections, "service") {
        if let Some(pool) = section.names().first() {
            check(section, "", pool);
        }
    }
}
