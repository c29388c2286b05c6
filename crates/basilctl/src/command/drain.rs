//! `basilctl drain`

use serde_json::json;

use crate::code;
use crate::command::daemon;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon) -> report::Report {
    let client = match daemon::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.drain().await {
        Ok(()) => report::Report::success(
            format!("`{}` is draining", options.admin),
            json!({"draining": true}),
        ),
        Err(error) => daemon::failure(&error, code::Code::Unknown),
    }
}
