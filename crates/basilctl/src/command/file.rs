//! Reading configuration files.

use std::fs;
use std::path;

use basilgrade_config as config;
use basilgrade_config::model::deployment;
use serde_json::json;

use crate::code;
use crate::report;

/// Reads and checks a configuration.
pub(super) fn read(file: &path::Path) -> Result<deployment::Deployment, report::Report> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|error| {
        let message = format!("cannot read `{name}`: {error}; check the path");
        report::Report::failure(code::Code::Problem, message)
    })?;
    config::parse(&text, &name).map_err(|problems| report::Report {
        code: code::Code::Problem,
        text: problems.to_string(),
        json: json!({
            "code": code::Code::Problem.number(),
            "error": format!("`{name}` has faults"),
            "problems": problems.items,
            "more": problems.more,
        }),
    })
}
