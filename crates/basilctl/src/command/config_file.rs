//! Reads configuration files.

use std::fs;
use std::path;

use basilgrade_config as config;
use basilgrade_config::model::deployment;
use serde_json::json;

use crate::code;
use crate::report;

/// Reads, parses and validates the configuration file at `path`.
pub(super) fn read(path: &path::Path) -> Result<deployment::Deployment, report::Report> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot read `{name}`: {error}; check the path");
        report::Report::failure(code::ExitCode::Problem, message)
    })?;
    config::parse(&text, &name).map_err(|problems| report::Report {
        code: code::ExitCode::Problem,
        text: problems.to_string(),
        json: json!({
            "code": code::ExitCode::Problem.number(),
            "error": format!("`{name}` is invalid; correct the listed problems"),
            "problems": problems.items,
            "more": problems.more,
        }),
    })
}
