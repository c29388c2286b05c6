//! HTTP client of the log service.

use std::net;

use basilgrade_types::offset;
use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use serde::Deserialize;

use crate::error;
use crate::http::failure;
use crate::http::settings;
use crate::http::transport;
use crate::log_service;

#[derive(Deserialize)]
/// The JSON response to an append.
struct AppendResponse {
    offset: offset::Offset,
}

#[derive(Deserialize)]
/// A record in the JSON response to a read.
struct PageRecord {
    offset: offset::Offset,
    body: String,
}

#[derive(Deserialize)]
/// The JSON response to a read.
struct Page {
    first: offset::Offset,
    next: offset::Offset,
    records: Vec<PageRecord>,
}

/// A client that appends to and reads from `/log/{stream}`.
///
/// Reads return records as JSON strings, so only UTF-8 text can be appended.
#[derive(Clone, Debug)]
pub struct HttpLog {
    transport: transport::Transport,
}

impl HttpLog {
    /// Creates a client of the log service at `address`.
    pub fn new(address: net::SocketAddr, settings: settings::Settings) -> Self {
        Self {
            transport: transport::Transport::new(address, settings),
        }
    }

    async fn send(&self, stream: &str, body: Bytes) -> Result<offset::Offset, error::AppendError> {
        let limit = self.transport.settings.max_record;
        if body.len() as u64 > limit.0 {
            let reason = format!(
                "record of `{}` bytes is larger than the limit of `{limit}` bytes",
                body.len()
            );
            return Err(error::AppendError::NotAppended(reason));
        }
        if std::str::from_utf8(&body).is_err() {
            let reason = "record for the log is not UTF-8 text".to_owned();
            return Err(error::AppendError::NotAppended(reason));
        }
        let path = path(stream).map_err(error::AppendError::NotAppended)?;
        let response = self
            .transport
            .send(hyper::Method::POST, &path, body)
            .await?;
        if is_refusal(&response) {
            let reason = format!(
                "request `{path}` was refused with status `{}`",
                response.status
            );
            return Err(error::AppendError::NotAppended(reason));
        }
        if !response.status.is_success() {
            let reason = format!("request `{path}` failed with status `{}`", response.status);
            return Err(error::AppendError::Unknown(reason));
        }
        serde_json::from_slice(&response.body)
            .map(|response: AppendResponse| response.offset)
            .map_err(|error| error::AppendError::Unknown(format!("response to `{path}`: {error}")))
    }

    /// Reads a batch. Halves the number of requested records while the response exceeds the limit.
    async fn fetch(
        &self,
        stream: &str,
        from: offset::Offset,
        mut max: usize,
    ) -> Result<log_service::Batch, error::ReadError> {
        let path = path(stream).map_err(error::ReadError::Unavailable)?;
        loop {
            let target = format!("{path}?from={from}&max={max}");
            let response = self
                .transport
                .send(hyper::Method::GET, &target, Bytes::new())
                .await;
            let response = match response {
                Err(failure::Failure::TooLarge(_)) if max > 1 => {
                    max /= 2;
                    continue;
                }
                response => response?,
            };
            if !response.status.is_success() {
                let reason = format!(
                    "request `{target}` failed with status `{}`",
                    response.status
                );
                return Err(error::ReadError::Unavailable(reason));
            }
            let page: Page = serde_json::from_slice(&response.body)
                .map_err(|error| error::ReadError::Malformed(format!("`{target}`: {error}")))?;
            return validate_page(page, from, max);
        }
    }
}

impl log_service::LogService for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        body: Bytes,
    ) -> future::BoxFuture<'a, Result<offset::Offset, error::AppendError>> {
        self.send(stream, body).boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: offset::Offset,
        max: usize,
    ) -> future::BoxFuture<'a, Result<log_service::Batch, error::ReadError>> {
        self.fetch(stream, from, max).boxed()
    }
}

/// Returns the request path of a stream, or why its name is invalid.
fn path(stream: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if stream.is_empty() || !stream.chars().all(allowed) {
        return Err(format!(
            "`{stream}` is not a valid stream name; use letters, digits, `-`, `_` and `.`"
        ));
    }
    Ok(format!("/log/{stream}"))
}

/// Whether the response guarantees that the platform did not append the record.
///
/// Status `503` alone is no guarantee; it counts only with the verdict `not-run`.
fn is_refusal(response: &transport::Response) -> bool {
    let has_verdict = response
        .headers
        .get("basilgrade-verdict")
        .is_some_and(|verdict| verdict.as_bytes() == b"not-run");
    match response.status {
        hyper::StatusCode::BAD_REQUEST
        | hyper::StatusCode::NOT_FOUND
        | hyper::StatusCode::PAYLOAD_TOO_LARGE
        | hyper::StatusCode::TOO_MANY_REQUESTS => true,
        hyper::StatusCode::SERVICE_UNAVAILABLE => has_verdict,
        _ => false,
    }
}

/// Checks that the page contains the requested records without a gap.
///
/// An undetected gap could hide a grant or a configuration that other daemons act on.
fn validate_page(
    page: Page,
    from: offset::Offset,
    max: usize,
) -> Result<log_service::Batch, error::ReadError> {
    if page.first > from {
        return Err(error::ReadError::Expired(page.first));
    }
    let malformed = |reason: String| Err(error::ReadError::Malformed(reason));
    if page.records.len() > max {
        return malformed(format!(
            "got `{}` log records, expected at most `{max}`",
            page.records.len()
        ));
    }
    let mut next = from;
    let mut records = Vec::with_capacity(page.records.len());
    for record in page.records {
        if record.offset != next {
            return malformed(format!(
                "got log record at offset `{}`, expected offset `{next}`",
                record.offset
            ));
        }
        // The largest offset has no successor.
        let Some(following) = next.0.checked_add(1) else {
            return malformed(format!("log offset `{next}` has no successor"));
        };
        next = offset::Offset(following);
        records.push(log_service::Record {
            offset: record.offset,
            body: record.body.into(),
        });
    }
    if page.next != next {
        return malformed(format!(
            "got next log offset `{}`, expected `{next}`",
            page.next
        ));
    }
    Ok(log_service::Batch {
        first: page.first,
        next,
        records,
    })
}
