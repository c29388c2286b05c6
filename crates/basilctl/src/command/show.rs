//! `basilctl show`

use basilgrade_types::revision;
use serde_json::json;

use crate::code;
use crate::command::daemon;
use crate::command::platform;
use crate::options::daemon::Daemon;
use crate::options::platform::Platform;
use crate::report;

pub(crate) async fn from_log(options: &Platform) -> report::Report {
    match platform::read(options).await {
        Ok(stream) => show(stream.revision(), stream.text()),
        Err(report) => report,
    }
}

pub(crate) async fn from_daemon(options: &Daemon) -> report::Report {
    let client = match daemon::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.configuration().await {
        Ok(Some(found)) => show(found.revision, &found.text),
        Ok(None) => show(revision::Revision::default(), ""),
        Err(error) => daemon::failure(&error, code::Code::Problem),
    }
}

fn show(revision: revision::Revision, text: &str) -> report::Report {
    if revision == revision::Revision::default() {
        return report::Report::failure(
            code::Code::Problem,
            "no configuration is in force; publish one with `basilctl publish`",
        );
    }
    // The first line is a comment, so that the output is a configuration again.
    report::Report::success(
        format!("# revision {revision}\n{text}"),
        json!({"revision": revision, "text": text}),
    )
}
