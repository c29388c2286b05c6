//! Sections `[pipeline NAME]`.

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

type Declared<'a> = HashMap<&'a str, IndexMap<&'a str, Option<stage::Stage>>>;

pub(super) fn read(
    sections: &[section::Section],
    source: &mut source::Source,
    names: &names::Names<'_>,
    pools: &IndexMap<id::PoolId, pool::Pool>,
) -> IndexMap<id::PipelineId, pipeline::Pipeline> {
    let mut declared = Declared::new();
    for section in headers::of(sections, "stage") {
        let stage = stages::read(section, source, names, pools);
        if let [pipeline, name] = section.names()[..] {
            check_pipeline(section, source, pipeline, names);
            declared.entry(pipeline).or_default().insert(name, stage);
        }
    }
    let mut listed = HashSet::new();
    let mut pipelines = IndexMap::new();
    for section in headers::of(sections, "pipeline") {
        if let Some(pipeline) = read_one(section, source, &declared, &mut listed) {
            pipelines.insert(pipeline.id.clone(), pipeline);
        }
    }
    report_unlisted(sections, source, names, &listed);
    pipelines
}

fn read_one<'a>(
    section: &'a section::Section,
    source: &mut source::Source,
    declared: &Declared<'_>,
    listed: &mut HashSet<(&'a str, String)>,
) -> Option<pipeline::Pipeline> {
    let name = section.names().first().copied()?;
    let none = IndexMap::new();
    let known = declared.get(name).unwrap_or(&none);
    let mut reader = reader::Reader::new(section, source);
    let deadline = reader.required("deadline", value::time);
    let order = reader.required("stages", stage_list);
    let mut stages = Vec::new();
    for stage in order.iter().flatten() {
        if !listed.insert((name, stage.clone())) {
            let found = format!("stage `{stage}` is listed twice");
            reader.report("stages", found, "each stage once");
            continue;
        }
        match known.get(stage.as_str()) {
            Some(found) => stages.extend(found.clone()),
            None => reader.report_unknown("stages", "stage", stage, known.keys().copied()),
        }
    }
    reader.finish();
    Some(pipeline::Pipeline {
        id: headers::name(section, 0)?,
        deadline: deadline?,
        stages,
    })
}

fn stage_list(text: &str) -> Result<Vec<String>, value::Expected> {
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

fn check_pipeline(
    section: &section::Section,
    source: &mut source::Source,
    pipeline: &str,
    names: &names::Names<'_>,
) {
    if names.pipelines.contains(pipeline) {
        return;
    }
    let known = names.pipelines.iter().copied();
    let expected = source.suggest(pipeline, known, "a declared pipeline");
    let found = format!("pipeline `{pipeline}` is not declared");
    source.report(section.line, &section.header, "", found, expected);
}

/// A stage that its pipeline does not list would never run.
fn report_unlisted(
    sections: &[section::Section],
    source: &mut source::Source,
    names: &names::Names<'_>,
    listed: &HashSet<(&str, String)>,
) {
    // A pipeline whose list cannot be read has been reported already.
    let readable: BTreeSet<&str> = listed.iter().map(|(pipeline, _)| *pipeline).collect();
    for section in headers::of(sections, "stage") {
        let [pipeline, name] = section.names()[..] else {
            continue;
        };
        if !names.pipelines.contains(pipeline)
            || !readable.contains(pipeline)
            || listed.contains(&(pipeline, name.to_owned()))
        {
            continue;
        }
        let found = format!("pipeline `{pipeline}` does not list the stage");
        let expected = format!("`{name}` in `stages` of [pipeline {pipeline}]");
        source.report(section.line, &section.header, "", found, expected);
    }
}
