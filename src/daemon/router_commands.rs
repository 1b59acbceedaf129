//! Carries out the core's commands that concern no single request.

use std::sync::Arc;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::endpoint::load::LoadPolls;
use crate::endpoint::orders::send_model_order;
use crate::entry::context::EntryContext;
use crate::peers::mesh::PeerMesh;
use crate::sources::ConfigText;
use crate::sources::follow::WatchCommand;

use super::message::RouterCommand;
use super::sources::adopt;

/// Carries out the control thread's commands; see [`Self::run`].
#[derive(Debug)]
pub struct CommandRunner {
    /// Context shared by all requests.
    pub context: Arc<EntryContext>,
    /// Connections to peers; `None` in a router without peers.
    pub mesh: Option<PeerMesh>,
    /// Starts and stops watching the configuration service.
    pub watch: watch::Sender<WatchCommand>,
    /// Cancelled when the router stops.
    pub closing: CancellationToken,
}

impl CommandRunner {
    /// Carries out commands until `closing` is cancelled or the control thread ends.
    pub async fn run(self, mut commands: UnboundedReceiver<RouterCommand>) {
        let mut watches = LoadPolls::default();
        let closing = self.closing.clone();
        while let Some(Some(command)) = closing.run_until_cancelled(commands.recv()).await {
            self.carry_out(command, &mut watches);
        }
    }

    fn carry_out(&self, command: RouterCommand, watches: &mut LoadPolls) {
        let context = &self.context;
        match command {
            RouterCommand::WatchLoad { endpoint, on } => {
                watches.set_polling(context, endpoint, on, &self.closing);
            }
            RouterCommand::OrderModel {
                endpoint,
                pool,
                fence,
            } => {
                tokio::spawn(send_model_order(Arc::clone(context), endpoint, pool, fence));
            }
            RouterCommand::AdoptText { revision, text } => {
                adopt(context, ConfigText { revision, text });
            }
            RouterCommand::WatchSource(on) => {
                context.records.board.watches(on);
                self.watch.send_modify(|order| {
                    order.on = on;
                    order.after = context.control.catalog.borrow().revision();
                });
            }
            RouterCommand::Send { .. }
            | RouterCommand::Connect { .. }
            | RouterCommand::Disconnect(_) => self.send_to_mesh(command),
        }
    }

    fn send_to_mesh(&self, command: RouterCommand) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        match command {
            RouterCommand::Send { host, message } => mesh.send(&host, message),
            RouterCommand::Connect { host, address } => mesh.connect(&host, &address),
            RouterCommand::Disconnect(host) => mesh.disconnect(&host),
            _ => {}
        }
    }
}
