//! A small HTTP caller.

use std::net;

use basilgrade_types::request;
use http_body_util::BodyExt;
use hyper_util::rt;

/// A response and what its headers say.
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// Identity of the request.
    pub(crate) request: Option<request::RequestId>,
    /// The verdict.
    pub(crate) verdict: String,
    /// The whole body.
    pub(crate) body: Vec<u8>,
}

/// Sends one `POST` and reads the whole response.
pub(crate) async fn post(
    address: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, String> {
    let text = |error: &dyn std::fmt::Display| format!("request to {address} failed: {error}");
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .map_err(|error| text(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|error| text(&error))?;
    tokio::spawn(connection);
    let mut request = hyper::Request::post(path)
        .header("host", address.to_string())
        .header("basilgrade-customer", "graduacion-sur");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(http_body_util::Full::new(bytes::Bytes::from(
            body.to_owned(),
        )))
        .map_err(|error| text(&error))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| text(&error))?;
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
        .map_err(|error| text(&error))?
        .to_bytes()
        .to_vec();
    Ok(Response {
        status,
        request,
        verdict,
        body,
    })
}
