//! The systems of the decision core. Each has one responsibility, its own module and, if it has
//! settings, a file of the same name under `configs/`. Every event passes through all systems in
//! [`CoreSystem::ORDER`].

pub mod admission;
pub mod attempts;
pub mod dispatch;
pub mod draining;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod orders;
pub mod ownership;
pub mod probing;
pub mod publication;
pub mod quarantine;
pub mod reporting;
pub mod tickets;

use super::event::CoreEvent;
use super::state::CoreState;

/// A system of the decision core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoreSystem {
    /// Tracks which routers are in the fleet and whether they are alive.
    Membership,
    /// Pings other routers and spreads gossip.
    Probing,
    /// Keeps the newest known publication in force.
    Publication,
    /// Stops new work for endpoints that are leaving.
    Leaving,
    /// Ensures that unrepeatable requests are executed at most once.
    Tickets,
    /// Admits new requests to bounded queues and enforces deadlines.
    Admission,
    /// Quarantines requests that crash endpoints. Runs before `Attempts`, which clears the running
    /// attempt that ended, and before `Limits`, which overwrites an endpoint's last known `life`:
    /// it needs both.
    Quarantine,
    /// Handles progress, ends and retries of attempts.
    Attempts,
    /// Hands over or finishes all requests before the router shuts down.
    Draining,
    /// Limits how many requests each endpoint runs concurrently.
    Limits,
    /// Allots the slots of the pools that this router owns.
    Ownership,
    /// Decides which models endpoints serve.
    Orders,
    /// Applies allotments and picks the next request to run.
    Dispatch,
    /// Reports demand and returned slots to pool owners.
    Reporting,
}

impl CoreSystem {
    /// The order in which an event passes through the systems.
    pub const ORDER: [Self; 14] = [
        Self::Membership,
        Self::Probing,
        Self::Publication,
        Self::Leaving,
        Self::Tickets,
        Self::Admission,
        Self::Quarantine,
        Self::Attempts,
        Self::Draining,
        Self::Limits,
        Self::Ownership,
        Self::Orders,
        Self::Dispatch,
        Self::Reporting,
    ];

    /// Runs this system on one event.
    pub fn run(self, state: &mut CoreState, event: &CoreEvent) {
        match self {
            Self::Membership => membership::run(state, event),
            Self::Probing => probing::run(state, event),
            Self::Publication => publication::run(state, event),
            Self::Leaving => leaving::run(state, event),
            Self::Tickets => tickets::run(state, event),
            Self::Admission => admission::run(state, event),
            Self::Quarantine => quarantine::run(state, event),
            Self::Attempts => attempts::run(state, event),
            Self::Draining => draining::run(state, event),
            Self::Limits => limits::run(state, event),
            Self::Orders => orders::run(state, event),
            Self::Ownership => ownership::run(state, event),
            Self::Dispatch => dispatch::run(state, event),
            Self::Reporting => reporting::run(state, event),
        }
    }
}
