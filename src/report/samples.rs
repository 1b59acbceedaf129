//! Periodic samples of a router's state, kept for an hour.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

use crate::core::state::CoreState;
use crate::core::tables::entry_pool::VIRTUAL_SCALE;
use crate::core::tables::owned_pool::OwnedPool;
use crate::units::PoolName;

/// Seconds between two samples.
pub const SAMPLE_INTERVAL_S: u64 = 10;

/// Maximum number of samples kept: one hour.
const MAX_SAMPLES: usize = 360;

/// State of a pool over the whole fleet, as known to the pool's owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSample {
    /// Number of teams with waiting requests at any router.
    pub backlogged: u32,
    /// Largest difference between any two backlogged teams in the service received per unit of
    /// share, in service units.
    pub gap_units: u64,
    /// Slots of all endpoints that accept new work.
    pub slots: u32,
    /// Slots leased to entry routers.
    pub leased: u32,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

/// State of one router at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterSample {
    /// Time of the sample, in seconds since 1970.
    pub at_s: u64,
    /// Pools that the router owned.
    pub pools: BTreeMap<PoolName, PoolSample>,
    /// Bytes of control traffic that the router has sent since its start.
    pub control_bytes: u64,
    /// Requests that arrived at the router and are not finished.
    pub requests: u64,
}

impl RouterSample {
    /// Takes a sample of the decision core's state.
    #[must_use]
    pub fn of(state: &CoreState, at_s: u64, control_bytes: u64) -> Self {
        let catalog = &state.catalog;
        let pools = state
            .owned
            .iter()
            .filter_map(|(id, pool)| {
                let name = catalog.pools.get(id)?.name.clone();
                Some((name, pool_sample(pool)))
            })
            .collect();
        Self {
            at_s,
            pools,
            control_bytes,
            requests: state.requests.len() as u64,
        }
    }
}

/// Computes a pool's sample from the state kept by its owner.
#[must_use]
pub fn pool_sample(pool: &OwnedPool) -> PoolSample {
    let times = || {
        let waiting = pool
            .accounts
            .values()
            .filter(|account| account.waits_since.is_some());
        waiting.map(|account| account.time)
    };
    let demands = || {
        let members = pool.members.values();
        members.flat_map(|member| member.teams.values())
    };
    let gap = match (times().min(), times().max()) {
        (Some(least), Some(most)) => most.saturating_sub(least) / VIRTUAL_SCALE,
        _ => 0,
    };
    PoolSample {
        backlogged: u32::try_from(times().count()).unwrap_or(u32::MAX),
        gap_units: u64::try_from(gap).unwrap_or(0),
        slots: pool.total(),
        leased: pool.assigned_slots.values().sum(),
        running: demands().map(|demand| demand.running).sum(),
        waiting: demands().map(|demand| demand.waiting).sum(),
    }
}

/// Samples of the last hour.
#[derive(Debug, Default)]
pub struct SampleHistory {
    samples: Mutex<VecDeque<RouterSample>>,
}

impl SampleHistory {
    /// Adds a sample and removes the oldest one if there are too many.
    pub fn push(&self, sample: RouterSample) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push_back(sample);
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// Returns all samples, oldest first.
    #[must_use]
    pub fn all(&self) -> Vec<RouterSample> {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.iter().cloned().collect()
    }
}
