//! Reaching the platform.

use basilgrade_platform::error;
use basilgrade_platform::http;

use crate::code::Code;
use crate::options::platform::Platform;
use crate::report::Report;
use crate::stream::Stream;
use crate::stream::error::StreamError;

/// A client of the platform.
pub(super) fn client(platform: &Platform) -> http::HttpLog {
    http::HttpLog::new(platform.platform, http::Settings::default())
}

/// Reads stream `config` up to its end.
pub(super) async fn read(platform: &Platform) -> Result<Stream, Report> {
    let mut stream = Stream::default();
    stream
        .catch_up(&client(platform))
        .await
        .map_err(|error| failure(&error))?;
    Ok(stream)
}

/// The report of a stream that could not be read.
pub(super) fn failure(error: &StreamError) -> Report {
    let code = match error {
        StreamError::Read(error::ReadError::Unavailable(_)) => Code::Unreachable,
        _ => Code::Problem,
    };
    Report::failure(code, error.to_string())
}
