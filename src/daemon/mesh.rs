//! Passes events of the peer mesh to the core and answers requests that peers forward.

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::core::event::CoreEvent;
use crate::entry::context::EntryContext;
use crate::entry::forwarding::serve_forwarded;
use crate::peers::forward_server::ForwardedCall;
use crate::peers::mesh::PeerEvent;

use super::control::ControlLink;

/// Passes events of the mesh to the control thread until the channel closes or the future is
/// dropped.
pub async fn forward_events(control: ControlLink, mut events: mpsc::Receiver<PeerEvent>) {
    while let Some(event) = events.recv().await {
        control.send_event(match event {
            PeerEvent::Opened { host, incarnation } => CoreEvent::PeerOpened { host, incarnation },
            PeerEvent::Closed { host } => CoreEvent::PeerClosed { host },
            PeerEvent::Message {
                from,
                incarnation,
                message,
            } => CoreEvent::Message {
                from,
                incarnation,
                message,
            },
        });
    }
}

/// Answers forwarded requests, each in its own task, until the channel closes or the future is
/// dropped.
pub async fn serve_calls(context: Arc<EntryContext>, mut calls: mpsc::Receiver<ForwardedCall>) {
    while let Some(call) = calls.recv().await {
        let serving = serve_forwarded(Arc::clone(&context), call);
        context.tasks.spawn(serving);
    }
}
