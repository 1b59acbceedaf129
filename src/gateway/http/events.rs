//! Server-sent events: whole ones only, and the id of the last.

use bytes::Bytes;
use bytes::BytesMut;

/// Collects a stream's bytes and hands on whole events.
///
/// Guards against an endpoint that breaks off inside an event: the caller would get half an
/// event, and a resumed run would send it again from its start.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream of which events up to `last_id` were delivered before.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// The id of the last event handed on.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether part of an event waits for its rest.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the part of an event that an endpoint broke off in.
    pub fn restart(&mut self) {
        self.pending.clear();
    }

    /// Where an endpoint's bytes are put.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.pending
    }

    /// Takes all whole events that are newer than the last one; empty if there are none.
    ///
    /// A resumed run may begin with an event that was delivered already; it is dropped, since a
    /// caller must not get a piece twice.
    pub fn take(&mut self) -> Bytes {
        let mut taken = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
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
}

/// The end of the first event, past its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|start| start + 2)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
