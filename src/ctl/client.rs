//! Client for the admin listeners of routers.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

use super::exit::CtlError;
use super::exit::ExitKind;

/// Timeout of a whole request, after which a router is reported as not answering.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Client for the admin listener of one router.
#[derive(Debug, Clone)]
pub struct AdminClient {
    /// Address of the admin listener.
    pub address: SocketAddr,
    credential: String,
    client: Client<HttpConnector, Empty<Bytes>>,
}

/// Answers of all queried routers.
#[derive(Debug)]
pub struct FleetAnswers<T> {
    /// Answers, in the order of the routers in the arguments.
    pub answers: Vec<T>,
    /// Errors of the routers that did not answer, by address.
    pub missing: BTreeMap<String, String>,
}

impl AdminClient {
    /// Creates a client that authenticates with this credential.
    #[must_use]
    pub fn new(address: SocketAddr, credential: &str) -> Self {
        Self {
            address,
            credential: credential.to_owned(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a request without a body and returns the body of the answer.
    ///
    /// # Errors
    /// If the router can't be reached or answers with a status other than 2xx.
    pub async fn send(&self, method: Method, path: &str) -> Result<Bytes, CtlError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.credential))
            .body(Empty::new())
            .map_err(|error| self.error(&error.to_string()))?;
        let exchange = async {
            let answer = self.client.request(request).await;
            let answer = answer.map_err(|_| self.error("no connection"))?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|_| self.error("the answer broke off"))?;
            Ok((status, body.to_bytes()))
        };
        let answered = timeout(ADMIN_TIMEOUT, exchange).await;
        let (status, body) = answered.map_err(|_| self.error("no answer in time"))??;
        if status.is_success() {
            Ok(body)
        } else {
            Err(self.refusal(status, &body))
        }
    }

    /// Requests `path` and parses the answer as JSON.
    ///
    /// # Errors
    /// As [`Self::send`], and if the answer is not a JSON value of type `T`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let body = self.send(Method::GET, path).await?;
        serde_json::from_slice(&body)
            .map_err(|error| self.error(&format!("answer not understood: {error}")))
    }

    fn error(&self, message: &str) -> CtlError {
        CtlError::new(
            ExitKind::Unreachable,
            format!("{}: {message}", self.address),
        )
    }

    fn refusal(&self, status: StatusCode, body: &[u8]) -> CtlError {
        let problem: Value = serde_json::from_slice(body).unwrap_or_default();
        let title = problem.get("title").and_then(Value::as_str);
        let title = title.unwrap_or("no reason given");
        let message = format!("{}: {}: {title}", self.address, status.as_u16());
        let kind = if status == StatusCode::NOT_FOUND {
            ExitKind::Finding
        } else {
            ExitKind::Unreachable
        };
        CtlError::new(kind, message)
    }
}

/// Returns clients for the routers that the arguments name.
///
/// # Errors
/// If none is named or the credential can't be read.
pub fn clients(matches: &ArgMatches) -> Result<Vec<AdminClient>, CtlError> {
    let addresses: Vec<SocketAddr> = matches
        .get_many::<SocketAddr>("admin")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let file = matches.get_one::<PathBuf>("credential-file");
    let (false, Some(file)) = (addresses.is_empty(), file) else {
        let message = "name routers with --admin and their credential with --credential-file";
        return Err(CtlError::new(ExitKind::Usage, message));
    };
    let text = std::fs::read_to_string(file).map_err(|error| CtlError::file(file, &error))?;
    let credential = text.trim();
    let client = |address| AdminClient::new(address, credential);
    Ok(addresses.into_iter().map(client).collect())
}

/// Returns a client for the only router that the arguments name.
///
/// # Errors
/// As [`clients`], and if more than one is named.
pub fn one_client(matches: &ArgMatches) -> Result<AdminClient, CtlError> {
    let mut clients = clients(matches)?;
    match (clients.pop(), clients.is_empty()) {
        (Some(client), true) => Ok(client),
        _ => Err(CtlError::new(
            ExitKind::Usage,
            "name one router with --admin",
        )),
    }
}

/// Requests `path` from all routers and parses the answers as JSON.
///
/// # Errors
/// If no router answers: the error of the last one.
pub async fn query_all<T: DeserializeOwned>(
    clients: &[AdminClient],
    path: &str,
) -> Result<FleetAnswers<T>, CtlError> {
    let mut all = FleetAnswers {
        answers: Vec::new(),
        missing: BTreeMap::new(),
    };
    let mut last = None;
    let asked = clients.iter().map(|client| client.get::<T>(path));
    for (client, answer) in clients
        .iter()
        .zip(futures_util::future::join_all(asked).await)
    {
        match answer {
            Ok(answer) => all.answers.push(answer),
            Err(error) => {
                let address = client.address.to_string();
                all.missing.insert(address, error.to_string());
                last = Some(error);
            }
        }
    }
    match last {
        Some(error) if all.answers.is_empty() => Err(error),
        _ => Ok(all),
    }
}

/// Formats one line for each router that did not answer.
#[must_use]
pub fn missing_text(missing: &BTreeMap<String, String>) -> String {
    missing.values().fold(String::new(), |mut text, why| {
        let _ = writeln!(text, "no answer: {why}");
        text
    })
}
