//! `basilctl show`: shows the configuration in force.

use basilgrade_types::revision;
use serde_json::json;

use crate::code;
use crate::command::daemon_client;
use crate::command::platform_log;
use crate::options::daemon::Daemon;
use crate::options::platform::Platform;
use crate::report;

pub(crate) async fn from_log(options: &Platform) -> report::Report {
    match platform_log::read(options).await {
        Ok(stream) => revision_report(stream.revision(), stream.text()),
        Err(report) => report,
    }
}

pub(crate) async fn from_daemon(options: &Daemon) -> report::Report {
    let client = match daemon_client::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.configuration().await {
        Ok(Some(configuration)) => revision_report(configuration.revision, &configuration.text),
        Ok(None) => revision_report(revision::Revision::default(), ""),
        Err(error) => daemon_client::failure(&error, code::ExitCode::Problem),
    }
}

fn revision_report(revision: revision::Revision, text: &str) -> report::Report {
    if revision == revision::Revision::default() {
        return report::Report::failure(
            code::ExitCode::Problem,
            "no configuration is in force; publish one with `basilctl publish`",
        );
    }
    // The revision is printed as a comment, so that the output is a valid configuration file.
    report::Report::success(
        format!("# revision {revision}\n{text}"),
        json!({"revision": revision, "text": text}),
    )
}
