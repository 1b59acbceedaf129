//! The control thread: owns the decision core, passes events to it and distributes its actions.
//!
//! It is a single thread, so control state needs no locks. It ticks the core every [`TICK`] and
//! blocks between events.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::configs::CoreConfig;
use crate::core::RouterCore;
use crate::core::RouterIdentity;
use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::event::RequestFacts;
use crate::core::state::CoreState;
use crate::entry::answers::AnswerStore;
use crate::entry::catalog::EntryCatalog;
use crate::units::Moment;
use crate::units::RequestId;
use crate::units::RouterIncarnation;

use super::message::ControlInput;
use super::message::DispatchOrder;
use super::message::RequestCommand;
use super::message::RouterCommand;

/// Time between two ticks of the core.
pub const TICK: Duration = Duration::from_millis(5);

/// Monotonic clock shared by the core and the traffic threads; 0 at the daemon's start.
/// It stops while the host is suspended, and so do the deadlines measured with it.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock that is 0 now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock's start, in microseconds.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

/// Handle by which traffic threads reach the control thread.
#[derive(Debug, Clone)]
pub struct ControlLink {
    inputs: mpsc::Sender<ControlInput>,
    /// The shared clock.
    pub clock: MonotonicClock,
    /// Incarnation of this router process.
    pub incarnation: RouterIncarnation,
    /// Catalog of the publication in force.
    pub catalog: watch::Receiver<Arc<EntryCatalog>>,
    /// True once a drain has finished and no request is in flight.
    pub drained: watch::Receiver<bool>,
    /// Answers that later requests with the same ticket can join.
    pub answers: Arc<AnswerStore>,
}

impl ControlLink {
    /// Sends an event to the core; it is dropped if the control thread has ended.
    pub fn send_event(&self, event: CoreEvent) {
        self.input(ControlInput::Event(event));
    }

    /// Reports a request's arrival to the core and returns the channel of commands for it.
    #[must_use]
    pub fn arrived(&self, facts: RequestFacts) -> UnboundedReceiver<RequestCommand> {
        let (commands, receiver) = unbounded_channel();
        self.input(ControlInput::Arrived { facts, commands });
        receiver
    }

    /// Runs a query on the core's state; `None` if the control thread has ended.
    pub async fn inspect<T: Send + 'static>(
        &self,
        query: impl FnOnce(&CoreState) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.input(ControlInput::Inspect(Box::new(move |state| {
            let _ = sender.send(query(state));
        })));
        receiver.await.ok()
    }

    /// Ends the control thread once it has handled all earlier inputs.
    pub fn stop(&self) {
        self.input(ControlInput::Stop);
    }

    fn input(&self, input: ControlInput) {
        let _ = self.inputs.send(input);
    }
}

/// A running control thread.
#[derive(Debug)]
pub struct ControlThread {
    /// Handle that sends it inputs.
    pub link: ControlLink,
    /// Its commands that concern no single request.
    pub commands: UnboundedReceiver<RouterCommand>,
    /// Join handle of the thread.
    pub handle: JoinHandle<()>,
}

/// Starts the control thread.
///
/// # Errors
/// If the thread can't be spawned.
pub fn start(
    identity: RouterIdentity,
    config: CoreConfig,
    seed: u64,
) -> Result<ControlThread, io::Error> {
    let (inputs, receiver) = mpsc::channel();
    let (commands_sender, commands) = unbounded_channel();
    let (catalog_sender, catalog) = watch::channel(Arc::default());
    let (drained_sender, drained) = watch::channel(false);
    let answers = Arc::new(AnswerStore::default());
    let link = ControlLink {
        inputs,
        clock: MonotonicClock::start(),
        incarnation: identity.incarnation,
        catalog,
        drained,
        answers: Arc::clone(&answers),
    };
    let state = ControlState {
        core: RouterCore::new(identity, config, seed),
        clock: link.clock,
        requests: BTreeMap::new(),
        commands: commands_sender,
        catalog: catalog_sender,
        drained: drained_sender,
        answers,
    };
    let handle = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || state.run(&receiver))?;
    Ok(ControlThread {
        link,
        commands,
        handle,
    })
}

struct ControlState {
    core: RouterCore,
    clock: MonotonicClock,
    requests: BTreeMap<RequestId, UnboundedSender<RequestCommand>>,
    commands: UnboundedSender<RouterCommand>,
    catalog: watch::Sender<Arc<EntryCatalog>>,
    drained: watch::Sender<bool>,
    answers: Arc<AnswerStore>,
}

impl ControlState {
    fn run(mut self, inputs: &mpsc::Receiver<ControlInput>) {
        let mut next_tick = Instant::now() + TICK;
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match inputs.recv_timeout(wait) {
                Ok(ControlInput::Event(event)) => self.event(event),
                Ok(ControlInput::Arrived { facts, commands }) => {
                    self.requests.insert(facts.request, commands);
                    self.event(CoreEvent::Arrived(facts));
                }
                Ok(ControlInput::Inspect(query)) => query(self.core.state()),
                Err(RecvTimeoutError::Timeout) => {}
                Ok(ControlInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_tick {
                self.event(CoreEvent::Tick);
                next_tick = Instant::now() + TICK;
            }
        }
    }

    fn event(&mut self, event: CoreEvent) {
        let left = match &event {
            CoreEvent::CallerLeft(request) => Some(*request),
            _ => None,
        };
        let publishes = matches!(event, CoreEvent::Published { .. });
        let actions = self.core.handle(self.clock.now(), event);
        for action in actions {
            self.carry_out(action);
        }
        if publishes {
            self.send_catalog();
        }
        if let Some(request) = left
            && self.core.state().requests.get(request).is_none()
        {
            self.requests.remove(&request);
        }
    }

    fn send_catalog(&self) {
        let catalog = &self.core.state().catalog;
        if self.catalog.borrow().revision() < catalog.revision {
            self.catalog
                .send_replace(Arc::new(EntryCatalog::new(Arc::clone(catalog))));
        }
    }

    fn carry_out(&mut self, action: CoreAction) {
        match action {
            CoreAction::Dispatch {
                request,
                attempt,
                endpoint,
                resume_at,
                not_after,
            } => self.command(
                request,
                RequestCommand::Dispatch(DispatchOrder {
                    attempt,
                    endpoint,
                    resume_at,
                    not_after,
                }),
            ),
            CoreAction::Cancel { request, attempt } => {
                self.command(request, RequestCommand::Cancel(attempt));
            }
            CoreAction::Refuse {
                request,
                reason,
                outcome,
                retry_after,
            } => self.command(
                request,
                RequestCommand::Refuse {
                    reason,
                    outcome,
                    retry_after,
                },
            ),
            CoreAction::Complete { request } => self.command(request, RequestCommand::Complete),
            CoreAction::OfferTicket { request, ticket } => {
                self.command(request, RequestCommand::OfferTicket(ticket));
            }
            CoreAction::JoinAnswer { request, original } => {
                self.command(request, RequestCommand::JoinAnswer(original));
            }
            CoreAction::Forward { request, host } => {
                self.command(request, RequestCommand::Forward(host));
            }
            CoreAction::ForgetAnswer { request } => self.answers.forget(request),
            CoreAction::Drained => {
                self.drained.send_replace(true);
            }
            other => self.send_router_command(other),
        }
    }

    fn command(&mut self, request: RequestId, command: RequestCommand) {
        let sender = if command.is_last() {
            self.requests.remove(&request)
        } else {
            self.requests.get(&request).cloned()
        };
        if let Some(sender) = sender {
            let _ = sender.send(command);
        }
    }

    fn send_router_command(&self, action: CoreAction) {
        let command = match action {
            CoreAction::Send { host, message } => RouterCommand::Send { host, message },
            CoreAction::Connect { host, address } => RouterCommand::Connect { host, address },
            CoreAction::Disconnect { host } => RouterCommand::Disconnect(host),
            CoreAction::WatchSource(on) => RouterCommand::WatchSource(on),
            CoreAction::AdoptText { revision, text } => RouterCommand::AdoptText { revision, text },
            CoreAction::WatchLoad { endpoint, on } => RouterCommand::WatchLoad { endpoint, on },
            CoreAction::OrderModel {
                endpoint,
                pool,
                fence,
            } => RouterCommand::OrderModel {
                endpoint,
                pool,
                fence,
            },
            _ => return,
        };
        let _ = self.commands.send(command);
    }
}
