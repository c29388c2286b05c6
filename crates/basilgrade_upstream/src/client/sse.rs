//! Decoder for token streams in the format of server-sent events.

use std::borrow;
use std::collections;

use bytes::BytesMut;
use serde::Deserialize;

use crate::token;

/// Maximum length of a line in bytes. A token has a few bytes, so the limit only bounds memory.
const MAX_LINE: usize = 64 << 10;

#[derive(Deserialize)]
struct TokenEvent<'a> {
    offset: u64,
    #[serde(borrow)]
    token: borrow::Cow<'a, str>,
}

/// Progress of a stream after the bytes decoded so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Progress {
    /// The end marker `[DONE]` was decoded.
    Done,
    /// The end marker was not decoded yet.
    Open,
}

/// Decodes chunks of server-sent events into tokens with consecutive offsets.
#[derive(Debug)]
pub(super) struct Decoder {
    /// Offset of the next token to deliver.
    next_offset: u64,
    /// Exclusive upper bound of the token offsets.
    end_offset: u64,
    /// Beginning of a line whose end has not arrived yet.
    partial_line: BytesMut,
    /// Number of tokens dropped because their offset was already delivered.
    pub(super) repeated: u64,
}

impl Decoder {
    pub(super) fn new(next_offset: u64, end_offset: u64) -> Self {
        Self {
            next_offset,
            end_offset,
            partial_line: BytesMut::new(),
            repeated: 0,
        }
    }

    /// Decodes a chunk and appends its tokens to `tokens`.
    pub(super) fn decode(
        &mut self,
        mut chunk: &[u8],
        tokens: &mut collections::VecDeque<token::Token>,
    ) -> Result<Progress, String> {
        while let Some(line_end) = chunk.iter().position(|byte| *byte == b'\n') {
            let (line, rest) = (&chunk[..line_end], &chunk[line_end + 1..]);
            chunk = rest;
            let progress = if self.partial_line.is_empty() {
                self.decode_line(line, tokens)?
            } else {
                self.extend_line(line)?;
                let complete = self.partial_line.split();
                self.decode_line(&complete, tokens)?
            };
            if progress == Progress::Done {
                return Ok(Progress::Done);
            }
        }
        self.extend_line(chunk)?;
        Ok(Progress::Open)
    }

    fn extend_line(&mut self, bytes: &[u8]) -> Result<(), String> {
        if self.partial_line.len() + bytes.len() > MAX_LINE {
            return Err(format!("line is longer than {MAX_LINE} bytes"));
        }
        self.partial_line.extend_from_slice(bytes);
        Ok(())
    }

    fn decode_line(
        &mut self,
        line: &[u8],
        tokens: &mut collections::VecDeque<token::Token>,
    ) -> Result<Progress, String> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        // Blank lines only end an event; comments and other fields carry no token.
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(Progress::Open);
        };
        let data = data.strip_prefix(b" ").unwrap_or(data);
        if data == b"[DONE]" {
            return Ok(Progress::Done);
        }
        let event: TokenEvent<'_> = serde_json::from_slice(data)
            .map_err(|error| format!("event is not a token: {error}"))?;
        if event.offset < self.next_offset {
            self.repeated += 1;
            return Ok(Progress::Open);
        }
        if event.offset > self.next_offset {
            return Err(format!(
                "token offset jumps from {} to {}",
                self.next_offset, event.offset
            ));
        }
        if event.offset >= self.end_offset {
            return Err(format!("more than {} tokens were sent", self.end_offset));
        }
        self.next_offset += 1;
        tokens.push_back(token::Token {
            offset: event.offset,
            text: event.token.into_owned(),
        });
        Ok(Progress::Open)
    }
}
