//! Parses sections `[customer NAME]`.

use basilgrade_types::id;
use basilgrade_types::rate;
use indexmap::IndexMap;

use crate::limits;
use crate::model::customer;
use crate::parse::headers;
use crate::parse::names;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
) -> IndexMap<id::CustomerId, customer::Customer> {
    headers::of_kind(sections, "customer")
        .filter_map(|section| read_one(section, source, names))
        .map(|customer| (customer.id.clone(), customer))
        .collect()
}

fn parse_rate(text: &str) -> Result<rate::RequestRate, value::Expected> {
    let rate: rate::RequestRate = value::parsed(text)?;
    if rate.0 > 0.0 && rate.0 <= limits::RATE_PER_SECOND {
        return Ok(rate);
    }
    Err(format!("a rate above 0 and at most {}/s", limits::RATE_PER_SECOND).into())
}

fn read_one(
    section: &section::Section,
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
) -> Option<customer::Customer> {
    let mut reader = reader::SectionReader::new(section, source);
    let rate = reader.required("rate", parse_rate);
    let burst = reader.required("burst", value::integer(1..=limits::BURST));
    let targets = reader.optional("targets", value::list).unwrap_or_default();
    for (index, target) in targets.iter().enumerate() {
        if targets[..index].contains(target) {
            let found = format!("`{target}` is listed twice");
            reader.report("targets", found, "each target once");
        }
        let name = target.as_str();
        if !names.pipelines.contains(name) && !names.services.contains(name) {
            let known = names.pipelines.iter().chain(&names.services).copied();
            reader.report_undeclared("targets", "pipeline or service", name, known);
        }
    }
    reader.finish();
    Some(customer::Customer {
        id: headers::name(section, 0)?,
        rate: rate?,
        burst: burst?,
        targets,
    })
}
