//! `basilctl drain`: drains a daemon.

use serde_json::json;

use crate::code;
use crate::command::daemon_client;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon) -> report::Report {
    let client = match daemon_client::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.drain().await {
        Ok(()) => report::Report::success(
            format!("daemon `{}` is draining", options.admin),
            json!({"draining": true}),
        ),
        Err(error) => daemon_client::failure(&error, code::ExitCode::Unknown),
    }
}
