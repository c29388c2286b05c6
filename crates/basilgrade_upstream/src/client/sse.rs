//! Decoding of token streams.

use std::borrow;
use std::collections;

use bytes::BytesMut;
use serde::Deserialize;

use crate::token;

/// Longest line of a stream; a token is a few bytes, so this only bounds memory.
const LINE_LIMIT: usize = 64 << 10;

#[derive(Deserialize)]
struct Item<'a> {
    offset: u64,
    #[serde(borrow)]
    token: borrow::Cow<'a, str>,
}

/// What the bytes so far amount to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// The end marker was read.
    Done,
    /// More is to come.
    Open,
}

/// Turns chunks of server-sent events into consecutive tokens.
#[derive(Debug)]
pub(super) struct Decoder {
    /// Offset of the next token to deliver.
    next: u64,
    /// Offset that the stream must not reach.
    end: u64,
    /// Start of a line whose end has not arrived.
    partial: BytesMut,
    /// Tokens dropped because their offset was already delivered.
    pub(super) repeated: u64,
}

impl Decoder {
    pub(super) fn new(next: u64, end: u64) -> Self {
        Self {
            next,
            end,
            partial: BytesMut::new(),
            repeated: 0,
        }
    }

    /// Decodes a chunk and appends its tokens to `out`.
    pub(super) fn feed(
        &mut self,
        mut chunk: &[u8],
        out: &mut collections::VecDeque<token::Token>,
    ) -> Result<Progress, String> {
        while let Some(end) = chunk.iter().position(|byte| *byte == b'\n') {
            let (line, rest) = (&chunk[..end], &chunk[end + 1..]);
            chunk = rest;
            let progress = if self.partial.is_empty() {
                self.line(line, out)?
            } else {
                self.extend(line)?;
                let whole = self.partial.split();
                self.line(&whole, out)?
            };
            if progress == Progress::Done {
                return Ok(Progress::Done);
            }
        }
        self.extend(chunk)?;
        Ok(Progress::Open)
    }

    fn extend(&mut self, bytes: &[u8]) -> Result<(), String> {
        if self.partial.len() + bytes.len() > LINE_LIMIT {
            return Err(format!("line is longer than {LINE_LIMIT} bytes"));
        }
        self.partial.extend_from_slice(bytes);
        Ok(())
    }

    fn line(
        &mut self,
        line: &[u8],
        out: &mut collections::VecDeque<token::Token>,
    ) -> Result<Progress, String> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        // Blank lines end an event; comments and other fields carry no token.
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(Progress::Open);
        };
        let data = data.strip_prefix(b" ").unwrap_or(data);
        if data == b"[DONE]" {
            return Ok(Progress::Done);
        }
        let item: Item<'_> = serde_json::from_slice(data)
            .map_err(|error| format!("event is not a token: {error}"))?;
        if item.offset < self.next {
            self.repeated += 1;
            return Ok(Progress::Open);
        }
        if item.offset > self.next {
            return Err(format!(
                "token offset jumps from {} to {}",
                self.next, item.offset
            ));
        }
        if item.offset >= self.end {
            return Err(format!("more than {} tokens were sent", self.end));
        }
        self.next += 1;
        out.push_back(token::Token {
            offset: item.offset,
            text: item.token.into_owned(),
        });
        Ok(Progress::Open)
    }
}
