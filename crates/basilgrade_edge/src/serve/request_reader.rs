//! Reads a caller's request, and checks its route, API key and size.

use std::sync;
use std::sync::atomic;

use basilgrade_adapter::forwarded_head;
use basilgrade_adapter::incoming_head;
use basilgrade_adapter::transfer_coding;
use basilgrade_fleet::admission::whole;
use basilgrade_fleet::model::configuration;
use basilgrade_fleet::model::customer;
use basilgrade_fleet::model::fingerprint;
use basilgrade_fleet::model::prompt;
use basilgrade_fleet::model::route;
use basilgrade_fleet::suspects;
use basilgrade_types::clock;
use basilgrade_types::id;
use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;

use crate::core;
use crate::http::body_reader;
use crate::http::request_memory;
use crate::request;
use crate::request::failure;
use crate::serve::discarded_body;

/// Retry delay of a request that only another version of the configuration can serve: the time in
/// which a new one usually arrives.
const CONFIGURATION_WAIT: clock::Millis = clock::Millis(2500);

fn rejected(status: StatusCode, reason: impl std::fmt::Display) -> failure::RequestFailure {
    failure::RequestFailure::rejected(status, reason)
}

/// What the head of a request determines.
struct CheckedHead {
    head: incoming_head::IncomingHead,
    route: route::Route,
    customer: Option<customer::Customer>,
    pool: id::PoolId,
}

/// Reads and validates a request that arrived at the time `arrived`.
///
/// The body of a rejected request is read and discarded, so that the connection can be used on.
///
/// # Errors
///
/// [`failure::RequestFailure`] if the request is malformed or not permitted, or if no
/// configuration has been received.
pub async fn read(
    core: &core::Core,
    message: Request<Incoming>,
    arrived: clock::Millis,
) -> Result<request::Request, failure::RequestFailure> {
    let known = core.view.load().configuration.clone();
    let limits = known.as_ref().map(|known| known.limits).unwrap_or_default();
    let (parts, mut body) = message.into_parts();
    let checked = match check_head(known.as_deref(), &parts) {
        Ok(checked) => checked,
        Err(failure) => {
            let headers = &parts.headers;
            return Err(discarded_body::reject(core, failure, headers, body, limits).await);
        }
    };
    let CheckedHead {
        head,
        route,
        customer,
        pool,
    } = checked;
    let (time_allowed, deadline_origin) = match head.time_left {
        Some(left) if left < route.timeout => (left, request::DeadlineOrigin::Caller),
        _ => (route.timeout, request::DeadlineOrigin::Route),
    };
    let deadline = arrived.plus(time_allowed) - request::ANSWER_MARGIN;
    let limit = limits.max_body.0 as usize;
    let body_timeout = (deadline - core.now()).duration();
    let reading = tokio::time::timeout(body_timeout, read_body(core, &mut body, limit));
    let whole = reading.await.unwrap_or_else(|_| {
        Err(rejected(
            StatusCode::REQUEST_TIMEOUT,
            "the request body did not arrive before the deadline; send the body earlier",
        ))
    });
    let (body, upload) = match whole {
        Ok(whole) => whole,
        Err(failure) => return Err(discarded_body::reject_last(failure, body, limits)),
    };
    let regions = match &customer {
        Some(customer) => route.regions.and(&customer.regions),
        None => route.regions.clone(),
    };
    let target = parts.uri.path_and_query();
    // The time left of a stream that is taken up is shorter, too.
    let prefers_retried = core.settings.load().admission.prefer_retried.is_on();
    let waited = if prefers_retried && head.last_event.is_none() && head.resumes.is_none() {
        whole::waited(route.timeout, head.time_left)
    } else {
        clock::Millis::ZERO
    };
    let caller = customer
        .as_ref()
        .map_or("", |customer| customer.name.as_str());
    let fingerprint =
        fingerprint::Fingerprint::new(target.map_or("", |target| target.as_str()), caller, &body);
    let shared = head.prompt.iter().flat_map(prompt::Prompt::shared_ids);
    let mut suspects = vec![suspects::Suspect::Request(fingerprint)];
    suspects.extend(shared.map(suspects::Suspect::Part));
    Ok(request::Request {
        target: target
            .map(|target| target.clone().into())
            .unwrap_or_default(),
        method: parts.method,
        caller: parts.extensions.get().cloned().unwrap_or_default(),
        headers: parts.headers,
        head,
        body,
        upload,
        fingerprint,
        suspects,
        route: sync::Arc::new(route),
        pool,
        customer,
        regions,
        has_keys: known.is_some_and(|known| known.customers.is_some()),
        arrived,
        waited,
        deadline,
        deadline_origin,
        uncertain_sends: sync::Arc::new(atomic::AtomicU32::new(0)),
    })
}

/// Checks a request before its body is read.
fn check_head(
    known: Option<&configuration::Configuration>,
    parts: &hyper::http::request::Parts,
) -> Result<CheckedHead, failure::RequestFailure> {
    if transfer_coding::has_other_than_chunked(&parts.headers) {
        return Err(rejected(
            StatusCode::NOT_IMPLEMENTED,
            "the body has a transfer coding beside `chunked`; send it without",
        ));
    }
    let configuration = known.ok_or_else(|| {
        failure::RequestFailure::unavailable(
            "the daemon has not received a configuration yet; retry later",
        )
    })?;
    let head = incoming_head::IncomingHead::decode(&parts.headers)
        .map_err(|reason| rejected(StatusCode::BAD_REQUEST, reason))?;
    let route = find_route(configuration, parts)?;
    let customer = find_customer(configuration, route, &head)?;
    let pool = route.pool(rand::random()).cloned().ok_or_else(|| {
        failure::RequestFailure::refused(
            "the route has no pool; add one to the configuration",
            CONFIGURATION_WAIT,
        )
    })?;
    Ok(CheckedHead {
        head,
        route: route.clone(),
        customer,
        pool,
    })
}

fn find_route<'a>(
    configuration: &'a configuration::Configuration,
    parts: &hyper::http::request::Parts,
) -> Result<&'a route::Route, failure::RequestFailure> {
    let named = parts.headers.get(header::HOST);
    let host = named.and_then(|value| value.to_str().ok()).ok_or_else(|| {
        rejected(
            StatusCode::BAD_REQUEST,
            "the `Host` header is missing or not ASCII text; send a valid one",
        )
    })?;
    let path = parts.uri.path();
    configuration.route(host, path).ok_or_else(|| {
        rejected(
            StatusCode::NOT_FOUND,
            format!("no route for `{host}{path}`; check host and path"),
        )
    })
}

fn find_customer(
    configuration: &configuration::Configuration,
    route: &route::Route,
    head: &incoming_head::IncomingHead,
) -> Result<Option<customer::Customer>, failure::RequestFailure> {
    let Some(customers) = &configuration.customers else {
        return Ok(None);
    };
    let holder = head.api_key.as_ref().and_then(|key| customers.get(key));
    if holder.is_none() && !route.public {
        let reason = "the API key is missing or unknown; send a valid key";
        return Err(rejected(StatusCode::UNAUTHORIZED, reason));
    }
    if let Some(customer) = holder
        && forwarded_head::customer_value(&customer.name).is_none()
    {
        let reason = format!(
            "the name {:?} of the customer cannot be sent in a header; rename the customer",
            customer.name.as_str()
        );
        return Err(failure::RequestFailure::refused(reason, CONFIGURATION_WAIT));
    }
    Ok(holder.cloned())
}

async fn read_body(
    core: &core::Core,
    body: &mut Incoming,
    limit: usize,
) -> Result<(Bytes, request_memory::Upload), failure::RequestFailure> {
    let mut held = core.request_memory.hold();
    match body_reader::read(body, limit, |bytes| held.try_set(bytes)).await {
        Ok(whole) => {
            let upload = held.upload().clone();
            Ok((held.keep(whole), upload))
        }
        Err(body_reader::ReadError::TooLong) => Err(rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body exceeds the configured limit; send a smaller body",
        )),
        Err(body_reader::ReadError::Stopped) => Err(failure::RequestFailure::unavailable(
            "the bodies of the requests in progress take too much memory; retry later",
        )),
        Err(body_reader::ReadError::Broken(reason)) => {
            Err(rejected(StatusCode::BAD_REQUEST, reason))
        }
    }
}
