//! `basilctl check`

use std::path;

use serde_json::json;

use crate::command::file;
use crate::report::Report;

pub(crate) fn run(path: &path::Path) -> Report {
    match file::read(path) {
        Ok(deployment) => Report::success(
            format!("`{}` is valid", path.display()),
            json!({"name": deployment.name, "problems": []}),
        ),
        Err(report) => report,
    }
}
