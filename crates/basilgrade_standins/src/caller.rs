//! HTTP client that sends requests of callers to daemons.

use std::net;
use std::time;

use basilgrade_types::request;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::rt;

/// Time limit of a request. It exceeds any deadline in tests, so it only ends requests to paused
/// daemons.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// A response of a daemon with its decoded headers.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Id of the request from `basilgrade-request-id`; `None` if missing or invalid.
    pub request: Option<request::RequestId>,
    /// Value of `basilgrade-verdict`; empty if the header is missing.
    pub verdict: String,
    /// Complete body.
    pub body: Bytes,
}

/// Sends a `POST` request over a new connection and reads the complete response.
///
/// # Errors
///
/// Returns the reason why no complete response arrived. The request may have run nevertheless.
pub async fn post(
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, String> {
    let request = hyper::Request::post(path);
    send(address, request, headers, body).await
}

/// Sends a `GET` request over a new connection and reads the complete response.
///
/// # Errors
///
/// Returns the reason why no complete response arrived. The request may have run nevertheless.
pub async fn get(address: net::SocketAddr, path: &str) -> Result<Response, String> {
    send(address, hyper::Request::get(path), &[], "").await
}

async fn send(
    address: net::SocketAddr,
    mut request: hyper::http::request::Builder,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, String> {
    request = request.header("host", address.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = http_body_util::Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let request = request.body(body).map_err(|error| error.to_string())?;
    tokio::time::timeout(REQUEST_TIMEOUT, exchange(address, request))
        .await
        .unwrap_or_else(|_| {
            Err(
                "no complete response within 15 s; check that the daemon runs and is not paused"
                    .to_owned(),
            )
        })
        .map_err(|reason| format!("request to `{address}` failed: {reason}"))
}

async fn exchange(
    address: net::SocketAddr,
    request: hyper::Request<http_body_util::Full<Bytes>>,
) -> Result<Response, String> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let connection = tokio::spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let (status, request, verdict) = (
        response.status().as_u16(),
        header("basilgrade-request-id").parse().ok(),
        header("basilgrade-verdict"),
    );
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?
        .to_bytes();
    connection.abort();
    Ok(Response {
        status,
        request,
        verdict,
        body,
    })
}
