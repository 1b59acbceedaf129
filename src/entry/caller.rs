//! The caller's side of one request: it gets a head, chunks and an end, or an error, once.

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
use super::call::ANSWER_CHUNKS;
use super::call::AnswerBody;
use super::call::CallAnswer;
use super::refusal::CallFault;

#[derive(Debug)]
enum CallerStage {
    Waiting(oneshot::Sender<CallAnswer>),
    Streaming(mpsc::Sender<Bytes>),
    Ended,
}

/// The caller of one request.
#[derive(Debug)]
pub struct CallerSide {
    stage: CallerStage,
    links: CallerLinks,
    whole: Arc<AtomicBool>,
    record: Option<Arc<AnswerRecord>>,
}

/// What ties a caller to its connection.
#[derive(Debug)]
pub struct CallerLinks {
    /// Cancelled when the caller leaves.
    pub left: CancellationToken,
    /// Cancelled to close the caller's connection.
    pub abort: CancellationToken,
    /// Longest pause of a caller that reads its answer.
    pub idle: Duration,
}

impl CallerSide {
    /// A caller that waits for the head at the other end of `sender`.
    #[must_use]
    pub fn new(sender: oneshot::Sender<CallAnswer>, links: CallerLinks) -> Self {
        Self {
            stage: CallerStage::Waiting(sender),
            links,
            whole: Arc::default(),
            record: None,
        }
    }

    /// Keeps the answer for resends as well. The answer then comes to its end even if this
    /// caller leaves.
    pub fn keep_in(&mut self, record: Arc<AnswerRecord>) {
        self.record = Some(record);
    }

    /// The record that the answer is kept in.
    #[must_use]
    pub fn record(&self) -> Option<&Arc<AnswerRecord>> {
        self.record.as_ref()
    }

    /// Cancelled when the caller leaves.
    #[must_use]
    pub fn left(&self) -> CancellationToken {
        self.links.left.clone()
    }

    /// True if a part of the answer may have reached the caller.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        !matches!(self.stage, CallerStage::Waiting(_))
    }

    /// Gives the head of an answer that comes in chunks.
    pub fn begin(&mut self, head: AnswerHead) {
        if let Some(record) = &self.record {
            record.set_head(&head);
        }
        let stage = std::mem::replace(&mut self.stage, CallerStage::Ended);
        let CallerStage::Waiting(sender) = stage else {
            self.stage = stage;
            return;
        };
        let (chunks, receiver) = mpsc::channel(ANSWER_CHUNKS);
        let answer = answer_of(head, AnswerBody::chunks(receiver, Arc::clone(&self.whole)));
        if sender.send(answer).is_ok() {
            self.stage = CallerStage::Streaming(chunks);
        }
    }

    /// Gives a chunk; waits while the caller reads slowly. One that reads nothing at all for too
    /// long would hold its endpoint's slot for ever: its connection is closed.
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
        let sent = time::timeout(self.links.idle, sender.send(full.into_inner())).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.links.abort.cancel();
            self.stage = CallerStage::Ended;
        }
    }

    /// Gives an answer that is here whole.
    pub fn give_whole(&mut self, head: AnswerHead, body: Bytes) {
        if let Some(record) = &self.record {
            record.set_head(&head);
            record.push(&body);
        }
        if let CallerStage::Waiting(sender) = std::mem::replace(&mut self.stage, CallerStage::Ended)
        {
            let _ = sender.send(answer_of(head, AnswerBody::full(body)));
        }
    }

    /// Ends an answer that is whole.
    pub fn end(&mut self) {
        if let Some(record) = &self.record {
            record.end(true);
        }
        self.whole.store(true, Ordering::Release);
        self.stage = CallerStage::Ended;
    }

    /// Tells the caller of a fault: as an error answer, or, if the answer has begun, by aborting
    /// the transport. A caller must never take a part for the whole.
    pub fn fail(&mut self, fault: CallFault) {
        if let Some(record) = &self.record {
            record.end(false);
        }
        let stage = std::mem::replace(&mut self.stage, CallerStage::Ended);
        if let CallerStage::Waiting(sender) = stage {
            let _ = sender.send(fault.into_answer());
        }
    }

    /// Passes another request's kept answer on.
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
