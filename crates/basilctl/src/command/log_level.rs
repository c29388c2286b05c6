//! `basilctl log-level`

use basilgrade_config::settings::log::level;
use serde_json::json;

use crate::code;
use crate::command::daemon;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon, level: level::Level) -> report::Report {
    let client = match daemon::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.set_level(level).await {
        Ok(()) => report::Report::success(
            format!("`{}` logs at level `{level}`", options.admin),
            json!({"level": level}),
        ),
        Err(error) => daemon::failure(&error, code::Code::Unknown),
    }
}
