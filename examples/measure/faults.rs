//! Faults and operator actions that a run injects into the fleet.

use std::sync::Arc;

use verbenaturn::catalog::FleetCatalog;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::units::EndpointId;
use verbenaturn::units::FenceNumber;
use verbenaturn::units::PoolId;

use super::fleet::CoreFleet;
use super::fleet::SimulatedRouter;
use super::fleet::host;

/// Microseconds by which a stale host list lags behind the others.
const LIST_LAG_US: u64 = 4_000_000;

/// Microseconds that an endpoint takes to load a model.
const LOAD_US: u64 = 3_000_000;

/// A fault or operator action at one time of a scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetFault {
    /// A partition separates the routers below this index from the others.
    Partition(usize),
    /// The partition ends.
    Heal,
    /// A router restarts with empty state.
    Restart(usize),
    /// A router processes nothing for this many milliseconds.
    Pause(usize, u64),
    /// The host list marks an endpoint as leaving; the list of the second index's router lags.
    Leave(usize, usize),
    /// A router's host list now marks an endpoint as leaving.
    ShowLeaving(usize, usize),
    /// An endpoint finished loading the model of this pool.
    Loaded(usize, PoolId),
    /// An endpoint crashes and loses all its running requests.
    Crash(usize),
    /// Publishes a catalog with this revision; shares of teams with odd ids are multiplied by the
    /// factor.
    Publish(u64, u32),
    /// Loses this many messages per thousand and duplicates as many.
    Noise(u32),
}

impl CoreFleet {
    pub(super) fn fault(&mut self, fault: FleetFault) {
        match fault {
            FleetFault::Partition(cut) => self.start_partition(cut),
            FleetFault::Heal => self.heal(),
            FleetFault::Restart(router_index) => self.restart(router_index),
            FleetFault::Pause(router_index, millis) => {
                self.simulated_routers[router_index].paused_until_us = self.now + millis * 1_000;
            }
            FleetFault::Leave(place, lagging_router) => self.leave(place, lagging_router),
            FleetFault::ShowLeaving(place, router_index) => self.show_leaving(place, router_index),
            FleetFault::Loaded(place, pool) => {
                self.tally.record_model_load(self.names[place], pool);
            }
            FleetFault::Crash(place) => self.crash(place),
            FleetFault::Publish(revision, factor) => self.publish(revision, factor),
            FleetFault::Noise(per_mille) => self.noise = per_mille,
        }
    }

    fn start_partition(&mut self, cut: usize) {
        self.partition_cut = Some(cut);
        for left in 0..cut {
            for right in cut..self.simulated_routers.len() {
                self.deliver_event(left, CoreEvent::PeerClosed { host: host(right) });
                self.deliver_event(right, CoreEvent::PeerClosed { host: host(left) });
            }
        }
    }

    fn heal(&mut self) {
        self.partition_cut = None;
        for left in 0..self.simulated_routers.len() {
            for right in 0..self.simulated_routers.len() {
                self.open(left, right);
            }
        }
    }

    fn restart(&mut self, router_index: usize) {
        let life = self.simulated_routers[router_index].life;
        let core = self.make_core(router_index, life + 1);
        self.simulated_routers[router_index] = SimulatedRouter {
            core,
            life: life + 1,
            paused_until_us: 0,
        };
        let runs: Vec<_> = self
            .running
            .keys()
            .filter(|key| (key.0, key.1) == (router_index, life))
            .copied()
            .collect();
        for key in runs {
            let run = self
                .running
                .remove(&key)
                .expect("key was collected from the map");
            self.tally.record_stop(run.endpoint);
        }
        let calls: Vec<_> = self
            .calls
            .keys()
            .filter(|key| (key.0, key.1) == (router_index, life))
            .copied()
            .collect();
        for key in calls {
            let call = self
                .calls
                .remove(&key)
                .expect("key was collected from the map");
            self.close(call, RunOutcome::Unknown, false);
        }
        for other in 0..self.simulated_routers.len() {
            if other != router_index {
                self.deliver_event(
                    other,
                    CoreEvent::PeerClosed {
                        host: host(router_index),
                    },
                );
            }
        }
        self.begin(router_index);
    }

    fn leave(&mut self, place: usize, lagging_router: usize) {
        let endpoint = self.names[place];
        self.left.push((endpoint, self.now));
        self.tally.close_endpoint(endpoint);
        for router_index in
            (0..self.simulated_routers.len()).filter(|router_index| *router_index != lagging_router)
        {
            self.show_leaving(place, router_index);
        }
        // Gossip from peers informs the router whose list lags, unless a partition isolates it;
        // then only its own list does.
        let late = self.now + LIST_LAG_US;
        self.plan(late, FleetFault::ShowLeaving(place, lagging_router));
    }

    fn show_leaving(&mut self, place: usize, router_index: usize) {
        let leaving = vec![(self.names[place], 1)];
        let routers = Vec::new();
        self.deliver_event(router_index, CoreEvent::HostsListed { routers, leaving });
    }

    /// Applies a model order at an endpoint, which rejects stale fencing numbers and loads the
    /// model in `LOAD_US`.
    pub(super) fn order(&mut self, endpoint: EndpointId, pool: PoolId, fence: FenceNumber) {
        let seen = self.fences.entry(endpoint).or_default();
        if fence <= *seen {
            return;
        }
        *seen = fence;
        if self.tally.pool_served_by(endpoint) == pool {
            return;
        }
        let place = self.place_of(endpoint);
        self.plan(self.now + LOAD_US, FleetFault::Loaded(place, pool));
    }

    fn crash(&mut self, place: usize) {
        let endpoint = self.names[place];
        self.tally.crashed(endpoint);
        *self.lives.entry(endpoint).or_insert(1) += 1;
        let runs: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.endpoint == endpoint)
            .map(|(key, run)| (*key, run.attempt))
            .collect();
        for ((router_index, life, request), attempt) in runs {
            let outcome = AttemptOutcome::LostBeforeAnswer;
            self.end(router_index, life, request, attempt, outcome);
        }
    }

    fn publish(&mut self, revision: u64, factor: u32) {
        let mut catalog = FleetCatalog::clone(&self.catalog);
        catalog.revision.0 = revision;
        for (team, entry) in &mut catalog.teams {
            if team.0 % 2 == 1 {
                entry.share.0 *= factor;
            }
        }
        let catalog = Arc::new(catalog);
        if catalog.revision > self.catalog.revision {
            self.tally.shares_changed(&catalog);
            self.catalog = Arc::clone(&catalog);
        }
        for router_index in 0..self.simulated_routers.len() {
            let text = bytes::Bytes::new();
            let catalog = Arc::clone(&catalog);
            self.deliver_event(router_index, CoreEvent::Published { catalog, text });
        }
    }
}
