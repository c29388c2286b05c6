//! The log service over HTTP.

use std::net;

use basilgrade_types::offset;
use bytes::Bytes;
use futures::FutureExt;
use futures::future;
use serde::Deserialize;

use crate::error;
use crate::http::call_error;
use crate::http::settings;
use crate::http::transport;
use crate::log_service;

#[derive(Deserialize)]
struct Appended {
    offset: offset::Offset,
}

#[derive(Deserialize)]
struct Entry {
    offset: offset::Offset,
    body: String,
}

#[derive(Deserialize)]
struct Page {
    first: offset::Offset,
    next: offset::Offset,
    records: Vec<Entry>,
}

/// Appends to and reads from `/log/{stream}`. Records are text.
#[derive(Clone, Debug)]
pub struct HttpLog {
    transport: transport::Transport,
}

impl HttpLog {
    /// A client of the platform at this address.
    pub fn new(address: net::SocketAddr, settings: settings::Settings) -> Self {
        Self {
            transport: transport::Transport::new(address, settings),
        }
    }

    async fn send(&self, stream: &str, body: Bytes) -> Result<offset::Offset, error::AppendError> {
        let limit = self.transport.settings.max_record;
        if body.len() as u64 > limit.0 {
            let reason = format!("record of {} bytes is larger than {limit}", body.len());
            return Err(error::AppendError::NotAppended(reason));
        }
        if std::str::from_utf8(&body).is_err() {
            let reason = "record is not UTF-8 text".to_owned();
            return Err(error::AppendError::NotAppended(reason));
        }
        let path = path(stream).map_err(error::AppendError::NotAppended)?;
        let answer = self
            .transport
            .send(hyper::Method::POST, &path, body)
            .await?;
        if is_refusal(&answer) {
            let reason = format!("`{path}` was refused with status {}", answer.status);
            return Err(error::AppendError::NotAppended(reason));
        }
        if !answer.status.is_success() {
            let reason = format!("`{path}` was answered with status {}", answer.status);
            return Err(error::AppendError::Unknown(reason));
        }
        serde_json::from_slice(&answer.body)
            .map(|appended: Appended| appended.offset)
            .map_err(|error| error::AppendError::Unknown(format!("`{path}`: {error}")))
    }

    /// Reads a batch, with fewer records if they exceed the largest answer.
    async fn fetch(
        &self,
        stream: &str,
        from: offset::Offset,
        mut max: usize,
    ) -> Result<log_service::Batch, error::ReadError> {
        let path = path(stream).map_err(error::ReadError::Unavailable)?;
        loop {
            let target = format!("{path}?from={from}&max={max}");
            let answer = self
                .transport
                .send(hyper::Method::GET, &target, Bytes::new())
                .await;
            let answer = match answer {
                Err(call_error::CallError::TooLarge(_)) if max > 1 => {
                    max /= 2;
                    continue;
                }
                answer => answer?,
            };
            if !answer.status.is_success() {
                let reason = format!("`{target}` was answered with status {}", answer.status);
                return Err(error::ReadError::Unavailable(reason));
            }
            let page: Page = serde_json::from_slice(&answer.body)
                .map_err(|error| error::ReadError::Malformed(format!("`{target}`: {error}")))?;
            return check(page, from, max);
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

fn path(stream: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if stream.is_empty() || !stream.chars().all(allowed) {
        return Err(format!(
            "`{stream}` is not a stream; use letters, digits, `-`, `_` and `.`"
        ));
    }
    Ok(format!("/log/{stream}"))
}

/// Whether the platform states that it did not append the record.
fn is_refusal(answer: &transport::Answer) -> bool {
    let stated = answer
        .headers
        .get("basilgrade-verdict")
        .is_some_and(|verdict| verdict.as_bytes() == b"not-run");
    match answer.status {
        hyper::StatusCode::BAD_REQUEST
        | hyper::StatusCode::NOT_FOUND
        | hyper::StatusCode::PAYLOAD_TOO_LARGE
        | hyper::StatusCode::TOO_MANY_REQUESTS => true,
        hyper::StatusCode::SERVICE_UNAVAILABLE => stated,
        _ => false,
    }
}

/// Checks that the records are those asked for, without a gap.
///
/// A record that is skipped unnoticed could be a grant or a configuration that others follow.
fn check(
    page: Page,
    from: offset::Offset,
    max: usize,
) -> Result<log_service::Batch, error::ReadError> {
    if page.first > from {
        return Err(error::ReadError::Expired(page.first));
    }
    let malformed = |reason: String| Err(error::ReadError::Malformed(reason));
    if page.records.len() > max {
        return malformed(format!("{} records instead of {max}", page.records.len()));
    }
    let mut next = from;
    let mut records = Vec::with_capacity(page.records.len());
    for entry in page.records {
        if entry.offset != next {
            return malformed(format!("offset {} instead of {next}", entry.offset));
        }
        // At the largest offset there is no next one.
        let Some(following) = next.0.checked_add(1) else {
            return malformed(format!("offset {next} is out of range"));
        };
        next = offset::Offset(following);
        records.push(log_service::Record {
            offset: entry.offset,
            body: entry.body.into(),
        });
    }
    if page.next != next {
        return malformed(format!("next offset {} instead of {next}", page.next));
    }
    Ok(log_service::Batch {
        first: page.first,
        next,
        records,
    })
}
