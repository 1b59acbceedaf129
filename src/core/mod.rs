//! The decision core of one router: no I/O, no clock, no global randomness.
//!
//! A driver calls [`RouterCore::handle`] with the time and one [`CoreEvent`] and carries out
//! the returned [`CoreAction`]s in order. Two cores with the same identity, settings and seed
//! that handle the same events at the same times return the same actions.
//!
//! Terms: the router at which a request entered the fleet is its entry router. Each pool has one
//! owner, the router that grants the pool's slots to the entry routers; any router can have both
//! roles. The host list names routers and endpoints, and the configuration service provides
//! publications: the teams, pools and endpoints of the fleet, with a revision.
//!
//! Units: times are microseconds ([`Moment`]), service is weighted tokens for engines and weighted
//! calls for plain services ([`crate::units::ServiceUnits`]). Time never goes backwards. After the
//! process was suspended the driver passes the current time and does not make up for missed ticks.

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

/// Identity of a router. Read from its local settings, except for the incarnation, which is
/// made of the time and a random number at each start, so that a later one is higher.
#[derive(Debug, Clone)]
pub struct RouterIdentity {
    /// The host it runs on.
    pub host: HostName,
    /// Identifies this process; differs after each restart.
    pub incarnation: RouterIncarnation,
    /// Its host's failure domain.
    pub domain: DomainName,
    /// IP address and port at which peers connect to its peer listener.
    pub address: SmolStr,
}

/// The decision core of one router.
#[derive(Debug)]
pub struct RouterCore {
    state: CoreState,
}

impl RouterCore {
    /// Creates a core that knows only its own identity. `seed` initialises its random generator.
    #[must_use]
    pub fn new(identity: RouterIdentity, config: CoreConfig, seed: u64) -> Self {
        Self {
            state: CoreState::new(identity, config, seed),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
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

    /// Read access to the state, for reports and tests.
    #[must_use]
    pub fn state(&self) -> &CoreState {
        &self.state
    }
}
