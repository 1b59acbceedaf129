//! Delivery of one request's answer to its caller: a head, chunks and an end, or an error.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::answers::AnswerHead;
use super::answers::AnswerRecord;
use super::call::ANSWER_BUFFER_CHUNKS;
use super::call::AnswerBody;
use super::call::CallAnswer;
use super::refusal::CallFault;

#[derive(Debug)]
enum CallerStage {
    Waiting(oneshot::Sender<CallAnswer>),
    Streaming(mpsc::Sender<Bytes>),
    Ended,
}

/// The caller of one request and how much of the answer it has received.
#[derive(Debug)]
pub struct CallerSide {
    stage: CallerStage,
    caller_connection: CallerConnection,
    whole: Arc<AtomicBool>,
    record: Option<Arc<AnswerRecord>>,
}

/// Connects a request's task to the caller's connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// Cancelled when the caller disconnects.
    pub left: CancellationToken,
    /// Cancelling it closes the caller's connection.
    pub abort: CancellationToken,
    /// Longest time that the caller may take to read the next chunk.
    pub idle: Duration,
}

impl CallerSide {
    /// Creates a caller that waits for the answer's head at the receiving end of `sender`.
    #[must_use]
    pub fn new(sender: oneshot::Sender<CallAnswer>, caller_connection: CallerConnection) -> Self {
        Self {
            stage: CallerStage::Waiting(sender),
            caller_connection,
            whole: Arc::default(),
            record: None,
        }
    }

    /// Also stores the answer in `record` for resends. The record is filled to the end even if
    /// this caller disconnects.
    pub fn store_in(&mut self, record: Arc<AnswerRecord>) {
        self.record = Some(record);
    }

    /// Returns the record that the answer is stored in.
    #[must_use]
    pub fn record(&self) -> Option<&Arc<AnswerRecord>> {
        self.record.as_ref()
    }

    /// Returns a token that is cancelled when the caller disconnects.
    #[must_use]
    pub fn left(&self) -> CancellationToken {
        self.caller_connection.left.clone()
    }

    /// Returns true if part of the answer may have reached the caller.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        !matches!(self.stage, CallerStage::Waiting(_))
    }

    /// Sends the head of an answer that follows in chunks.
    pub fn begin(&mut self, head: AnswerHead) {
        if let Some(record) = &self.record {
            record.set_head(&head);
        }
        let stage = std::mem::replace(&mut self.stage, CallerStage::Ended);
        let CallerStage::Waiting(sender) = stage else {
            self.stage = stage;
            return;
        };
        let (chunks, receiver) = mpsc::channel(ANSWER_BUFFER_CHUNKS);
        let answer = answer_of(head, AnswerBody::chunks(receiver, Arc::clone(&self.whole)));
        if sender.send(answer).is_ok() {
            self.stage = CallerStage::Streaming(chunks);
        }
    }

    /// Sends a chunk and waits while the caller's buffer is full. The connection of a caller that
    /// reads nothing for too long is closed, since it would otherwise occupy a slot of its
    /// endpoint forever.
    pub async fn push(&mut self, chunk: Bytes) {
        if let Some(record) = &self.record {
            record.push(&chunk);
        }
        let CallerStage::Streaming(sender) = &self.stage else {
            return;
        };
        let Err(full) = sender.try_send(chunk) else {
            return;
        };
        let sent = time::timeout(self.caller_connection.idle, sender.send(full.into_inner())).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.caller_connection.abort.cancel();
            self.stage = CallerStage::Ended;
        }
    }

    /// Sends a complete answer with its head.
    pub fn send_complete(&mut self, head: AnswerHead, body: Bytes) {
        if let Some(record) = &self.record {
            record.set_head(&head);
            record.push(&body);
        }
        if let CallerStage::Waiting(sender) = std::mem::replace(&mut self.stage, CallerStage::Ended)
        {
            let _ = sender.send(answer_of(head, AnswerBody::full(body)));
        }
    }

    /// Ends the answer as complete.
    pub fn end(&mut self) {
        if let Some(record) = &self.record {
            record.end(true);
        }
        self.whole.store(true, Ordering::Release);
        self.stage = CallerStage::Ended;
    }

    /// Reports a fault to the caller: as an error answer, or, if the answer has begun, by aborting
    /// the connection, so that the caller can't mistake a partial answer for a complete one.
    pub fn fail(&mut self, fault: CallFault) {
        if let Some(record) = &self.record {
            record.end(false);
        }
        let stage = std::mem::replace(&mut self.stage, CallerStage::Ended);
        if let CallerStage::Waiting(sender) = stage {
            let _ = sender.send(fault.into_answer());
        }
    }

    /// Sends another request's stored answer and ends.
    pub async fn copy(&mut self, record: &AnswerRecord) {
        if let CallerStage::Streaming(sender) = &self.stage {
            let whole = record.copy_to(sender).await;
            self.whole.store(whole, Ordering::Release);
        }
        self.stage = CallerStage::Ended;
    }
}

fn answer_of(head: AnswerHead, body: AnswerBody) -> CallAnswer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = head.headers;
    answer
}
