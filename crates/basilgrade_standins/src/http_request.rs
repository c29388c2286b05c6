//! Parser of HTTP/1.1 requests.

use std::io;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;

/// Maximum bytes of a line of the request head or of a chunk-size line.
const LINE_LIMIT_BYTES: u64 = 64 << 10;

/// Maximum bytes of a request body.
const BODY_LIMIT_BYTES: usize = 256 << 20;

/// A request that a stand-in received.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    /// Request method, such as `GET`.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Headers by lower-case name; a repeated header overwrites the previous one.
    pub headers: IndexMap<String, String>,
    /// Complete body without chunk framing.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter as a number; `None` if missing or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(found, _)| *found == name)
            .and_then(|(_, value)| value.parse().ok())
    }
}

/// Reads one request; `None` if the client closed the connection before sending one.
pub(crate) async fn read<R: tokio::io::AsyncBufRead + Unpin>(
    reader: &mut R,
) -> io::Result<Option<HttpRequest>> {
    let Some(first) = line(reader).await? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut request = HttpRequest {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        ..HttpRequest::default()
    };
    loop {
        let text = line(reader).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        request
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    request.body = body(reader, &request).await?;
    Ok(Some(request))
}

/// Reads a body by `content-length` or as chunks.
async fn body<R: tokio::io::AsyncBufRead + Unpin>(
    reader: &mut R,
    request: &HttpRequest,
) -> io::Result<Bytes> {
    if request.header("transfer-encoding") != Some("chunked") {
        let size = match request.header("content-length") {
            Some(text) => text.parse().map_err(|_| io::ErrorKind::InvalidData)?,
            None => 0,
        };
        return Ok(exact(reader, size).await?.into());
    }
    let mut whole = Vec::new();
    loop {
        let text = line(reader).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(text.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::ErrorKind::InvalidData)?;
        if whole.len().saturating_add(size) > BODY_LIMIT_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        whole.extend(exact(reader, size).await?);
        line(reader).await?;
        if size == 0 {
            return Ok(whole.into());
        }
    }
}

/// Reads exactly `size` bytes of a body; fails if `size` exceeds [`BODY_LIMIT_BYTES`].
async fn exact<R: tokio::io::AsyncBufRead + Unpin>(
    reader: &mut R,
    size: usize,
) -> io::Result<Vec<u8>> {
    if size > BODY_LIMIT_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; size];
    reader.read_exact(&mut body).await?;
    Ok(body)
}

/// Reads a line and strips its line ending; `None` at the end of the input.
async fn line<R: tokio::io::AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut limited = reader.take(LINE_LIMIT_BYTES);
    if limited.read_until(b'\n', &mut bytes).await? == 0 {
        return Ok(None);
    }
    if bytes.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    String::from_utf8(bytes)
        .map(Some)
        .map_err(|_| io::ErrorKind::InvalidData.into())
}
