//! Reading an endpoint's answer and passing it on to the caller. At most a few chunks are read
//! ahead of the caller, so a slow caller puts backpressure on its endpoint instead of filling this
//! router's memory.

use std::ops::RangeInclusive;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time;

use crate::core::action::RunOutcome;
use crate::core::event::AttemptOutcome;
use crate::core::event::CoreEvent;
use crate::daemon::message::DispatchOrder;
use crate::entry::answers::AnswerHead;
use crate::entry::caller::CallerSide;
use crate::entry::context::EntryContext;
use crate::entry::headers;
use crate::units::ByteSize;
use crate::units::RequestId;
use crate::units::ServiceUnits;

use super::attempt::AnswerShape;
use super::events::EventSplitter;
use super::service;

/// Growth of a stored answer after which its size is reported to the core again, in bytes.
const STORED_STEP_BYTES: usize = 32 * 1024;

/// Status codes of final answers. The library takes all up to 999.
const FINAL_STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// How an attempt ended, and the answer's body if its end has not been read yet.
pub type ReadResult = (AttemptOutcome, Option<Incoming>);

/// Reads one answer of an endpoint.
pub struct AnswerReader<'a> {
    /// State shared by all requests.
    pub context: &'a EntryContext,
    /// The request.
    pub request: RequestId,
    /// The core's decision: attempt number, endpoint, resume offset and latest send time.
    pub order: DispatchOrder,
    /// The expected form of the answer.
    pub shape: AnswerShape,
    /// Size of the buffered part of the request's body, in bytes.
    pub request_bytes: usize,
    /// Service used so far, in service units.
    pub meter: &'a AtomicU64,
    /// The caller that gets the answer.
    pub caller: &'a mut CallerSide,
    /// Set to false if the answer can't be resumed.
    pub can_resume: &'a mut bool,
}

/// Why an answer could not be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadFault {
    /// The connection broke, or no data arrived for too long.
    Lost,
    /// The answer exceeds the buffer limit.
    TooLarge,
}

impl AnswerReader<'_> {
    /// Reads the answer to its end and returns how the attempt ended.
    pub async fn read(mut self, response: Response<Incoming>) -> ReadResult {
        let (parts, body) = response.into_parts();
        let mut fields = parts.headers;
        headers::strip_connection(&mut fields);
        let head = AnswerHead {
            status: parts.status,
            headers: fields,
        };
        if !FINAL_STATUS_CODES.contains(&head.status.as_u16()) {
            return (AttemptOutcome::Garbage, None);
        }
        match self.shape {
            AnswerShape::Events if head.status.is_success() => self.read_events(head, body).await,
            AnswerShape::Json | AnswerShape::Events => self.read_json(head, body).await,
            AnswerShape::Plain => self.read_plain(head, body).await,
        }
    }

    fn record_service(&self, units: ServiceUnits) {
        self.meter.store(units.0, Ordering::Relaxed);
    }

    /// Reports to the core how many bytes are stored for resends, each time the stored part has
    /// grown considerably: the core limits the total size of all stored answers.
    fn report_stored_bytes(&self, last_reported: &mut usize) {
        let Some(kept) = self.caller.record().and_then(|record| record.kept_bytes()) else {
            return;
        };
        if kept < *last_reported + STORED_STEP_BYTES {
            return;
        }
        *last_reported = kept;
        self.context.control.send_event(CoreEvent::AnswerKept {
            request: self.request,
            bytes: Some(ByteSize(kept as u64)),
        });
    }

    async fn next_chunk(&self, body: &mut Incoming) -> Result<Option<Bytes>, ReadFault> {
        let pause = Duration::from_millis(self.context.config.answer_pause_ms);
        loop {
            let frame = time::timeout(pause, body.frame()).await;
            let Ok(frame) = frame else {
                return Err(ReadFault::Lost);
            };
            match frame {
                None => return Ok(None),
                Some(Err(_)) => return Err(ReadFault::Lost),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    async fn read_all(&self, body: &mut Incoming, limit: usize) -> Result<Bytes, ReadFault> {
        let mut first = Bytes::new();
        let mut joined = BytesMut::new();
        while let Some(chunk) = self.next_chunk(body).await? {
            if first.is_empty() && joined.is_empty() {
                first = chunk;
                continue;
            }
            if joined.is_empty() {
                joined.extend_from_slice(&first);
            }
            joined.extend_from_slice(&chunk);
            if joined.len() > limit {
                return Err(ReadFault::TooLarge);
            }
        }
        Ok(if joined.is_empty() {
            first
        } else {
            joined.freeze()
        })
    }

    async fn read_json(&mut self, head: AnswerHead, mut body: Incoming) -> ReadResult {
        let limit = self.context.config.engine_body_bytes;
        let text = match self.read_all(&mut body, limit).await {
            Ok(text) => text,
            Err(ReadFault::Lost) => return (AttemptOutcome::LostBeforeAnswer, None),
            Err(ReadFault::TooLarge) => return (AttemptOutcome::Garbage, None),
        };
        let tokens = service::answer_tokens(&text);
        if head.status.is_success() && tokens.is_none() {
            return (AttemptOutcome::Garbage, None);
        }
        let tokens = tokens.unwrap_or(0);
        self.record_service(service::engine_service(self.request_bytes, tokens));
        self.caller
            .send_complete(with_length(head, text.len()), text);
        (AttemptOutcome::Whole, None)
    }

    async fn read_plain(&mut self, head: AnswerHead, mut body: Incoming) -> ReadResult {
        self.record_service(ServiceUnits(service::PLAIN_CALL_UNITS));
        let length = body.size_hint().exact();
        let kept = self.context.config.kept_answer_bytes as u64;
        if length.is_some_and(|bytes| bytes <= kept) {
            let Ok(text) = self.read_all(&mut body, usize::MAX).await else {
                return (AttemptOutcome::LostBeforeAnswer, None);
            };
            self.caller.send_complete(with_outcome(head), text);
            return (AttemptOutcome::Whole, None);
        }
        self.caller.begin(with_outcome(head));
        let (mut passed, mut last_reported) = (0, 0);
        loop {
            // A caller that knows the length may disconnect right after the last byte, which must
            // not be treated as a cancellation. So the answer ends here, without another read.
            if length == Some(passed) {
                return (AttemptOutcome::Whole, Some(body));
            }
            match self.next_chunk(&mut body).await {
                Ok(Some(chunk)) => {
                    passed += chunk.len() as u64;
                    self.caller.push(chunk).await;
                    self.report_stored_bytes(&mut last_reported);
                }
                Ok(None) => return (AttemptOutcome::Whole, None),
                Err(_) => return (AttemptOutcome::CutAt(passed), None),
            }
        }
    }

    async fn read_events(&mut self, head: AnswerHead, mut body: Incoming) -> ReadResult {
        let start_event = self.order.resume_at;
        let cut_outcome = |passed: u64| match passed {
            0 => AttemptOutcome::LostBeforeAnswer,
            _ => AttemptOutcome::CutAt(passed),
        };
        if !is_event_stream(&head.headers) {
            return (
                match start_event {
                    0 => AttemptOutcome::Garbage,
                    _ => AttemptOutcome::CutAt(start_event),
                },
                None,
            );
        }
        let resumed = resumed_at(&head.headers);
        *self.can_resume = resumed.is_some();
        // An endpoint that can't resume starts from the beginning, which the caller already has:
        // passing it on would duplicate that part.
        if start_event > 0 && resumed != Some(start_event) {
            *self.can_resume = false;
            return (AttemptOutcome::CutAt(start_event), None);
        }
        let mut head = Some(head);
        let mut splitter = EventSplitter::new(self.context.config.event_bytes);
        let mut passed = start_event;
        let (mut last_reported, mut kept) = (Instant::now(), 0);
        loop {
            let Ok(Some(chunk)) = self.next_chunk(&mut body).await else {
                return (cut_outcome(passed), None);
            };
            let batch = match splitter.push(chunk) {
                Ok(Some(batch)) => batch,
                Ok(None) => continue,
                Err(_) if passed == 0 => return (AttemptOutcome::Garbage, None),
                Err(_) => return (AttemptOutcome::CutAt(passed), None),
            };
            if let Some(head) = head.take() {
                self.caller.begin(without_length(head));
            }
            self.caller.push(batch.bytes).await;
            self.report_stored_bytes(&mut kept);
            passed += batch.count;
            self.record_service(service::engine_service(
                self.request_bytes,
                passed - start_event,
            ));
            if batch.done {
                return (AttemptOutcome::Whole, Some(body));
            }
            self.report_progress(&mut last_reported);
        }
    }

    fn report_progress(&self, last_reported: &mut Instant) {
        let interval = Duration::from_millis(self.context.config.progress_ms);
        if last_reported.elapsed() < interval {
            return;
        }
        *last_reported = Instant::now();
        self.context.control.send_event(CoreEvent::Progress {
            request: self.request,
            attempt: self.order.attempt,
            service: ServiceUnits(self.meter.load(Ordering::Relaxed)),
        });
    }
}

fn is_event_stream(fields: &HeaderMap) -> bool {
    fields
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|text| text.starts_with("text/event-stream"))
}

fn resumed_at(fields: &HeaderMap) -> Option<u64> {
    fields.get(headers::RESUMED_AT)?.to_str().ok()?.parse().ok()
}

fn without_length(mut head: AnswerHead) -> AnswerHead {
    head.headers.remove(header::CONTENT_LENGTH);
    head.headers.remove(headers::RESUMED_AT);
    head
}

fn with_length(head: AnswerHead, length: usize) -> AnswerHead {
    let mut head = with_outcome(head);
    head.headers
        .insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    head
}

/// Adds the outcome "ran" to an endpoint's own error answer: the request reached the endpoint and
/// ran as far as the error states.
fn with_outcome(mut head: AnswerHead) -> AnswerHead {
    let is_error = head.status.is_client_error() || head.status.is_server_error();
    if is_error {
        let ran = headers::outcome_value(RunOutcome::Ran);
        head.headers.insert(headers::OUTCOME, ran);
    }
    head
}
