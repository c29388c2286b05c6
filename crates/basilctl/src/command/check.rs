//! `basilctl check`: checks a configuration file.

use std::path;

use serde_json::json;

use crate::code;
use crate::command::check_platform;
use crate::command::config_file;
use crate::options::platform_check::PlatformCheck;
use crate::publish;
use crate::report;

/// Checks a configuration of the platform if the file is called `*.json`, or else one in INI.
pub(crate) fn run(options: &PlatformCheck, path: &path::Path) -> report::Report {
    let extension = path.extension();
    if extension.is_some_and(|extension| extension.eq_ignore_ascii_case("json")) {
        return check_platform::run(options, path);
    }
    if options.regions.is_some() || options.against.is_some() {
        return report::Report::failure(
            code::ExitCode::Usage,
            "`--regions` and `--against` need a JSON file; use `basilctl diff` for INI",
        );
    }
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
