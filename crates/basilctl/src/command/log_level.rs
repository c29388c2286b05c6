//! `basilctl log-level`: changes the log level of a daemon.

use basilgrade_config::settings::log::level;
use serde_json::json;

use crate::code;
use crate::command::daemon_client;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon, level: level::Level) -> report::Report {
    let client = match daemon_client::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.set_level(level).await {
        Ok(()) => report::Report::success(
            format!("daemon `{}` logs at level `{level}`", options.admin),
            json!({"level": level}),
        ),
        Err(error) => daemon_client::failure(&error, code::ExitCode::Unknown),
    }
}
