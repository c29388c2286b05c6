//! `basilctl publish`: publishes a configuration file.

use std::path;

use basilgrade_types::revision;

use crate::command::config_file;
use crate::command::platform_log;
use crate::options::platform::Platform;
use crate::publish;
use crate::report;

pub(crate) async fn run(
    options: &Platform,
    base: Option<revision::Revision>,
    path: &path::Path,
) -> report::Report {
    let deployment = match config_file::read(path) {
        Ok(deployment) => deployment,
        Err(report) => return report,
    };
    let log = platform_log::client(options);
    match publish::publish(&log, &deployment, base).await {
        Ok(published) => published.report(),
        Err(error) => error.report(),
    }
}
