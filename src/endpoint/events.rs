//! Splits a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

const SEPARATOR: &[u8] = b"\n\n";
const DONE: &[u8] = b"data: [DONE]";
/// Prefixes that a line of an event may begin with: field names, or `:` for a comment.
const FIELDS: [&[u8]; 5] = [b"data", b"event", b"id", b"retry", b":"];

/// The error of a stream that is not made of server-sent events or has one that is too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventFault;

/// Consecutive whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The events' bytes.
    pub bytes: Bytes,
    /// Number of events that carry part of the answer.
    pub count: u64,
    /// True if the events include the `[DONE]` marker, which ends the answer.
    pub done: bool,
}

/// Splits a stream at event boundaries, so that a caller never gets part of an event and an answer
/// can be resumed at a whole number of events.
#[derive(Debug)]
pub struct EventSplitter {
    limit: usize,
    partial: BytesMut,
}

impl EventSplitter {
    /// Creates a splitter for events of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            partial: BytesMut::new(),
        }
    }

    /// Adds a chunk and returns the events that are complete now. A chunk that consists of whole
    /// events is not copied.
    ///
    /// # Errors
    /// If a line is not a field of an event, or an incomplete event exceeds the limit.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<EventBatch>, EventFault> {
        if self.partial.is_empty() && chunk.ends_with(SEPARATOR) {
            return batch(chunk).map(Some);
        }
        self.partial.extend_from_slice(&chunk);
        let end = self
            .partial
            .windows(SEPARATOR.len())
            .rposition(|part| part == SEPARATOR);
        let Some(end) = end else {
            return self.check_partial().map(|()| None);
        };
        let whole = self.partial.split_to(end + SEPARATOR.len()).freeze();
        self.check_partial()?;
        batch(whole).map(Some)
    }

    /// Returns true if the last event is incomplete.
    #[must_use]
    pub fn holds_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    fn check_partial(&self) -> Result<(), EventFault> {
        let longest = FIELDS.iter().map(|field| field.len()).max().unwrap_or(0);
        let garbage = self.partial.len() >= longest && !begins_with_field(&self.partial);
        if garbage || self.partial.len() > self.limit {
            return Err(EventFault);
        }
        Ok(())
    }
}

fn begins_with_field(line: &[u8]) -> bool {
    FIELDS.iter().any(|field| line.starts_with(field))
}

fn batch(bytes: Bytes) -> Result<EventBatch, EventFault> {
    let mut count = 0;
    let mut done = false;
    let mut has_data = false;
    for line in bytes.split(|byte| *byte == b'\n') {
        if line.is_empty() {
            count += u64::from(has_data);
            has_data = false;
            continue;
        }
        if !begins_with_field(line) {
            return Err(EventFault);
        }
        if line.starts_with(DONE) {
            done = true;
        } else if line.starts_with(b"data") {
            has_data = true;
        }
    }
    Ok(EventBatch { bytes, count, done })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn push_all(chunks: &[&str]) -> Result<Vec<EventBatch>, EventFault> {
        let mut splitter = EventSplitter::new(64);
        let mut batches = Vec::new();
        for chunk in chunks {
            batches.extend(splitter.push(Bytes::copy_from_slice(chunk.as_bytes()))?);
        }
        Ok(batches)
    }

    #[test]
    fn events_are_cut_at_their_ends_wherever_chunks_end() {
        let text = "data: a\n\ndata: b\n\n: note\n\ndata: [DONE]\n\n";
        for cut in 1..text.len() {
            let batches = push_all(&[&text[..cut], &text[cut..]]).unwrap();
            let joined: Vec<u8> = batches
                .iter()
                .flat_map(|part| part.bytes.to_vec())
                .collect();
            assert_eq!(joined, text.as_bytes());
            assert_eq!(batches.iter().map(|part| part.count).sum::<u64>(), 2);
            assert!(batches.last().is_some_and(|part| part.done));
        }
    }

    #[test]
    fn invalid_events_are_rejected() {
        assert_eq!(push_all(&["<html>\n\n"]), Err(EventFault));
        assert_eq!(push_all(&["<html><b"]), Err(EventFault));
        assert_eq!(push_all(&["data: ", &"x".repeat(99)]), Err(EventFault));
    }
}
