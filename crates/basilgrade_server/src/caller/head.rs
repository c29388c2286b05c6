//! The caller's request headers.

use std::str;

use basilgrade_config::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;

use crate::caller::failure;

/// Names the customer.
pub const CUSTOMER: &str = "basilgrade-customer";
/// Time allowed for the request, in milliseconds.
pub const DEADLINE: &str = "basilgrade-deadline-ms";
/// Whether the request may run more than once: `true` or `false`.
pub const IDEMPOTENT: &str = "basilgrade-idempotent";
/// The request key.
pub const KEY: &str = "idempotency-key";
/// Identity of the request in every response.
pub const REQUEST_ID: &str = "basilgrade-request-id";
/// Verdict in every response.
pub const VERDICT: &str = "basilgrade-verdict";

/// How the answer is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// Server-sent events, a token each.
    Stream,
    /// One body.
    Buffered,
}

/// What the headers of a request say.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The customer.
    pub customer: id::CustomerId,
    /// The request key, if there is one.
    pub key: Option<key::RequestKey>,
    /// Time allowed, if stated.
    pub time_limit: Option<clock::Millis>,
    /// The idempotency mark, if stated.
    pub idempotency: Option<stage::Idempotency>,
    /// How the answer is delivered.
    pub delivery: Delivery,
}

fn header_text<'a>(
    headers: &'a hyper::HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, failure::Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let reason = "is given more than once".to_owned();
        return Err(failure::Failure::Invalid(name, reason));
    }
    let invalid = || failure::Failure::Invalid(name, "is not plain ASCII or UTF-8".to_owned());
    str::from_utf8(value.as_bytes())
        .map(|text| Some(text.trim()))
        .map_err(|_| invalid())
}

impl Head {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// [`failure::Failure::Invalid`] names the header and what was expected.
    pub fn parse(headers: &hyper::HeaderMap) -> Result<Self, failure::Failure> {
        let invalid = |name, reason: String| failure::Failure::Invalid(name, reason);
        let customer = header_text(headers, CUSTOMER)?
            .ok_or_else(|| invalid(CUSTOMER, "is missing".to_owned()))?
            .parse()
            .map_err(|error| invalid(CUSTOMER, format!("{error}")))?;
        let key = header_text(headers, KEY)?
            .map(|value| value.trim_matches('"').parse())
            .transpose()
            .map_err(|error| invalid(KEY, format!("{error}")))?;
        let time_limit = header_text(headers, DEADLINE)?
            .map(|value| match value.parse::<u64>() {
                Ok(0) | Err(_) => Err(invalid(
                    DEADLINE,
                    format!("`{value}` is not a whole number of milliseconds above 0"),
                )),
                Ok(millis) => Ok(clock::Millis(millis)),
            })
            .transpose()?;
        let idempotency = header_text(headers, IDEMPOTENT)?
            .map(|value| match value {
                "true" => Ok(stage::Idempotency::Idempotent),
                "false" => Ok(stage::Idempotency::NonIdempotent),
                _ => Err(invalid(
                    IDEMPOTENT,
                    format!("`{value}` is neither `true` nor `false`"),
                )),
            })
            .transpose()?;
        let streams = header_text(headers, "accept")?
            .is_some_and(|value| value.contains("text/event-stream"));
        let delivery = if streams {
            Delivery::Stream
        } else {
            Delivery::Buffered
        };
        Ok(Self {
            customer,
            key,
            time_limit,
            idempotency,
            delivery,
        })
    }
}
