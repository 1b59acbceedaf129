//! Counters that the measures of a run are computed from. The fleet and the naive version fill
//! the same tally.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaturn::catalog::FleetCatalog;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::units::EndpointId;
use verbenaturn::units::KindName;
use verbenaturn::units::PoolId;
use verbenaturn::units::TeamId;

use super::load::CallSpec;

/// Microseconds between samples of service and waiting.
const SAMPLE_US: u64 = 250_000;
/// Length of the warm-up in microseconds; it is left out of fairness gap and utilisation.
pub const WARM_UP_US: u64 = 2_000_000;

/// State of one call from arrival to end.
#[derive(Debug, Clone, Default)]
struct CallRecord {
    arrived: u64,
    started: Option<u64>,
    executions: u32,
    endings: u32,
    reported_not_run: bool,
    unrepeatable: bool,
    waiting: bool,
}

#[derive(Debug, Clone, Default)]
struct TeamSamples {
    waiting: i64,
    service_per_share: f64,
    samples: Vec<(f64, bool)>,
}

/// Counters of one run.
#[derive(Debug, Default)]
pub struct FleetTally {
    now: u64,
    shares: BTreeMap<TeamId, f64>,
    limits: BTreeMap<EndpointId, i64>,
    served_pools: BTreeMap<EndpointId, PoolId>,
    loads: BTreeMap<EndpointId, u32>,
    running: BTreeMap<EndpointId, i64>,
    waiting: BTreeMap<PoolId, i64>,
    free: BTreeMap<PoolId, i64>,
    idle: f64,
    capacity: f64,
    busy: f64,
    calls: BTreeMap<u64, CallRecord>,
    teams: BTreeMap<(PoolId, TeamId), TeamSamples>,
    sampled: u64,
    /// Control bytes sent, by router.
    pub(super) control: Vec<u64>,
    late: u64,
    crashes: BTreeMap<EndpointId, u32>,
    /// CPU time of all cores.
    pub(super) cost: Duration,
    events: u64,
    queued: BTreeMap<KindName, Vec<u64>>,
    refused: u64,
    unknown: u64,
    whole: u64,
    attempts: u64,
}

fn share_map(catalog: &FleetCatalog) -> BTreeMap<TeamId, f64> {
    let teams = catalog.teams.iter();
    teams
        .map(|(team, entry)| (*team, f64::from(entry.share.0)))
        .collect()
}

impl FleetTally {
    /// Creates an empty tally.
    pub fn new(catalog: &FleetCatalog, routers: usize) -> Self {
        let mut tally = Self {
            shares: share_map(catalog),
            control: vec![0; routers],
            ..Self::default()
        };
        for (endpoint, entry) in &catalog.endpoints {
            let slots = i64::from(entry.slots.0);
            tally.limits.insert(*endpoint, slots);
            tally.served_pools.insert(*endpoint, entry.pools[0]);
            *tally.free.entry(entry.pools[0]).or_default() += slots;
        }
        tally
    }

    /// Takes the teams' shares from a new catalog.
    pub fn shares_changed(&mut self, catalog: &FleetCatalog) {
        self.shares = share_map(catalog);
    }

    /// Advances the clock: adds up idle and used capacity and samples each team's service.
    #[allow(clippy::cast_precision_loss)]
    pub fn advance(&mut self, now: u64) {
        let span = (now - self.now) as f64;
        self.now = now;
        if now < WARM_UP_US {
            return;
        }
        for (pool, free) in &self.free {
            let waiting = self.waiting.get(pool).copied().unwrap_or(0);
            self.idle += span * waiting.min(*free).max(0) as f64;
        }
        self.capacity += span * self.limits.values().sum::<i64>() as f64;
        self.busy += span * self.running.values().sum::<i64>() as f64;
        while self.sampled + SAMPLE_US <= now {
            self.sampled += SAMPLE_US;
            for team in self.teams.values_mut() {
                team.samples
                    .push((team.service_per_share, team.waiting > 0));
            }
        }
    }

    /// Records that a call came from its caller.
    pub fn arrived(&mut self, call: u64, spec: &CallSpec) {
        let record = self.calls.entry(call).or_default();
        record.arrived = self.now;
        record.unrepeatable = spec.unrepeatable;
        let team = self.teams.entry((spec.pool, spec.team)).or_default();
        if team.samples.is_empty() {
            let before = self.sampled.saturating_sub(WARM_UP_US) / SAMPLE_US;
            team.samples = vec![(0.0, false); usize::try_from(before).unwrap_or(0)];
        }
    }

    /// Returns true if a call came from its caller.
    pub fn has_arrived(&self, call: u64) -> bool {
        self.calls.contains_key(&call)
    }

    /// Records that a call waits for a slot, or no longer does.
    pub fn set_waiting(&mut self, call: u64, spec: &CallSpec, waits: bool) {
        let record = self.calls.entry(call).or_default();
        if record.waiting == waits {
            return;
        }
        record.waiting = waits;
        let change = if waits { 1 } else { -1 };
        *self.waiting.entry(spec.pool).or_default() += change;
        self.teams
            .entry((spec.pool, spec.team))
            .or_default()
            .waiting += change;
    }

    fn move_running(&mut self, endpoint: EndpointId, change: i64) {
        let running = self.running.entry(endpoint).or_default();
        let limit = self.limits.get(&endpoint).copied().unwrap_or(0);
        let before = (limit - *running).max(0);
        *running += change;
        let after = (limit - *running).max(0);
        if let Some(pool) = self.served_pools.get(&endpoint) {
            *self.free.entry(*pool).or_default() += after - before;
        }
    }

    /// Returns the pool that an endpoint serves.
    pub fn pool_served_by(&self, endpoint: EndpointId) -> PoolId {
        self.served_pools
            .get(&endpoint)
            .copied()
            .unwrap_or_default()
    }

    /// Moves an endpoint to another pool and counts a model load.
    pub fn record_model_load(&mut self, endpoint: EndpointId, pool: PoolId) {
        let running = self.running.get(&endpoint).copied().unwrap_or(0);
        let limit = self.limits.get(&endpoint).copied().unwrap_or(0);
        let free = (limit - running).max(0);
        if let Some(before) = self.served_pools.insert(endpoint, pool) {
            *self.free.entry(before).or_default() -= free;
        }
        *self.free.entry(pool).or_default() += free;
        *self.loads.entry(endpoint).or_default() += 1;
    }

    /// Greatest number of models that one endpoint loaded.
    pub fn most_loads(&self) -> u32 {
        self.loads.values().max().copied().unwrap_or(0)
    }

    /// Number of models that all endpoints loaded.
    pub fn all_loads(&self) -> u32 {
        self.loads.values().sum()
    }

    /// Closes an endpoint to new work; its free slots no longer count as idle.
    pub fn close_endpoint(&mut self, endpoint: EndpointId) {
        let running = self.running.get(&endpoint).copied().unwrap_or(0);
        let limit = self.limits.insert(endpoint, 0).unwrap_or(0);
        if let Some(pool) = self.served_pools.get(&endpoint) {
            *self.free.entry(*pool).or_default() -= (limit - running).max(0);
        }
    }

    /// Records that an attempt starts on an endpoint.
    pub fn record_start(&mut self, call: u64, spec: &CallSpec, endpoint: EndpointId) {
        self.set_waiting(call, spec, false);
        self.move_running(endpoint, 1);
        self.attempts += 1;
        let now = self.now;
        let record = self.calls.entry(call).or_default();
        record.executions += 1;
        if record.started.is_none() {
            record.started = Some(now);
            let waited = now - record.arrived;
            self.queued
                .entry(spec.kind.clone())
                .or_default()
                .push(waited);
        }
    }

    /// Records that an attempt ended on an endpoint.
    pub fn record_stop(&mut self, endpoint: EndpointId) {
        self.move_running(endpoint, -1);
    }

    /// Returns the requests that run on an endpoint within its limit, and those queued above it.
    pub fn load_of(&self, endpoint: EndpointId) -> (u32, u32) {
        let running = self.running.get(&endpoint).copied().unwrap_or(0);
        let limit = self.limits.get(&endpoint).copied().unwrap_or(0);
        let above = (running - limit).max(0);
        let whole = |count: i64| u32::try_from(count).unwrap_or(0);
        (whole(running - above), whole(above))
    }

    /// Running requests as a percentage of the endpoint's limit, at least 100.
    pub fn load_percent(&self, endpoint: EndpointId) -> u64 {
        let running = self.running.get(&endpoint).copied().unwrap_or(0);
        let limit = self.limits.get(&endpoint).copied().unwrap_or(1).max(1);
        u64::try_from(running * 100 / limit).unwrap_or(0).max(100)
    }

    /// Adds service units to the team of a call.
    #[allow(clippy::cast_precision_loss)]
    pub fn add_service(&mut self, spec: &CallSpec, units: u64) {
        let share = self.shares.get(&spec.team).copied().unwrap_or(1.0);
        let team = self.teams.entry((spec.pool, spec.team)).or_default();
        team.service_per_share += units as f64 / share;
    }

    /// Records that the caller got the answer or refusal of a call.
    pub fn ended(&mut self, call: u64, spec: &CallSpec, outcome: RunOutcome, whole: bool) {
        let record = self.calls.entry(call).or_default();
        record.endings += 1;
        record.reported_not_run |= outcome == RunOutcome::NotRun;
        self.set_waiting(call, spec, false);
        self.whole += u64::from(whole);
        self.refused += u64::from(!whole && outcome == RunOutcome::NotRun);
        self.unknown += u64::from(!whole && outcome == RunOutcome::Unknown);
    }

    /// Records `bytes` of control traffic sent by a router.
    pub fn control(&mut self, router: usize, bytes: u64) {
        self.control[router] += bytes;
    }

    /// Records that new work went to an endpoint `after` microseconds after it was first listed as
    /// leaving.
    pub fn dispatched_to_leaving(&mut self, after: u64) {
        self.late = self.late.max(after);
    }

    /// Records a crash of an endpoint.
    pub fn crashed(&mut self, endpoint: EndpointId) {
        *self.crashes.entry(endpoint).or_default() += 1;
    }

    /// Records the CPU time that a core took for one event.
    pub fn record_event_cost(&mut self, cost: Duration) {
        self.cost += cost;
        self.events += 1;
    }
}

#[allow(clippy::cast_precision_loss)]
impl FleetTally {
    /// Greatest difference in service per share between two teams of a pool over any interval in
    /// which both had requests waiting, in service units per share.
    pub fn fairness_gap(&self) -> f64 {
        let mut worst: f64 = 0.0;
        let rows: Vec<_> = self.teams.iter().collect();
        for (place, ((pool, _), left)) in rows.iter().enumerate() {
            for ((other, _), right) in rows.iter().skip(place + 1) {
                if pool == other {
                    worst = worst.max(pair_gap(&left.samples, &right.samples));
                }
            }
        }
        worst
    }

    /// Fraction of the capacity that was free while a request that could use it waited.
    pub fn utilisation_loss(&self) -> f64 {
        self.idle / self.capacity.max(1.0)
    }

    /// Fraction of the capacity that was used.
    pub fn utilisation(&self) -> f64 {
        self.busy / self.capacity.max(1.0)
    }

    /// Control bytes per second of the router that sent the most.
    pub fn control_bytes_per_s(&self) -> f64 {
        let most = self.control.iter().max().copied().unwrap_or(0);
        most as f64 * 1e6 / self.now.max(1) as f64
    }

    /// Longest wait from arrival to first attempt, in seconds.
    pub fn max_wait(&self) -> f64 {
        let longest = self.queued.values().flatten().max();
        longest.copied().unwrap_or(0) as f64 / 1e6
    }

    /// 99th percentile of the wait for a first attempt of calls of one kind, in seconds.
    pub fn wait_p99(&self, kind: &str) -> f64 {
        let rows = self.queued.iter().filter(|(row, _)| row.as_str() == kind);
        let mut waits: Vec<u64> = rows.flat_map(|(_, waits)| waits).copied().collect();
        waits.sort_unstable();
        let place = waits.len() * 99 / 100;
        waits.get(place).copied().unwrap_or(0) as f64 / 1e6
    }

    /// Number of unrepeatable calls that ran more than once.
    pub fn doubled(&self) -> usize {
        let calls = self.calls.values();
        calls
            .filter(|record| record.unrepeatable && record.executions > 1)
            .count()
    }

    /// Number of calls that were reported as not run although they had run.
    pub fn false_not_run(&self) -> usize {
        let calls = self.calls.values();
        calls
            .filter(|record| record.reported_not_run && record.executions > 0)
            .count()
    }

    /// Number of calls that ended more than once.
    pub fn ended_twice(&self) -> usize {
        self.calls
            .values()
            .filter(|record| record.endings > 1)
            .count()
    }

    /// Number of calls that did not end.
    pub fn unended(&self) -> usize {
        self.calls
            .values()
            .filter(|record| record.endings == 0)
            .count()
    }

    /// Fraction of calls whose outcome was reported as unknown.
    pub fn unknown_share(&self) -> f64 {
        self.unknown as f64 / self.calls.len().max(1) as f64
    }

    /// Attempts per started call.
    pub fn amplification(&self) -> f64 {
        let started = self
            .calls
            .values()
            .filter(|record| record.executions > 0)
            .count();
        self.attempts as f64 / started.max(1) as f64
    }

    /// Longest time after an endpoint started to leave at which it still got new work, in seconds.
    pub fn late_dispatch(&self) -> f64 {
        self.late as f64 / 1e6
    }

    /// Number of endpoint crashes.
    pub fn endpoints_crashed(&self) -> u32 {
        self.crashes.values().sum()
    }

    /// Mean CPU time per event, in microseconds.
    pub fn event_micros(&self) -> f64 {
        self.cost.as_secs_f64() * 1e6 / self.events.max(1) as f64
    }

    /// Number of calls answered in full.
    pub fn whole(&self) -> u64 {
        self.whole
    }

    /// Number of calls refused without having run.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

fn pair_gap(left: &[(f64, bool)], right: &[(f64, bool)]) -> f64 {
    let mut worst: f64 = 0.0;
    let mut low = f64::INFINITY;
    let mut high = f64::NEG_INFINITY;
    for (one, two) in left.iter().zip(right) {
        if !(one.1 && two.1) {
            low = f64::INFINITY;
            high = f64::NEG_INFINITY;
            continue;
        }
        let difference = one.0 - two.0;
        low = low.min(difference);
        high = high.max(difference);
        worst = worst.max(high - low);
    }
    worst
}
