//! Parses sections `[domain NAME]`, which declare failure domains.

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::model::domain;
use crate::parse::headers;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
) -> IndexMap<id::DomainId, domain::Domain> {
    let mut domains = IndexMap::new();
    for section in headers::of_kind(sections, "domain") {
        let mut reader = reader::SectionReader::new(section, source);
        let region = reader.required("region", value::parsed);
        reader.finish();
        if let (Some(id), Some(region)) = (headers::name::<id::DomainId>(section, 0), region) {
            domains.insert(id.clone(), domain::Domain { id, region });
        }
    }
    if headers::of_kind(sections, "domain").next().is_none() {
        let found = "no failure domain is declared";
        source.report(1, "", "", found, "at least one `[domain NAME]`");
    }
    domains
}
