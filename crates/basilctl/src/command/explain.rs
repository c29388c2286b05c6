//! `basilctl explain`

use basilgrade_types::request;
use serde_json::json;

use crate::code;
use crate::command::daemon;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon, request: request::RequestId) -> report::Report {
    let client = match daemon::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.explain(request).await {
        Ok(Some(lines)) => report::Report::success(
            lines.join("\n"),
            json!({"request": request, "lines": lines}),
        ),
        Ok(None) => report::Report::failure(
            code::Code::Problem,
            format!(
                "`{}` keeps no decisions of request `{request}`; ask the daemon that answered it",
                options.admin
            ),
        ),
        Err(error) => daemon::failure(&error, code::Code::Problem),
    }
}
