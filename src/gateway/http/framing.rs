//! Body framing: by length, by chunks or by the close of the connection.

use std::fmt;

use bytes::Buf;
use bytes::BytesMut;

use super::head::HeaderField;
use super::head::RequestHead;
use super::head::ResponseHead;
use super::head::field;

/// Longest chunk-size line or trailer line, in bytes. Sizes have at most 16 digits; the rest is for
/// chunk extensions, which are dropped.
const MAX_LINE_BYTES: usize = 1_024;

/// Most bytes of a trailer's lines, without their ends. They are dropped.
const MAX_TRAILER_BYTES: usize = 16_384;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this number of bytes.
    Length(u64),
    /// Chunked transfer encoding, ended by an empty chunk.
    Chunked,
    /// At the orderly close of the connection.
    UntilClose,
}

/// Why a body's framing is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingFault {
    /// The length is stated twice, together with a transfer coding, or in a form that can't be
    /// parsed, or the transfer coding is not just `chunked`.
    Ambiguous,
    /// A malformed chunk, or more trailer lines than `MAX_TRAILER_BYTES`.
    BadChunk,
}

impl fmt::Display for FramingFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ambiguous => "ambiguous body length",
            Self::BadChunk => "malformed chunk",
        })
    }
}

fn content_length(fields: &[HeaderField]) -> Result<Option<u64>, FramingFault> {
    let mut lengths = fields.iter().filter(|field| field.is("content-length"));
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() {
        return Err(FramingFault::Ambiguous);
    }
    // `parse` alone would accept "+5".
    let text = first.text().unwrap_or_default();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(FramingFault::Ambiguous);
    }
    text.parse().map(Some).map_err(|_| FramingFault::Ambiguous)
}

fn is_chunked(fields: &[HeaderField]) -> Result<bool, FramingFault> {
    let mut codings = fields.iter().filter(|field| field.is("transfer-encoding"));
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    let plain = first.value.eq_ignore_ascii_case(b"chunked");
    if !plain || codings.next().is_some() {
        return Err(FramingFault::Ambiguous);
    }
    Ok(true)
}

impl BodyFraming {
    /// The framing of a request's body.
    ///
    /// Guards against request smuggling: two parsers may disagree on a request with both a length
    /// and chunks, with two lengths or with another transfer coding, and bytes that are the body
    /// for one of them are a second request for the other. All such requests are refused.
    ///
    /// # Errors
    /// If the length is ambiguous, see [`FramingFault::Ambiguous`].
    pub fn of_request(head: &RequestHead) -> Result<Self, FramingFault> {
        match (content_length(&head.fields)?, is_chunked(&head.fields)?) {
            (Some(_), true) => Err(FramingFault::Ambiguous),
            (Some(length), false) => Ok(Self::Length(length)),
            (None, true) => Ok(Self::Chunked),
            (None, false) => Ok(Self::Length(0)),
        }
    }

    /// The framing of an answer's body.
    ///
    /// # Errors
    /// If the length is ambiguous, see [`FramingFault::Ambiguous`].
    pub fn of_response(head: &ResponseHead, to_head_request: bool) -> Result<Self, FramingFault> {
        if to_head_request || matches!(head.status, 100..=199 | 204 | 304) {
            return Ok(Self::Length(0));
        }
        match (content_length(&head.fields)?, is_chunked(&head.fields)?) {
            (Some(_), true) => Err(FramingFault::Ambiguous),
            (Some(length), false) => Ok(Self::Length(length)),
            (None, true) => Ok(Self::Chunked),
            (None, false) => Ok(Self::UntilClose),
        }
    }
}

#[derive(Debug)]
enum DecoderState {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// In the trailer, of which this number of bytes was read.
    Trailer(usize),
    UntilClose,
    Complete,
}

/// Decodes a body from its framing.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    #[must_use]
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSize,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the whole body was decoded.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(self.state, DecoderState::Complete)
    }

    /// Records that the peer closed the connection in an orderly way, which ends a body of
    /// [`BodyFraming::UntilClose`]. Returns whether the body is complete.
    pub fn end_of_stream(&mut self) -> bool {
        if matches!(self.state, DecoderState::UntilClose) {
            self.state = DecoderState::Complete;
        }
        self.is_complete()
    }

    /// Moves decoded bytes from `buffer` to `body`. Bytes after the body's end stay in `buffer`.
    ///
    /// # Errors
    /// If the chunks are malformed.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        body: &mut BytesMut,
    ) -> Result<(), FramingFault> {
        loop {
            match self.state {
                DecoderState::Complete => return Ok(()),
                DecoderState::UntilClose => {
                    body.extend_from_slice(&buffer.split());
                    return Ok(());
                }
                DecoderState::Length(left) => {
                    let left = left - move_bytes(buffer, body, left);
                    if left > 0 {
                        self.state = DecoderState::Length(left);
                        return Ok(());
                    }
                    self.state = DecoderState::Complete;
                }
                DecoderState::ChunkData(left) => {
                    let left = left - move_bytes(buffer, body, left);
                    if left > 0 {
                        self.state = DecoderState::ChunkData(left);
                        return Ok(());
                    }
                    self.state = DecoderState::ChunkEnd;
                }
                DecoderState::ChunkSize | DecoderState::ChunkEnd | DecoderState::Trailer(_) => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(());
                    };
                    self.state = after_line(&self.state, &line)?;
                }
            }
        }
    }
}

/// Moves at most `left` bytes and returns their number.
fn move_bytes(buffer: &mut BytesMut, body: &mut BytesMut, left: u64) -> u64 {
    let count = usize::try_from(left)
        .unwrap_or(usize::MAX)
        .min(buffer.len());
    body.extend_from_slice(&buffer[..count]);
    buffer.advance(count);
    count as u64
}

/// Takes one line from `buffer`, without its line end; `None` if it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, FramingFault> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        if buffer.len() > MAX_LINE_BYTES {
            return Err(FramingFault::BadChunk);
        }
        return Ok(None);
    };
    if end == 0 || buffer[end - 1] != b'\r' {
        return Err(FramingFault::BadChunk);
    }
    let mut line = buffer.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

/// The decoder's state after a line of framing.
fn after_line(state: &DecoderState, line: &[u8]) -> Result<DecoderState, FramingFault> {
    match state {
        DecoderState::ChunkEnd if line.is_empty() => Ok(DecoderState::ChunkSize),
        DecoderState::ChunkSize => Ok(match chunk_size(line)? {
            0 => DecoderState::Trailer(0),
            size => DecoderState::ChunkData(size),
        }),
        DecoderState::Trailer(_) if line.is_empty() => Ok(DecoderState::Complete),
        DecoderState::Trailer(read) if read + line.len() <= MAX_TRAILER_BYTES => {
            Ok(DecoderState::Trailer(read + line.len()))
        }
        _ => Err(FramingFault::BadChunk),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, FramingFault> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    let plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !plain {
        return Err(FramingFault::BadChunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| FramingFault::BadChunk)
}

/// Returns whether the sender waits for `100 Continue` before it sends the body.
#[must_use]
pub fn expects_continue(head: &RequestHead) -> bool {
    field(&head.fields, "expect")
        .is_some_and(|expect| expect.value.eq_ignore_ascii_case(b"100-continue"))
}
