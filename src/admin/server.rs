//! The admin listener.
//!
//! `GET /health` and `GET /ready` are open, for balancers; all other routes need the bearer
//! credential. Request bodies are not read, because no route has one.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::ETAG;
use http::header::WWW_AUTHENTICATE;
use serde::Serialize;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use warp::Filter;
use warp::path::FullPath;

use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::daemon::control::ControlLink;
use crate::daemon::logs;
use crate::peers::mesh::PeerMesh;
use crate::peers::traffic::TrafficCounters;
use crate::report::fairness::SampleReport;

use super::records::RouterRecords;
use super::route::AdminRoute;
use super::route::RouteFault;
use super::status::RouterStatus;
use super::team_view::team_status;
use super::views;

/// Timeout for the control thread, which answers within microseconds unless it is stuck.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all requests to the admin API.
pub struct AdminContext {
    /// Handle of the control thread.
    pub control: ControlLink,
    /// The router's records.
    pub records: Arc<RouterRecords>,
    /// Connections to peers, for their counters.
    pub mesh: Option<PeerMesh>,
    credential: [u8; 32],
}

/// An answer, or the problem that is reported instead.
type AdminResult = Result<Response<Bytes>, AdminProblem>;

/// Why a request can't be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdminProblem {
    NoCredential,
    Route(RouteFault),
    NoTeam,
    NoPublication,
    ControlUnavailable,
    EncodingFailed,
}

impl AdminContext {
    /// Creates a context that admits requests with this bearer credential.
    #[must_use]
    pub fn new(
        control: ControlLink,
        records: Arc<RouterRecords>,
        mesh: Option<PeerMesh>,
        credential: &str,
    ) -> Self {
        Self {
            control,
            records,
            mesh,
            credential: Sha256::digest(credential.as_bytes()).into(),
        }
    }

    /// Compares hashes in constant time, so that the duration of a refusal reveals nothing about
    /// the credential.
    fn admits(&self, authorization: Option<&str>) -> bool {
        let shown = authorization.and_then(|value| value.strip_prefix("Bearer "));
        shown.is_some_and(|shown| {
            let hash: [u8; 32] = Sha256::digest(shown.as_bytes()).into();
            bool::from(hash.ct_eq(&self.credential))
        })
    }

    async fn inspect_core<T: Send + 'static>(
        &self,
        query: impl FnOnce(&CoreState) -> T + Send + 'static,
    ) -> Result<T, AdminProblem> {
        let answer = timeout(CONTROL_TIMEOUT, self.control.inspect(query)).await;
        answer
            .ok()
            .flatten()
            .ok_or(AdminProblem::ControlUnavailable)
    }

    async fn status(&self) -> Result<RouterStatus, AdminProblem> {
        let records = Arc::clone(&self.records);
        let mesh = self.mesh.clone();
        self.inspect_core(move |state| {
            let unused = TrafficCounters::default();
            let counters = mesh.as_ref().map_or(&unused, PeerMesh::counters);
            views::router_status(state, &records.board, counters, records.uptime_s())
        })
        .await
    }

    async fn answer(&self, route: AdminRoute) -> AdminResult {
        match route {
            AdminRoute::Health => self.inspect_core(|_| ()).await.map(|()| text("ok\n")),
            AdminRoute::Ready => self.ready().await,
            AdminRoute::Metrics => {
                let metrics = self.records.metrics.text(self.status().await?);
                metrics.map(text).map_err(|_| AdminProblem::EncodingFailed)
            }
            AdminRoute::Status => json_answer(&self.status().await?),
            AdminRoute::Teams => json_answer(&self.inspect_core(views::teams).await?),
            AdminRoute::Team(name) => {
                let team = self
                    .inspect_core(move |state| team_status(state, &name))
                    .await?;
                json_answer(&team.ok_or(AdminProblem::NoTeam)?)
            }
            AdminRoute::Endpoints => json_answer(&self.inspect_core(views::endpoints).await?),
            AdminRoute::Members => json_answer(&self.inspect_core(views::members).await?),
            AdminRoute::Publication => self.publication().await,
            AdminRoute::AnswerHistory => {
                let catalog = Arc::clone(&self.control.catalog.borrow().fleet);
                let host = self
                    .inspect_core(|state| state.identity.host.clone())
                    .await?;
                json_answer(&self.records.answer_report(&host, &catalog))
            }
            AdminRoute::SampleHistory => {
                let host = self
                    .inspect_core(|state| state.identity.host.to_string())
                    .await?;
                let samples = self.records.samples.all();
                json_answer(&SampleReport { host, samples })
            }
            AdminRoute::Drain => {
                spdlog::info!("admin: drain requested.");
                self.control.send_event(CoreEvent::DrainAsked);
                with_status(
                    json_answer(&json!({"draining": true})),
                    StatusCode::ACCEPTED,
                )
            }
            AdminRoute::LogLevel(level) => {
                logs::set_level(level);
                spdlog::info!("admin: log level set to {level:?}.");
                json_answer(&json!({ "level": level }))
            }
        }
    }

    async fn ready(&self) -> AdminResult {
        let readiness = self.inspect_core(views::readiness).await?;
        let status = if readiness.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        with_status(json_answer(&readiness), status)
    }

    async fn publication(&self) -> AdminResult {
        let published = self.inspect_core(|state| {
            let revision = state.catalog.revision;
            (revision, state.publication_text.clone())
        });
        let (revision, body) = published.await?;
        if revision.0 == 0 {
            return Err(AdminProblem::NoPublication);
        }
        let mut answer = answer_of(body, "application/json");
        if let Ok(tag) = HeaderValue::from_str(&format!("\"{revision}\"")) {
            answer.headers_mut().insert(ETAG, tag);
        }
        Ok(answer)
    }
}

impl AdminProblem {
    fn into_answer(self) -> Response<Bytes> {
        let (status, title) = match self {
            Self::NoCredential => (
                StatusCode::UNAUTHORIZED,
                "Send \"Authorization: Bearer CREDENTIAL\"",
            ),
            Self::Route(RouteFault::NoPath) => (StatusCode::NOT_FOUND, "Nothing is here"),
            Self::Route(RouteFault::OtherMethod) => (
                StatusCode::METHOD_NOT_ALLOWED,
                "The path takes another method",
            ),
            Self::NoTeam => (StatusCode::NOT_FOUND, "No such team is published"),
            Self::NoPublication => (StatusCode::NOT_FOUND, "No publication is in force"),
            Self::ControlUnavailable => (
                StatusCode::SERVICE_UNAVAILABLE,
                "The control thread does not answer",
            ),
            Self::EncodingFailed => (
                StatusCode::INTERNAL_SERVER_ERROR,
                "The answer can't be written",
            ),
        };
        let body = json!({"type": "about:blank", "title": title, "status": status.as_u16()});
        let mut answer = answer_of(body.to_string().into(), "application/problem+json");
        *answer.status_mut() = status;
        if self == Self::NoCredential {
            let scheme = HeaderValue::from_static("Bearer");
            answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        answer
    }
}

fn answer_of(body: Bytes, content_type: &'static str) -> Response<Bytes> {
    let mut answer = Response::new(body);
    let value = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

fn text(text: impl Into<String>) -> Response<Bytes> {
    answer_of(text.into().into(), "text/plain; version=0.0.4")
}

fn json_answer<T: Serialize>(value: &T) -> AdminResult {
    let body = serde_json::to_vec(value).map_err(|_| AdminProblem::EncodingFailed)?;
    Ok(answer_of(body.into(), "application/json"))
}

fn with_status(answer: AdminResult, status: StatusCode) -> AdminResult {
    answer.map(|mut answer| {
        *answer.status_mut() = status;
        answer
    })
}

/// The admin listener, bound but not serving yet.
#[derive(Debug)]
pub struct AdminServer {
    listener: TcpListener,
}

impl AdminServer {
    /// Binds the listener.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(listen: SocketAddr) -> Result<Self, io::Error> {
        let listener = TcpListener::bind(listen).await?;
        Ok(Self { listener })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    /// If the system can't report it.
    pub fn address(&self) -> Result<SocketAddr, io::Error> {
        self.listener.local_addr()
    }

    /// Serves until `closing` is cancelled.
    pub async fn serve(self, context: AdminContext, closing: CancellationToken) {
        let context = Arc::new(context);
        let shared = warp::any().map(move || Arc::clone(&context));
        let routes = warp::method()
            .and(warp::path::full())
            .and(warp::header::optional::<String>("authorization"))
            .and(shared)
            .then(handle);
        let server = warp::serve(routes).incoming(self.listener);
        server.graceful(closing.cancelled_owned()).run().await;
    }
}

async fn handle(
    method: Method,
    path: FullPath,
    authorization: Option<String>,
    context: Arc<AdminContext>,
) -> Response<Bytes> {
    let route = AdminRoute::of(&method, path.as_str());
    let open = route.as_ref().is_ok_and(AdminRoute::is_open);
    let answer = if !open && !context.admits(authorization.as_deref()) {
        Err(AdminProblem::NoCredential)
    } else {
        match route {
            Ok(route) => context.answer(route).await,
            Err(fault) => Err(AdminProblem::Route(fault)),
        }
    };
    answer.unwrap_or_else(AdminProblem::into_answer)
}
