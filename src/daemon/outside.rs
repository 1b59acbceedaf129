//! Carrying out what the core wants done that concerns no single request.

use std::sync::Arc;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::sync::CancellationToken;

use crate::core::event::CoreEvent;
use crate::endpoint::load::LoadWatches;
use crate::endpoint::orders::order_model;
use crate::entry::context::EntryContext;
use crate::publication;

use super::message::OutsideCommand;

/// Carries out commands until `closing` is cancelled or the control thread ends.
pub async fn run(
    context: Arc<EntryContext>,
    mut commands: UnboundedReceiver<OutsideCommand>,
    closing: CancellationToken,
) {
    let mut watches = LoadWatches::default();
    loop {
        let command = tokio::select! {
            () = closing.cancelled() => return,
            command = commands.recv() => command,
        };
        let Some(command) = command else {
            return;
        };
        match command {
            OutsideCommand::WatchLoad { endpoint, on } => {
                watches.switch(&context, endpoint, on, &closing);
            }
            OutsideCommand::OrderModel {
                endpoint,
                pool,
                fence,
            } => {
                tokio::spawn(order_model(Arc::clone(&context), endpoint, pool, fence));
            }
            OutsideCommand::AdoptText { revision, text } => {
                match publication::adopt(revision, &text) {
                    Ok(catalog) => context.control.tell(CoreEvent::Published {
                        catalog: Arc::new(catalog),
                        text,
                    }),
                    Err(faults) => {
                        spdlog::warn!("config: revision {revision} from a peer refused: {faults}.");
                    }
                }
            }
            OutsideCommand::Send { .. }
            | OutsideCommand::Connect { .. }
            | OutsideCommand::Disconnect(_)
            | OutsideCommand::WatchPlatform(_) => {}
        }
    }
}
