//! The decision core of one router: no I/O, no clock, no global randomness.
//!
//! A driver calls [`RouterCore::handle`] with the time and one [`CoreEvent`] and carries out
//! the returned [`CoreAction`]s in order. Two cores with the same identity, settings and seed
//! that are told the same events at the same times return the same actions.
//!
//! Units: times are microseconds ([`Moment`]), service is weighted tokens or calls
//! ([`crate::units::ServiceUnits`]). Times never go back; a driver that was paused passes the
//! time as it is.

pub mod action;
pub mod event;
pub mod finish;
pub mod share;
pub mod state;
pub mod systems;
pub mod tables;

use std::collections::VecDeque;

use smol_str::SmolStr;

use crate::configs::CoreConfig;
use crate::units::DomainName;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RouterIncarnation;

use self::action::CoreAction;
use self::event::CoreEvent;
use self::state::CoreState;
use self::systems::CoreSystem;

/// Who a router is. Comes from its local settings; the incarnation is drawn at start.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// Its host.
    pub host: HostName,
    /// This life of it.
    pub incarnation: RouterIncarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// IP number and port of its peer listener, as peers shall dial it.
    pub address: SmolStr,
}

/// The decision core of one router.
#[derive(Debug)]
pub struct RouterCore {
    state: CoreState,
}

impl RouterCore {
    /// Makes a core that knows nothing but itself. `seed` feeds all its randomness.
    #[must_use]
    pub fn new(identity: RouterIdentity, config: CoreConfig, seed: u64) -> Self {
        Self {
            state: CoreState::new(identity, config, seed),
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Moment, event: CoreEvent) -> Vec<CoreAction> {
        self.state.now = self.state.now.max(now);
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            for system in CoreSystem::ORDER {
                system.run(&mut self.state, &event);
            }
            queue.extend(self.state.take_loopback());
        }
        self.state.take_actions()
    }

    /// The state, for reports and tests.
    #[must_use]
    pub fn state(&self) -> &CoreState {
        &self.state
    }
}
