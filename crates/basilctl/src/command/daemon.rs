//! Reaching a daemon.

use std::fs;

use basilgrade_admin::Client;
use basilgrade_admin::client::error;
use basilgrade_config::settings::peers::secret;

use crate::code;
use crate::options::daemon;
use crate::report;

/// Connects to a daemon.
pub(super) async fn connect(daemon: &daemon::Daemon) -> Result<Client, report::Report> {
    let name = daemon.secret_file.display();
    let text = fs::read_to_string(&daemon.secret_file).map_err(|error| {
        let message = format!("cannot read `{name}`: {error}; check `--secret-file`");
        report::Report::failure(code::Code::Problem, message)
    })?;
    let secret = secret::Secret::new(text.trim()).ok_or_else(|| {
        let shortest = secret::MIN_BYTES;
        let message = format!("the secret in `{name}` is too short; use at least {shortest} bytes");
        report::Report::failure(code::Code::Problem, message)
    })?;
    Client::connect(daemon.admin, &secret)
        .await
        .map_err(|error| failure(&error, code::Code::Problem))
}

/// The report of a failed call; `code` is for calls that reached the daemon.
pub(super) fn failure(error: &error::ClientError, code: code::Code) -> report::Report {
    let code = match error {
        error::ClientError::Failed(_) => code,
        error::ClientError::Refused(..) | error::ClientError::Unreachable(..) => {
            code::Code::Unreachable
        }
    };
    report::Report::failure(code, error.to_string())
}
