//! The sources over HTTP.
//!
//! The configuration service answers `GET` with the publication and its revision as entity tag,
//! such as `ETag: "42"`. A watch is a long poll: the same request with `If-None-Match: "42"` and
//! `Prefer: wait=30` (RFC 7240) is answered when there is another revision, or with 304 after that
//! many seconds.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ETAG;
use http::header::HeaderName;
use http::header::IF_NONE_MATCH;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::publication::MAX_PUBLICATION_BYTES;
use crate::settings::SourceTiming;
use crate::units::ConfigRevision;

use super::ConfigSource;
use super::ConfigText;
use super::HostSource;
use super::error::SourceError;
use super::error::SourceFault;
use super::error::SourceStep;
use super::hosts::HostList;
use super::hosts::MAX_HOSTS_BYTES;

const PREFER: HeaderName = HeaderName::from_static("prefer");

/// Reads a value from a URL.
#[derive(Debug)]
struct HttpReader {
    url: SmolStr,
    client: Client<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl HttpReader {
    fn new(url: &str, timing: &SourceTiming) -> Self {
        Self {
            url: SmolStr::new(url),
            client: Client::builder(TokioExecutor::new()).build_http(),
            timeout: Duration::from_millis(timing.timeout_ms),
        }
    }

    fn error(&self, step: SourceStep, fault: SourceFault) -> Report<SourceError> {
        Report::new(SourceError {
            step,
            source: self.url.clone(),
            fault,
        })
    }

    /// Sends a request and reads the whole answer, within the time `limit` and up to `max_bytes`.
    async fn get(
        &self,
        step: SourceStep,
        request: http::request::Builder,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Report<SourceError>> {
        let request = request
            .uri(self.url.as_str())
            .body(Empty::new())
            .map_err(|error| {
                self.error(step, SourceFault::Unreachable)
                    .attach(error.to_string())
            })?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|error| {
                self.error(step, SourceFault::Unreachable)
                    .attach(error.to_string())
            })?;
            self.body(step, answer, max_bytes).await
        };
        timeout(limit, exchange)
            .await
            .map_err(|_| self.error(step, SourceFault::TimedOut))?
    }

    async fn body(
        &self,
        step: SourceStep,
        answer: Response<Incoming>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Report<SourceError>> {
        let (parts, body) = answer.into_parts();
        let whole = Limited::new(body, max_bytes).collect().await;
        let text = whole.map_err(|error| {
            let fault = if error.is::<LengthLimitError>() {
                SourceFault::TooLarge(max_bytes)
            } else {
                SourceFault::Unreachable
            };
            self.error(step, fault).attach(error.to_string())
        })?;
        Ok(Response::from_parts(parts, text.to_bytes()))
    }

    fn status(&self, step: SourceStep, status: StatusCode) -> Report<SourceError> {
        self.error(step, SourceFault::Status(status.as_u16()))
    }
}

/// Reads publications from the configuration service.
#[derive(Debug)]
pub struct HttpConfigSource {
    reader: HttpReader,
    hold: Duration,
    pause: Duration,
}

impl HttpConfigSource {
    /// Creates a source for a URL that has passed the check of the settings.
    #[must_use]
    pub fn new(url: &str, timing: &SourceTiming) -> Self {
        Self {
            reader: HttpReader::new(url, timing),
            hold: Duration::from_secs(timing.watch_s),
            pause: Duration::from_millis(timing.retry_ms),
        }
    }

    fn config_text(
        &self,
        step: SourceStep,
        answer: Response<Bytes>,
    ) -> Result<ConfigText, Report<SourceError>> {
        if answer.status() != StatusCode::OK {
            return Err(self.reader.status(step, answer.status()));
        }
        let Some(revision) = revision_of(&answer) else {
            return Err(self.reader.error(step, SourceFault::NoRevision));
        };
        Ok(ConfigText {
            revision,
            text: answer.into_body(),
        })
    }
}

/// The revision in an answer's entity tag.
fn revision_of(answer: &Response<Bytes>) -> Option<ConfigRevision> {
    let tag = answer.headers().get(ETAG)?.to_str().ok()?;
    let tag = tag.strip_prefix("W/").unwrap_or(tag);
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    let revision: ConfigRevision = digits.parse().ok()?;
    (revision.0 > 0).then_some(revision)
}

impl ConfigSource for HttpConfigSource {
    async fn read(&self) -> Result<ConfigText, Report<SourceError>> {
        let step = SourceStep::ReadConfig;
        let limit = self.reader.timeout;
        let request = Request::builder();
        let answer = self
            .reader
            .get(step, request, limit, MAX_PUBLICATION_BYTES)
            .await?;
        self.config_text(step, answer)
    }

    async fn watch(
        &self,
        after: ConfigRevision,
    ) -> Result<Option<ConfigText>, Report<SourceError>> {
        let step = SourceStep::WatchConfig;
        let start = Instant::now();
        let request = Request::builder()
            .header(IF_NONE_MATCH, format!("\"{after}\""))
            .header(PREFER, format!("wait={}", self.hold.as_secs()));
        let limit = self.hold + self.reader.timeout;
        let answer = self
            .reader
            .get(step, request, limit, MAX_PUBLICATION_BYTES)
            .await?;
        let unchanged = answer.status() == StatusCode::NOT_MODIFIED
            || (answer.status() == StatusCode::OK && revision_of(&answer) == Some(after));
        if unchanged {
            // A service or HTTP gateway that does not hold watches open answers at once; without
            // this pause each router would poll as fast as the network allows.
            sleep_until(start + self.pause.min(self.hold)).await;
            return Ok(None);
        }
        let news = self.config_text(step, answer)?;
        if news.revision < after {
            let fault = SourceFault::OldRevision {
                received: news.revision,
                seen: after,
            };
            return Err(self.reader.error(step, fault));
        }
        Ok(Some(news))
    }
}

/// Reads the host list from a service.
#[derive(Debug)]
pub struct HttpHostSource {
    reader: HttpReader,
}

impl HttpHostSource {
    /// Creates a source for a URL that has passed the check of the settings.
    #[must_use]
    pub fn new(url: &str, timing: &SourceTiming) -> Self {
        Self {
            reader: HttpReader::new(url, timing),
        }
    }
}

impl HostSource for HttpHostSource {
    async fn read(&self) -> Result<HostList, Report<SourceError>> {
        let step = SourceStep::ReadHosts;
        let limit = self.reader.timeout;
        let answer = self
            .reader
            .get(step, Request::builder(), limit, MAX_HOSTS_BYTES)
            .await?;
        if answer.status() != StatusCode::OK {
            return Err(self.reader.status(step, answer.status()));
        }
        HostList::read(answer.body())
            .map_err(|faults| self.reader.error(step, SourceFault::Faulty(faults)))
    }
}
