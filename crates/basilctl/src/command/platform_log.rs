//! Access to stream `config` in the log service of the platform.

use basilgrade_platform::error;
use basilgrade_platform::http;

use crate::code;
use crate::options::platform;
use crate::report;
use crate::stream;
use crate::stream::error::StreamError;

/// Creates a client of the log service of the platform.
pub(super) fn client(platform: &platform::Platform) -> http::HttpLog {
    http::HttpLog::new(platform.platform, http::Settings::default())
}

/// Reads log stream `config` up to its end.
pub(super) async fn read(platform: &platform::Platform) -> Result<stream::Stream, report::Report> {
    let mut stream = stream::Stream::default();
    stream
        .catch_up(&client(platform))
        .await
        .map_err(|error| failure(&error))?;
    Ok(stream)
}

/// The report of a failed attempt to read log stream `config`.
pub(super) fn failure(error: &StreamError) -> report::Report {
    let code = match error {
        StreamError::Read(error::ReadError::Unavailable(_)) => code::ExitCode::Unreachable,
        _ => code::ExitCode::Problem,
    };
    report::Report::failure(code, error.to_string())
}
