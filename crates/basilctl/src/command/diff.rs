//! `basilctl diff`: compares a configuration file with the revision in force.

use std::path;

use basilgrade_config as config;
use basilgrade_config::model::deployment;
use serde_json::json;

use crate::code;
use crate::command::config_file;
use crate::command::platform_log;
use crate::options::platform::Platform;
use crate::report;

pub(crate) async fn run(platform: &Platform, path: &path::Path) -> report::Report {
    compare(platform, path)
        .await
        .unwrap_or_else(|report| report)
}

async fn compare(platform: &Platform, path: &path::Path) -> Result<report::Report, report::Report> {
    let new = config_file::read(path)?;
    let stream = platform_log::read(platform).await?;
    let revision = stream.revision();
    let old = if stream.text().is_empty() {
        deployment::Deployment::default()
    } else {
        let name = format!("revision {revision}");
        config::parse(stream.text(), &name).map_err(|problems| {
            // `basilctl publish` appends only valid configurations, so another tool appended this
            // one.
            report::Report::failure(code::ExitCode::Problem, problems.to_string())
        })?
    };
    let diff = config::diff(&old, &new);
    let text = if diff.is_empty() {
        format!("no difference to revision {revision}")
    } else {
        format!("difference to revision {revision}:\n{diff}")
    };
    let json = json!({"revision": revision, "changes": diff.changes});
    Ok(report::Report::success(text, json))
}
