//! Parses sections `[pipeline NAME]` and the stages of each pipeline.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use basilgrade_types::id;
use indexmap::IndexMap;

use crate::limits;
use crate::model::pipeline;
use crate::model::pool;
use crate::model::stage;
use crate::parse::headers;
use crate::parse::names;
use crate::parse::stages;
use crate::reader;
use crate::section;
use crate::source;
use crate::value;

/// The stages by pipeline name and stage name; `None` stands for a stage with invalid values.
type DeclaredStages<'a> = HashMap<&'a str, IndexMap<&'a str, Option<stage::Stage>>>;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    pools: &IndexMap<id::PoolId, pool::Pool>,
) -> IndexMap<id::PipelineId, pipeline::Pipeline> {
    let mut declared = DeclaredStages::new();
    for section in headers::of_kind(sections, "stage") {
        let stage = stages::read(section, source, names, pools);
        if let [pipeline, name] = section.names()[..] {
            check_pipeline(section, source, pipeline, names);
            declared.entry(pipeline).or_default().insert(name, stage);
        }
    }
    let mut listed = HashSet::new();
    let mut pipelines = IndexMap::new();
    for section in headers::of_kind(sections, "pipeline") {
        if let Some(pipeline) = read_one(section, source, &declared, &mut listed) {
            pipelines.insert(pipeline.id.clone(), pipeline);
        }
    }
    report_unlisted_stages(sections, source, names, &listed);
    pipelines
}

fn read_one<'a>(
    section: &'a section::Section,
    source: &mut source::Source,
    declared: &DeclaredStages<'_>,
    listed: &mut HashSet<(&'a str, String)>,
) -> Option<pipeline::Pipeline> {
    let name = section.names().first().copied()?;
    let none = IndexMap::new();
    let known = declared.get(name).unwrap_or(&none);
    let mut reader = reader::SectionReader::new(section, source);
    let deadline = reader.required("deadline", value::duration);
    let order = reader.required("stages", parse_stage_list);
    let mut stages = Vec::new();
    for stage in order.iter().flatten() {
        if !listed.insert((name, stage.clone())) {
            let found = format!("stage `{stage}` is listed twice");
            reader.report("stages", found, "each stage once");
            continue;
        }
        match known.get(stage.as_str()) {
            Some(found) => stages.extend(found.clone()),
            None => reader.report_undeclared("stages", "stage", stage, known.keys().copied()),
        }
    }
    reader.finish();
    Some(pipeline::Pipeline {
        id: headers::name(section, 0)?,
        deadline: deadline?,
        stages,
    })
}

/// Parses the value of `stages`: a comma-separated list of 1 to [`limits::STAGES`] names.
fn parse_stage_list(text: &str) -> Result<Vec<String>, value::Expected> {
    let items = value::list(text)?;
    if items.is_empty() || items.len() > limits::STAGES {
        let expected = format!(
            "1 to {} stages in order, separated by commas",
            limits::STAGES
        );
        return Err(expected.into());
    }
    Ok(items)
}

/// Reports a stage section whose header names an undeclared pipeline.
fn check_pipeline(
    section: &section::Section,
    source: &mut source::Source,
    pipeline: &str,
    names: &names::DeclaredNames<'_>,
) {
    if names.pipelines.contains(pipeline) {
        return;
    }
    let known = names.pipelines.iter().copied();
    let expected = source.suggest(pipeline, known, "a declared pipeline");
    let found = format!("pipeline `{pipeline}` is not declared");
    source.report(section.line, &section.header, "", found, expected);
}

/// Reports stages that are missing from `stages` of their pipeline and would therefore never run.
fn report_unlisted_stages(
    sections: &[section::Section],
    source: &mut source::Source,
    names: &names::DeclaredNames<'_>,
    listed: &HashSet<(&str, String)>,
) {
    // Pipelines with an invalid `stages` value have already been reported.
    let with_valid_stages: BTreeSet<&str> = listed.iter().map(|(pipeline, _)| *pipeline).collect();
    for section in headers::of_kind(sections, "stage") {
        let [pipeline, name] = section.names()[..] else {
            continue;
        };
        if !names.pipelines.contains(pipeline)
            || !with_valid_stages.contains(pipeline)
            || listed.contains(&(pipeline, name.to_owned()))
        {
            continue;
        }
        let found = format!("pipeline `{pipeline}` does not list the stage");
        let expected = format!("`{name}` in `stages` of [pipeline {pipeline}]");
        source.report(section.line, &section.header, "", found, expected);
    }
}
