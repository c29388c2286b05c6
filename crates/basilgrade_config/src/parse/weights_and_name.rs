//! Parses sections `[deployment]` and `[weights]`.

use compact_str::CompactString;

use crate::model::deployment;
use crate::model::weights;
use crate::parse::headers;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

fn parse_name(text: &str) -> Result<CompactString, value::Expected> {
    // The name of a deployment follows the same syntax as other names, which `PoolId` validates.
    value::parsed::<basilgrade_types::id::PoolId>(text).map(|id| CompactString::new(id.as_str()))
}

/// Returns a deployment of which only the name and the weights are set.
pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
) -> deployment::Deployment {
    let mut deployment = deployment::Deployment::default();
    if let Some(section) = headers::of_kind(sections, "deployment").next() {
        let mut reader = reader::SectionReader::new(section, source);
        deployment.name = reader.required("name", parse_name).unwrap_or_default();
        reader.finish();
    } else {
        let found = "the section is missing";
        source.report(1, "deployment", "", found, "`[deployment]` with `name`");
    }
    if let Some(section) = headers::of_kind(sections, "weights").next() {
        let mut reader = reader::SectionReader::new(section, source);
        let default = weights::ObjectiveWeights::default();
        let attainment = reader.optional("attainment", value::weight);
        let cost = reader.optional("cost", value::weight);
        deployment.weights = weights::ObjectiveWeights {
            attainment: attainment.unwrap_or(default.attainment),
            cost: cost.unwrap_or(default.cost),
        };
        if deployment.weights.attainment + deployment.weights.cost <= 0.0 {
            reader.report("cost", "both weights are 0", "one weight above 0");
        }
        reader.finish();
    }
    deployment
}
