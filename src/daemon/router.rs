//! A running router.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use error_stack::Report;
use error_stack::ResultExt;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::configs::CoreConfig;
use crate::configs::traffic::TrafficConfig;
use crate::core::RouterIdentity;
use crate::core::event::CoreEvent;
use crate::entry::context::EntryContext;
use crate::entry::front::CallerFront;

use super::control;
use super::control::ControlLink;
use super::outside;

/// What a router is made of.
#[derive(Debug, Clone)]
pub struct RouterParts {
    /// Who it is.
    pub identity: RouterIdentity,
    /// IP number and port for callers.
    pub callers: SocketAddr,
    /// Settings of the decision core.
    pub core: CoreConfig,
    /// Settings of the traffic side.
    pub traffic: TrafficConfig,
    /// Seed of the core's randomness.
    pub seed: u64,
}

/// A step of a start that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// Starting the control thread.
    ControlThread,
    /// Listening for callers.
    CallerListener,
}

/// A router that could not start.
#[derive(Debug)]
pub struct StartError {
    /// The step that failed.
    pub step: StartStep,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "start failed at {:?}", self.step)
    }
}

impl std::error::Error for StartError {}

/// A router that runs. Dropping it does not end it; see [`Router::stop`].
#[derive(Debug)]
pub struct Router {
    /// What its requests share.
    pub context: Arc<EntryContext>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    closing: CancellationToken,
    tasks: TaskTracker,
    thread: JoinHandle<()>,
}

impl Router {
    /// Starts a router on the current runtime.
    ///
    /// # Errors
    /// At the step that failed.
    pub async fn start(parts: RouterParts) -> Result<Self, Report<StartError>> {
        let fault = |step| StartError { step };
        let started = control::start(parts.identity, parts.core, parts.seed)
            .change_context(fault(StartStep::ControlThread))?;
        let context = Arc::new(EntryContext::new(started.link, parts.traffic));
        let front = bind_front(parts.callers, &context)
            .await
            .change_context(fault(StartStep::CallerListener))?;
        let (front, callers) = front;
        let closing = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(front.serve(closing.clone()));
        tasks.spawn(outside::run(
            Arc::clone(&context),
            started.commands,
            closing.clone(),
        ));
        Ok(Self {
            context,
            callers,
            closing,
            tasks,
            thread: started.handle,
        })
    }

    /// The way to its control thread.
    #[must_use]
    pub fn control(&self) -> &ControlLink {
        &self.context.control
    }

    /// Begins a drain and waits until nothing is left in flight.
    pub async fn drain(&self) {
        self.control().tell(CoreEvent::DrainAsked);
        let mut drained = self.control().drained.clone();
        let _ = drained.wait_for(|drained| *drained).await;
    }

    /// Takes no more calls, lets every answer end, and ends the control thread.
    pub async fn stop(self) {
        self.closing.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.context.control.stop();
        let _ = tokio::task::spawn_blocking(move || self.thread.join()).await;
    }
}

async fn bind_front(
    address: SocketAddr,
    context: &Arc<EntryContext>,
) -> Result<(CallerFront, SocketAddr), io::Error> {
    let front = CallerFront::bind(address, Arc::clone(context)).await?;
    let address = front.address()?;
    Ok((front, address))
}
