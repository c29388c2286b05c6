//! Reaching a daemon.

use std::fs;

use basilgrade_admin::Client;
use basilgrade_admin::client::error::ClientError;
use basilgrade_config::settings::peers::secret;

use crate::code::Code;
use crate::options::daemon::Daemon;
use crate::report::Report;

/// Connects to a daemon.
pub(super) async fn connect(daemon: &Daemon) -> Result<Client, Report> {
    let name = daemon.secret_file.display();
    let text = fs::read_to_string(&daemon.secret_file).map_err(|error| {
        let message = format!("cannot read `{name}`: {error}; check `--secret-file`");
        Report::failure(Code::Problem, message)
    })?;
    let secret = secret::Secret::new(text.trim()).ok_or_else(|| {
        let shortest = secret::SHORTEST;
        let message = format!("the secret in `{name}` is too short; use at least {shortest} bytes");
        Report::failure(Code::Problem, message)
    })?;
    Client::connect(daemon.admin, &secret)
        .await
        .map_err(|error| failure(&error, Code::Problem))
}

/// The report of a failed call; `code` is for calls that reached the daemon.
pub(super) fn failure(error: &ClientError, code: Code) -> Report {
    let code = match error {
        ClientError::Failed(_) => code,
        ClientError::Refused(..) | ClientError::Unreachable(..) => Code::Unreachable,
    };
    Report::failure(code, error.to_string())
}
