//! `basilctl explain`: shows the decisions that a daemon made for a request.

use basilgrade_types::request;
use serde_json::json;

use crate::code;
use crate::command::daemon_client;
use crate::options::daemon::Daemon;
use crate::report;

pub(crate) async fn run(options: &Daemon, request: request::RequestId) -> report::Report {
    let client = match daemon_client::connect(options).await {
        Ok(client) => client,
        Err(report) => return report,
    };
    match client.explain(request).await {
        Ok(Some(lines)) => report::Report::success(
            lines.join("\n"),
            json!({"request": request, "lines": lines}),
        ),
        Ok(None) => report::Report::failure(
            code::ExitCode::Problem,
            format!(
                "daemon `{}` has no decisions for request `{request}`; run `basilctl explain` on the daemon that responded to the request",
                options.admin
            ),
        ),
        Err(error) => daemon_client::failure(&error, code::ExitCode::Problem),
    }
}
