//! Listeners for balancers' readiness probes and for metrics scrapes.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::http::RequestHead;
use super::http::WireStream;
use super::shared::SharedState;

/// Largest request head, in bytes; balancers send a few hundred.
const MAX_PROBE_HEAD_BYTES: usize = 4_096;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// The readiness probe: 200 while this router takes calls, else 503.
    Readiness,
    /// The metrics as text.
    Metrics,
}

/// Serves a listener until the router stops.
pub async fn serve_listener(shared: Arc<SharedState>, listener: TcpListener, kind: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_probe_connection(Arc::clone(&shared), stream, kind));
            }
            Err(fault) => {
                spdlog::warn!("readiness: step=accept fault=\"{fault}\"");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

/// Serves the requests of one connection, a readiness probe's or a metrics scrape's. The path is
/// not checked.
async fn serve_probe_connection(shared: Arc<SharedState>, stream: TcpStream, kind: ListenerKind) {
    let mut client = WireStream::new(stream);
    loop {
        match RequestHead::take(&mut client.buffer, MAX_PROBE_HEAD_BYTES) {
            Ok(Some(_)) => {
                let answer = answer(&shared, kind);
                if client.send(&answer).await.is_err() {
                    return;
                }
            }
            Ok(None) => match client.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            },
            Err(_) => return,
        }
    }
}

fn answer(shared: &SharedState, kind: ListenerKind) -> Vec<u8> {
    match kind {
        ListenerKind::Readiness => {
            let line = if is_ready(shared) {
                "200 OK"
            } else {
                "503 Service Unavailable"
            };
            format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").into_bytes()
        }
        ListenerKind::Metrics => {
            let body = shared.metrics.text();
            let length = body.len();
            let mut out = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\r\n"
            )
            .into_bytes();
            out.extend_from_slice(&body);
            out
        }
    }
}

/// Returns whether this router should get new callers: its routes are known, and it is neither
/// draining nor overloaded.
#[must_use]
pub fn is_ready(shared: &SharedState) -> bool {
    let stays = !shared.shutdown_stages.draining.is_cancelled();
    shared.routes().is_some() && stays && !shared.is_overloaded()
}
