//! Headers that bind a response to its call.

use std::net;

use basilgrade_types::attempt;
use basilgrade_types::id;
use basilgrade_types::request;
use hyper::header;

use crate::call;
use crate::call_error;

pub(super) const REQUEST_ID: &str = "basilgrade-request-id";
pub(super) const STAGE: &str = "basilgrade-stage";
pub(super) const ATTEMPT: &str = "basilgrade-attempt";
pub(super) const TIME_LEFT_MS: &str = "basilgrade-time-left-ms";
pub(super) const VERDICT: &str = "basilgrade-verdict";
pub(super) const LEAVING: &str = "basilgrade-leaving";
pub(super) const KEY: &str = "idempotency-key";

/// Headers that are never forwarded, because they concern one connection or the client sets them.
const STRIPPED_HEADERS: [&str; 15] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    REQUEST_ID,
    STAGE,
    ATTEMPT,
];

/// Request, stage and attempt of a call, which bind the response to it.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) request: request::RequestId,
    pub(super) stage: Option<id::StageId>,
    pub(super) attempt: attempt::Attempt,
    pub(super) echo: call::Echo,
}

impl Identity {
    pub(super) fn of(call: &call::Call) -> Self {
        Self {
            request: call.request,
            stage: Some(call.stage.clone()),
            attempt: call.attempt,
            echo: call.echo,
        }
    }

    /// Creates an identity for a control call, such as fetching a load report.
    pub(super) fn control() -> Self {
        Self {
            request: request::RequestId::mint(),
            stage: None,
            attempt: attempt::Attempt(0),
            echo: call::Echo::Optional,
        }
    }

    pub(super) fn write(&self, headers: &mut hyper::HeaderMap) {
        set(headers, REQUEST_ID, &self.request.to_string());
        if let Some(stage) = &self.stage {
            set(headers, STAGE, stage.as_str());
            set(headers, ATTEMPT, &self.attempt.to_string());
        }
    }

    /// Checks the echoed headers of a response. Returns whether the response echoes all of them.
    pub(super) fn check(
        &self,
        address: net::SocketAddr,
        headers: &hyper::HeaderMap,
    ) -> Result<bool, call_error::CallError> {
        let mut complete = echoes(address, headers, REQUEST_ID, &self.request.to_string())?;
        if let Some(stage) = &self.stage {
            complete &= echoes(address, headers, STAGE, stage.as_str())?;
            complete &= echoes(address, headers, ATTEMPT, &self.attempt.to_string())?;
        }
        if !complete && self.echo == call::Echo::Required {
            let missing = [REQUEST_ID, STAGE, ATTEMPT]
                .into_iter()
                .find(|name| !headers.contains_key(*name));
            return Err(call_error::CallError::Mismatch(
                address,
                missing.unwrap_or(REQUEST_ID),
            ));
        }
        Ok(complete)
    }
}

fn echoes(
    address: net::SocketAddr,
    headers: &hyper::HeaderMap,
    name: &'static str,
    expected: &str,
) -> Result<bool, call_error::CallError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(false);
    };
    // Names may contain non-ASCII letters, which header values carry as UTF-8 bytes.
    if value.as_bytes() != expected.as_bytes() || values.next().is_some() {
        return Err(call_error::CallError::Mismatch(address, name));
    }
    Ok(true)
}

/// Sets a header to a text that is known to contain no control characters.
pub(super) fn set(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_bytes(value.as_bytes()) {
        headers.insert(name, value);
    }
}

/// Removes headers that concern one connection or that the client sets.
pub(super) fn strip(headers: &mut hyper::HeaderMap) {
    let listed_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed_headers {
        headers.remove(name.as_str());
    }
    for name in STRIPPED_HEADERS {
        headers.remove(name);
    }
}
