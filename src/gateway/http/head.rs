//! Strict parsing of the heads of requests and answers.

use std::fmt;
use std::ops::RangeInclusive;

use bytes::Bytes;
use bytes::BytesMut;

/// Most header fields in one head. Callers send about a dozen; proxies may add more.
const MAX_FIELDS: usize = 64;

/// Status codes of HTTP. The parser takes any three digits.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// One header field as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderField {
    /// The name in the sender's spelling.
    pub name: Bytes,
    /// The value without surrounding white space.
    pub value: Bytes,
}

impl HeaderField {
    /// Returns whether the field has this name, ignoring case.
    #[must_use]
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }

    /// The value as text, if it is UTF-8.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(&self.value).ok()
    }
}

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// Not HTTP/1.1 (or, in answers, 1.0), more than `MAX_FIELDS` fields, a status outside of
    /// `STATUS_CODES`, or a form that parsers read differently (bare line feeds, folded lines).
    Malformed,
    /// The head is longer than allowed.
    TooLarge,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => "malformed head",
            Self::TooLarge => "head is too large",
        })
    }
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method as sent.
    pub method: Bytes,
    /// The path and query as sent.
    pub target: Bytes,
    /// Fields in the order sent.
    pub fields: Vec<HeaderField>,
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Fields in the order sent.
    pub fields: Vec<HeaderField>,
    /// Whether the sender uses HTTP/1.0, which closes the connection after each answer.
    pub old: bool,
}

/// The first field with this name.
#[must_use]
pub fn field<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a HeaderField> {
    fields.iter().find(|field| field.is(name))
}

/// Returns whether a `Connection` field contains this option.
#[must_use]
pub fn has_connection_option(fields: &[HeaderField], option: &str) -> bool {
    fields
        .iter()
        .filter(|field| field.is("connection"))
        .filter_map(HeaderField::text)
        .flat_map(|text| text.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(option))
}

/// The index after the head in `buffer` and its blank line; `None` if the head is incomplete.
///
/// Guards against request smuggling by line ends: parsers disagree on a line feed without a
/// carriage return and on a folded line, so neither is accepted.
fn head_end(buffer: &[u8], max: usize) -> Result<Option<usize>, HeadFault> {
    let mut start = 0;
    while let Some(offset) = buffer[start..].iter().position(|byte| *byte == b'\n') {
        let end = start + offset;
        if end == 0 || buffer[end - 1] != b'\r' {
            return Err(HeadFault::Malformed);
        }
        if end - start == 1 {
            return Ok(Some(end + 1));
        }
        if start > 0 && matches!(buffer[start], b' ' | b'\t') {
            return Err(HeadFault::Malformed);
        }
        if end > max {
            return Err(HeadFault::TooLarge);
        }
        start = end + 1;
    }
    if buffer.len() > max {
        return Err(HeadFault::TooLarge);
    }
    Ok(None)
}

/// Copies parsed fields as slices of the head's bytes.
fn copy_fields(head: &Bytes, fields: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    fields
        .iter()
        .map(|field| HeaderField {
            name: head.slice_ref(field.name.as_bytes()),
            value: head.slice_ref(field.value),
        })
        .collect()
}

impl RequestHead {
    /// Takes a whole head from the front of `buffer`; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the head is malformed or has more than `max` bytes.
    pub fn take(buffer: &mut BytesMut, max: usize) -> Result<Option<Self>, HeadFault> {
        // Some senders append a blank line to a body; it comes before the next request.
        while buffer.starts_with(b"\r\n") {
            let _ = buffer.split_to(2);
        }
        let Some(end) = head_end(buffer, max)? else {
            return Ok(None);
        };
        let head = buffer.split_to(end).freeze();
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(_)) = parsed.parse(&head) else {
            return Err(HeadFault::Malformed);
        };
        let (Some(method), Some(path), Some(1)) = (parsed.method, parsed.path, parsed.version)
        else {
            return Err(HeadFault::Malformed);
        };
        Ok(Some(Self {
            method: head.slice_ref(method.as_bytes()),
            target: head.slice_ref(path.as_bytes()),
            fields: copy_fields(&head, parsed.headers),
        }))
    }

    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        self.target
            .split(|byte| *byte == b'?')
            .next()
            .unwrap_or_default()
    }

    /// The value of the first field with this name, as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        field(&self.fields, name).and_then(HeaderField::text)
    }
}

impl ResponseHead {
    /// Takes a whole head from the front of `buffer`; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the head is malformed or has more than `max` bytes.
    pub fn take(buffer: &mut BytesMut, max: usize) -> Result<Option<Self>, HeadFault> {
        if !b"HTTP/1.".starts_with(&buffer[..buffer.len().min(7)]) {
            return Err(HeadFault::Malformed);
        }
        let Some(end) = head_end(buffer, max)? else {
            return Ok(None);
        };
        let head = buffer.split_to(end).freeze();
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let Ok(httparse::Status::Complete(_)) = parsed.parse(&head) else {
            return Err(HeadFault::Malformed);
        };
        let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
            return Err(HeadFault::Malformed);
        };
        if !STATUS_CODES.contains(&status) {
            return Err(HeadFault::Malformed);
        }
        Ok(Some(Self {
            status,
            fields: copy_fields(&head, parsed.headers),
            old: version == 0,
        }))
    }

    /// The value of the first field with this name, as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        field(&self.fields, name).and_then(HeaderField::text)
    }

    /// Returns whether the status is a success (2xx).
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
