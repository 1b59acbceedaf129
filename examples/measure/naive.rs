//! The naive version: one queue for the whole fleet with complete, immediate knowledge. Each free
//! slot goes to the waiting team with the least service per share, charged with the true cost.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use verbenaturn::catalog::FleetCatalog;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::units::EndpointId;
use verbenaturn::units::PoolId;
use verbenaturn::units::TeamId;

use super::load::LoadPlan;
use super::tally::FleetTally;

/// Microseconds between progress updates of a running call.
const PROGRESS_US: u64 = 250_000;
/// Microseconds before which nothing starts, so that all first calls have arrived when the first
/// are chosen. The fleet's pool owners collect reports for the same time.
const BEGIN_US: u64 = 150_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Item {
    Begin,
    Call(u64),
    Progress(u64),
    Done(u64),
}

#[derive(Debug)]
struct Running {
    endpoint: EndpointId,
    since: u64,
    until: u64,
    seen: u64,
}

/// The naive version of the whole fleet.
pub struct NaiveFleet {
    /// Counters of the run.
    pub tally: FleetTally,
    load: LoadPlan,
    shares: BTreeMap<TeamId, u64>,
    queue: BinaryHeap<Reverse<(u64, Item)>>,
    free: BTreeMap<PoolId, Vec<EndpointId>>,
    waiting: BTreeMap<(PoolId, TeamId), VecDeque<u64>>,
    times: BTreeMap<(PoolId, TeamId), u64>,
    running: BTreeMap<u64, Running>,
}

impl NaiveFleet {
    /// Creates a naive fleet that serves `load` with `catalog`.
    pub fn new(catalog: &FleetCatalog, load: LoadPlan) -> Self {
        let mut free: BTreeMap<PoolId, Vec<EndpointId>> = BTreeMap::new();
        for (endpoint, entry) in &catalog.endpoints {
            let slots = vec![*endpoint; entry.slots.0 as usize];
            free.entry(entry.pools[0]).or_default().extend(slots);
        }
        let shares = catalog.teams.iter();
        let mut fleet = Self {
            tally: FleetTally::new(catalog, 1),
            shares: shares
                .map(|(team, entry)| (*team, u64::from(entry.share.0)))
                .collect(),
            queue: BinaryHeap::new(),
            free,
            waiting: BTreeMap::new(),
            times: BTreeMap::new(),
            running: BTreeMap::new(),
            load,
        };
        fleet.queue.push(Reverse((BEGIN_US, Item::Begin)));
        for (at, call, _) in fleet.load.first_calls(1) {
            fleet.queue.push(Reverse((at, Item::Call(call))));
        }
        fleet
    }

    /// Runs until `end`, in microseconds.
    pub fn run(&mut self, end: u64) {
        while let Some(Reverse((now, item))) = self.queue.pop() {
            if now > end {
                return;
            }
            self.tally.advance(now);
            match item {
                Item::Begin => self.begin(now),
                Item::Call(call) => self.call(now, call),
                Item::Progress(call) if self.running.contains_key(&call) => {
                    self.serve(now, call);
                    self.queue
                        .push(Reverse((now + PROGRESS_US, Item::Progress(call))));
                }
                Item::Progress(_) => {}
                Item::Done(call) => self.done(now, call),
            }
        }
    }

    fn begin(&mut self, now: u64) {
        let pools: Vec<PoolId> = self.free.keys().copied().collect();
        for pool in pools {
            self.start(now, pool);
        }
    }

    fn call(&mut self, now: u64, call: u64) {
        let spec = self.load.spec(call);
        self.tally.arrived(call, &spec);
        self.tally.set_waiting(call, &spec, true);
        if let Some((wait, next, _)) = self.load.next_arrival(call, 1)
            && self.load.is_stream_active(call, now)
        {
            self.queue.push(Reverse((now + wait, Item::Call(next))));
        }
        let key = (spec.pool, spec.team);
        if self.waiting.get(&key).is_none_or(VecDeque::is_empty) {
            let floor = self.floor(spec.pool).unwrap_or(0);
            let time = self.times.entry(key).or_default();
            *time = floor.max(*time);
        }
        self.waiting.entry(key).or_default().push_back(call);
        self.start(now, spec.pool);
    }

    fn floor(&self, pool: PoolId) -> Option<u64> {
        let waiting = self.waiting.iter();
        waiting
            .filter(|(key, calls)| key.0 == pool && !calls.is_empty())
            .filter_map(|(key, _)| self.times.get(key).copied())
            .min()
    }

    fn start(&mut self, now: u64, pool: PoolId) {
        if now < BEGIN_US {
            return;
        }
        loop {
            let waiting = self
                .waiting
                .iter()
                .filter(|(key, calls)| key.0 == pool && !calls.is_empty());
            let next = waiting
                .map(|(key, _)| *key)
                .min_by_key(|key| self.times.get(key).copied());
            let (Some(key), Some(free)) = (next, self.free.get_mut(&pool)) else {
                return;
            };
            let Some(endpoint) = free.pop() else {
                return;
            };
            let Some(call) = self.waiting.get_mut(&key).and_then(VecDeque::pop_front) else {
                return;
            };
            let spec = self.load.spec(call);
            let share = self.shares.get(&key.1).copied().unwrap_or(1);
            *self.times.entry(key).or_default() += spec.cost * 1_000 / share;
            self.tally.record_start(call, &spec, endpoint);
            let until = now + spec.duration_us;
            let run = Running {
                endpoint,
                since: now,
                until,
                seen: 0,
            };
            self.running.insert(call, run);
            self.queue.push(Reverse((until, Item::Done(call))));
            if spec.duration_us > PROGRESS_US {
                self.queue
                    .push(Reverse((now + PROGRESS_US, Item::Progress(call))));
            }
        }
    }

    fn serve(&mut self, now: u64, call: u64) {
        let Some(run) = self.running.get_mut(&call) else {
            return;
        };
        let spec = self.load.spec(call);
        let so_far = spec.cost * (now.min(run.until) - run.since) / (run.until - run.since).max(1);
        self.tally.add_service(&spec, so_far - run.seen);
        run.seen = so_far;
    }

    fn done(&mut self, now: u64, call: u64) {
        self.serve(now, call);
        let Some(run) = self.running.remove(&call) else {
            return;
        };
        let spec = self.load.spec(call);
        self.tally.record_stop(run.endpoint);
        self.tally.ended(call, &spec, RunOutcome::Ran, true);
        self.free.entry(spec.pool).or_default().push(run.endpoint);
        if self.load.is_stream_active(call, now)
            && let Some((wait, next, _)) = self.load.next_call(call, true, 1)
        {
            self.queue.push(Reverse((now + wait, Item::Call(next))));
        }
        self.start(now, spec.pool);
    }
}
