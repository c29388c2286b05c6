//! Request headers of the caller interface.

use std::str;

use basilgrade_config::model::stage;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::key;

use crate::caller::failure;

/// Header that names the customer.
pub const CUSTOMER: &str = "basilgrade-customer";
/// Header with the time limit of the request, in milliseconds.
pub const DEADLINE: &str = "basilgrade-deadline-ms";
/// Header that states whether the request may run more than once: `true` or `false`.
pub const IDEMPOTENT: &str = "basilgrade-idempotent";
/// Header with the request key.
pub const KEY: &str = "idempotency-key";
/// Response header with the request identifier.
pub const REQUEST_ID: &str = "basilgrade-request-id";
/// Response header with the verdict.
pub const VERDICT: &str = "basilgrade-verdict";

/// How the response is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// Server-sent events, one for each token.
    Stream,
    /// One complete body.
    Buffered,
}

/// The parsed headers of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Customer that sends the request.
    pub customer: id::CustomerId,
    /// Request key, if given.
    pub key: Option<key::RequestKey>,
    /// Time limit of the request, if given.
    pub time_limit: Option<clock::Millis>,
    /// Whether the request may run more than once, if given.
    pub idempotency: Option<stage::Idempotency>,
    /// Delivery that the `accept` header asks for.
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
        let reason = "is given more than once; send it once".to_owned();
        return Err(failure::Failure::Invalid(name, reason));
    }
    let invalid = || failure::Failure::Invalid(name, "is not valid UTF-8".to_owned());
    str::from_utf8(value.as_bytes())
        .map(|text| Some(text.trim()))
        .map_err(|_| invalid())
}

impl Head {
    /// Parses the request headers.
    ///
    /// # Errors
    ///
    /// Returns [`failure::Failure::Invalid`] with the name of the header and the expected value.
    pub fn parse(headers: &hyper::HeaderMap) -> Result<Self, failure::Failure> {
        let invalid = |name, reason: String| failure::Failure::Invalid(name, reason);
        let customer = header_text(headers, CUSTOMER)?
            .ok_or_else(|| invalid(CUSTOMER, "is missing; send a customer name".to_owned()))?
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
                    format!("`{value}` is not a positive integer of milliseconds"),
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
