//! Splits a stream into whole server-sent events and tracks the id of the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest incomplete event, in bytes. An event carries a few tokens of text, or the facts of a whole
/// answer in its last event.
pub const MAX_EVENT_BYTES: usize = 262_144;

/// Collects a stream's bytes and returns whole events.
///
/// Guards against an endpoint that fails inside an event: the caller would get half an event, and
/// the endpoint that resumes the stream would send the event again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes at the start of `pending` that were searched for the end of an event.
    searched: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream whose events up to `last_id` were delivered before.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// The id of the last event returned, or the one given to [`Self::after`] if none with an id
    /// was returned.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the incomplete event is larger than [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Drops an incomplete event, before another endpoint resumes the stream. The last id is kept.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// The buffer to which an endpoint's bytes are appended.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.pending
    }

    /// Takes all whole events whose ids are greater than that of the last one, and all without an
    /// id; empty if there are none.
    ///
    /// An endpoint that resumes a stream may begin with events that were already delivered. They
    /// are dropped, since a caller must not get an event twice. Events without an id can't be
    /// recognised and are always taken.
    pub fn take(&mut self) -> Bytes {
        let mut taken = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.pending.split_to(end);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last_id)
                && id <= last
            {
                continue;
            }
            if id.is_some() {
                self.last_id = id;
            }
            if taken.is_empty() {
                taken = event;
            } else {
                taken.unsplit(event);
            }
        }
        taken.freeze()
    }

    /// The index after the first event and its blank line. Bytes that were searched before are not
    /// searched again.
    fn find_event_end(&mut self) -> Option<usize> {
        // The blank line may begin with the last byte that was searched.
        let from = self.searched.saturating_sub(1);
        let mut pairs = self.pending[from..].windows(2);
        let end = pairs
            .position(|pair| pair == b"\n\n")
            .map(|start| from + start + 2);
        self.searched = match end {
            Some(_) => 0,
            None => self.pending.len(),
        };
        end
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
