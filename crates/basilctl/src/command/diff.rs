//! `basilctl diff`

use std::path;

use basilgrade_config as config;
use basilgrade_config::model::deployment;
use serde_json::json;

use crate::code;
use crate::command::file;
use crate::command::platform;
use crate::options::platform::Platform;
use crate::report;

pub(crate) async fn run(platform: &Platform, path: &path::Path) -> report::Report {
    compare(platform, path)
        .await
        .unwrap_or_else(|report| report)
}

async fn compare(platform: &Platform, path: &path::Path) -> Result<report::Report, report::Report> {
    let new = file::read(path)?;
    let stream = platform::read(platform).await?;
    let revision = stream.revision();
    let old = if stream.text().is_empty() {
        deployment::Deployment::default()
    } else {
        let name = format!("revision {revision}");
        config::parse(stream.text(), &name).map_err(|problems| {
            // Only a text that was not appended by `basilctl publish` gets here.
            report::Report::failure(code::Code::Problem, problems.to_string())
        })?
    };
    let found = config::diff(&old, &new);
    let text = if found.is_empty() {
        format!("no difference to revision {revision}")
    } else {
        format!("difference to revision {revision}:\n{found}")
    };
    let json = json!({"revision": revision, "changes": found.changes});
    Ok(report::Report::success(text, json))
}
