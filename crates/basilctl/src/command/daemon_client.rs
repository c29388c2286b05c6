//! Connections to the admin interface of a daemon.

use std::fs;

use basilgrade_admin::Client;
use basilgrade_admin::client::error;
use basilgrade_config::settings::peers::secret;

use crate::code;
use crate::options::daemon;
use crate::report;

/// Connects to the admin interface of a daemon, with the secret from `daemon.secret_file`.
pub(super) async fn connect(daemon: &daemon::Daemon) -> Result<Client, report::Report> {
    let name = daemon.secret_file.display();
    let text = fs::read_to_string(&daemon.secret_file).map_err(|error| {
        let message = format!("cannot read `{name}`: {error}; check the option `--secret-file`");
        report::Report::failure(code::ExitCode::Problem, message)
    })?;
    let secret = secret::Secret::new(text.trim()).ok_or_else(|| {
        let min_bytes = secret::MIN_BYTES;
        let message =
            format!("the secret in `{name}` is too short; use at least {min_bytes} bytes");
        report::Report::failure(code::ExitCode::Problem, message)
    })?;
    Client::connect(daemon.admin, &secret)
        .await
        .map_err(|error| failure(&error, code::ExitCode::Problem))
}

/// The report of a failed connection or call; `call_failed` is the exit code for a call that failed
/// on an established connection.
pub(super) fn failure(error: &error::ClientError, call_failed: code::ExitCode) -> report::Report {
    let code = match error {
        error::ClientError::Failed(_) => call_failed,
        error::ClientError::Refused(..) | error::ClientError::Unreachable(..) => {
            code::ExitCode::Unreachable
        }
    };
    report::Report::failure(code, error.to_string())
}
