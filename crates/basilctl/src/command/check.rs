//! `basilctl check`: checks a configuration file.

use std::path;

use serde_json::json;

use crate::command::config_file;
use crate::publish;
use crate::report;

pub(crate) fn run(path: &path::Path) -> report::Report {
    let deployment = match config_file::read(path) {
        Ok(deployment) => deployment,
        Err(report) => return report,
    };
    if let Err(error) = publish::canonical(&deployment) {
        return error.report();
    }
    report::Report::success(
        format!("`{}` is valid", path.display()),
        json!({"name": deployment.name, "problems": []}),
    )
}
