//! `basilctl publish`

use std::path;

use basilgrade_types::revision;

use crate::command::file;
use crate::command::platform;
use crate::options::platform::Platform;
use crate::publish;
use crate::report;

pub(crate) async fn run(
    options: &Platform,
    base: Option<revision::Revision>,
    path: &path::Path,
) -> report::Report {
    let deployment = match file::read(path) {
        Ok(deployment) => deployment,
        Err(report) => return report,
    };
    let log = platform::client(options);
    match publish::publish(&log, &deployment, base).await {
        Ok(published) => published.report(),
        Err(error) => error.report(),
    }
}
