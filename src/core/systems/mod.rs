//! The systems of the decision core. Each is one file with one job and one settings file of
//! the same name under `configs/`. Every event goes through all of them in [`CoreSystem::ORDER`].

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

/// All systems.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoreSystem {
    /// Who the routers are.
    Membership,
    /// Pinging other routers and passing news on.
    Probing,
    /// Which publication is in force.
    Publication,
    /// No new work for endpoints that leave.
    Leaving,
    /// At most one execution of unrepeatable requests.
    Tickets,
    /// New requests, bounded queues, deadlines.
    Admission,
    /// Requests that crash endpoints. Before the systems that act on the same ends and reports.
    Quarantine,
    /// What becomes of attempts: progress, ends, retries.
    Attempts,
    /// Handing over and finishing before the router ends.
    Draining,
    /// How much endpoints are given.
    Limits,
    /// Sharing out the slots of owned pools.
    Ownership,
    /// Which models endpoints serve.
    Orders,
    /// Taking in allotments and picking who runs next.
    Dispatch,
    /// Telling owners of demand and returned slots.
    Reporting,
}

impl CoreSystem {
    /// The order in which an event passes the systems.
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
