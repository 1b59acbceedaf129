//! Stored answers, so that a resend with the same ticket gets the answer of the first request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::units::RequestId;

/// Status and headers of an answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
}

/// State of a stored answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordStage {
    Open,
    Whole,
    Broken,
}

#[derive(Debug)]
struct RecordState {
    head: Option<AnswerHead>,
    chunks: Vec<Bytes>,
    bytes: usize,
    stage: RecordStage,
}

/// One answer, stored while it arrives and after it is complete.
#[derive(Debug)]
pub struct AnswerRecord {
    limit: usize,
    state: Mutex<RecordState>,
    changed: Notify,
}

impl AnswerRecord {
    /// Creates an empty record that stores up to `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::new(RecordState {
                head: None,
                chunks: Vec::new(),
                bytes: 0,
                stage: RecordStage::Open,
            }),
            changed: Notify::new(),
        }
    }

    fn change(&self, change: impl FnOnce(&mut RecordState)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_waiters();
    }

    /// Stores the head and wakes the waiting callers.
    pub fn set_head(&self, head: &AnswerHead) {
        self.change(|state| state.head = Some(head.clone()));
    }

    /// Stores a chunk. A record that exceeds its limit discards its chunks and becomes broken:
    /// callers that wait for it get no more of it.
    pub fn push(&self, chunk: &Bytes) {
        self.change(|state| {
            state.bytes += chunk.len();
            if state.bytes > self.limit {
                state.stage = RecordStage::Broken;
                state.chunks.clear();
            } else if state.stage == RecordStage::Open {
                state.chunks.push(chunk.clone());
            }
        });
    }

    /// Returns the number of bytes stored so far, or `None` if the record is broken.
    #[must_use]
    pub fn kept_bytes(&self) -> Option<usize> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.stage != RecordStage::Broken).then_some(state.bytes)
    }

    /// Returns true if the whole answer is stored.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.stage == RecordStage::Whole
    }

    /// Ends the record: as whole if `whole` is true, else as broken.
    pub fn end(&self, whole: bool) {
        self.change(|state| {
            if state.stage == RecordStage::Open {
                state.stage = if whole {
                    RecordStage::Whole
                } else {
                    RecordStage::Broken
                };
            }
        });
    }

    /// Waits for the head; returns `None` if the answer ended or broke without one.
    pub async fn head(&self) -> Option<AnswerHead> {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                match (state.stage, &state.head) {
                    (RecordStage::Broken, _) | (RecordStage::Whole, None) => return None,
                    (_, Some(head)) => return Some(head.clone()),
                    (RecordStage::Open, None) => {}
                }
            }
            changed.await;
        }
    }

    /// Sends the stored answer to another caller, waiting for chunks that are still to arrive.
    /// Returns true if the caller got the whole answer.
    pub async fn copy_to(&self, caller: &mpsc::Sender<Bytes>) -> bool {
        let mut next = 0;
        loop {
            let changed = self.changed.notified();
            let (chunk, stage) = {
                let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                (state.chunks.get(next).cloned(), state.stage)
            };
            let chunk = match (chunk, stage) {
                (_, RecordStage::Broken) => return false,
                (Some(chunk), _) => chunk,
                (None, RecordStage::Whole) => return true,
                (None, RecordStage::Open) => {
                    changed.await;
                    continue;
                }
            };
            next += 1;
            if caller.send(chunk).await.is_err() {
                return false;
            }
        }
    }
}

/// The answers stored by this router.
#[derive(Debug, Default)]
pub struct AnswerStore {
    records: Mutex<BTreeMap<RequestId, Arc<AnswerRecord>>>,
}

impl AnswerStore {
    /// Returns the record of a request's answer, creating it if there is none. It is created by
    /// whichever comes first: the request's first attempt, or a resend that waits for its answer.
    pub fn open(&self, request: RequestId, limit: usize) -> Arc<AnswerRecord> {
        let mut records = self.lock();
        let record = records
            .entry(request)
            .or_insert_with(|| Arc::new(AnswerRecord::new(limit)));
        Arc::clone(record)
    }

    /// Removes the stored answer of a request.
    pub fn forget(&self, request: RequestId) {
        self.lock().remove(&request);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<RequestId, Arc<AnswerRecord>>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
