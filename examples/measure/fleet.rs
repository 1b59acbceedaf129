//! Simulation of the real decision cores with one event queue, a fake clock and minimal
//! endpoints. The queue delivers, delays, drops and duplicates messages; nothing else is modelled.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::sync::Arc;

use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::catalog::FleetCatalog;
use verbenaturn::configs::CoreConfig;
use verbenaturn::core::RouterCore;
use verbenaturn::core::RouterIdentity;
use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::event::ListedRouter;
use verbenaturn::core::event::RepeatRule;
use verbenaturn::core::event::RequestFacts;
use verbenaturn::core::event::TicketName;
use verbenaturn::units::AttemptNumber;
use verbenaturn::units::EndpointId;
use verbenaturn::units::FenceNumber;
use verbenaturn::units::HostName;
use verbenaturn::units::Moment;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::RequestId;
use verbenaturn::units::RouterIncarnation;
use verbenaturn::units::ServiceUnits;
use verbenaturn::wire::PeerMessage;

use super::faults::FleetFault;
use super::load::LoadPlan;
use super::tally::FleetTally;

/// Microseconds between ticks of a core.
const TICK_US: u64 = 5_000;
/// Microseconds between progress events of a running attempt.
const PROGRESS_US: u64 = 250_000;
/// Microseconds between load reports of an endpoint to a router that watches it.
const LOAD_US: u64 = 500_000;
/// Framing bytes added to each control message.
const FRAME_BYTES: u64 = 8;

enum Item {
    Tick(usize, u64),
    Deliver(usize, usize, u64, Box<PeerMessage>),
    Call(u64, usize, Option<TicketName>),
    Progress(usize, u64, RequestId, AttemptNumber),
    Done(usize, u64, RequestId, AttemptNumber),
    Load(usize, u64, EndpointId),
    Fault(FleetFault),
}

pub(super) struct Running {
    call: u64,
    pub(super) attempt: AttemptNumber,
    pub(super) endpoint: EndpointId,
    since: u64,
    until: u64,
    seen: u64,
    cost: u64,
}

/// One router: its core, its incarnation counter and the end of its pause in microseconds.
pub(super) struct SimulatedRouter {
    pub(super) core: RouterCore,
    pub(super) life: u64,
    pub(super) paused_until_us: u64,
}

/// A simulated fleet: the cores, the event queue and the endpoints.
pub struct CoreFleet {
    /// Counters of the run.
    pub tally: FleetTally,
    pub(super) simulated_routers: Vec<SimulatedRouter>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
    order: u64,
    pub(super) now: u64,
    random: StdRng,
    pub(super) catalog: Arc<FleetCatalog>,
    pub(super) names: Vec<EndpointId>,
    load: LoadPlan,
    pub(super) calls: BTreeMap<(usize, u64, RequestId), u64>,
    pub(super) running: BTreeMap<(usize, u64, RequestId), Running>,
    next_request: u64,
    pub(super) partition_cut: Option<usize>,
    pub(super) noise: u32,
    latency: u64,
    pub(super) left: Vec<(EndpointId, u64)>,
    tickets: BTreeMap<u64, TicketName>,
    watched: BTreeSet<(usize, u64, EndpointId)>,
    pub(super) lives: BTreeMap<EndpointId, u64>,
    pub(super) fences: BTreeMap<EndpointId, FenceNumber>,
    seed: u64,
}

pub(super) fn host(index: usize) -> HostName {
    format!("host-{index}").parse().expect("a valid name")
}

impl CoreFleet {
    /// Creates a fleet of `routers` cores that serve `load` with `catalog`.
    pub fn new(routers: usize, catalog: FleetCatalog, load: LoadPlan, seed: u64) -> Self {
        let names = catalog.endpoints.keys().copied().collect();
        let mut fleet = Self {
            tally: FleetTally::new(&catalog, routers),
            simulated_routers: Vec::new(),
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            order: 0,
            now: 0,
            random: StdRng::seed_from_u64(seed),
            catalog: Arc::new(catalog),
            names,
            load,
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
            next_request: 0,
            partition_cut: None,
            noise: 0,
            latency: 500,
            left: Vec::new(),
            tickets: BTreeMap::new(),
            watched: BTreeSet::new(),
            lives: BTreeMap::new(),
            fences: BTreeMap::new(),
            seed,
        };
        for index in 0..routers {
            let core = fleet.make_core(index, 1);
            fleet.simulated_routers.push(SimulatedRouter {
                core,
                life: 1,
                paused_until_us: 0,
            });
        }
        for index in 0..routers {
            fleet.begin(index);
        }
        fleet
    }

    pub(super) fn make_core(&self, index: usize, life: u64) -> RouterCore {
        let number = index as u64;
        let identity = RouterIdentity {
            host: host(index),
            incarnation: RouterIncarnation(self.seed << 20 | number << 8 | life),
            domain: format!("domain-{}", index % 3)
                .parse()
                .expect("a valid name"),
            address: format!("127.0.0.1:{}", 7_000 + index).into(),
        };
        RouterCore::new(
            identity,
            CoreConfig::default(),
            self.seed ^ number << 32 ^ life,
        )
    }

    pub(super) fn begin(&mut self, index: usize) {
        let routers = (0..self.simulated_routers.len())
            .map(|other| ListedRouter {
                host: host(other),
                address: format!("127.0.0.1:{}", 7_000 + other).into(),
                domain: format!("domain-{}", other % 3)
                    .parse()
                    .expect("a valid name"),
                leaving: false,
            })
            .collect();
        let leaving = Vec::new();
        self.deliver_event(index, CoreEvent::HostsListed { routers, leaving });
        let catalog = Arc::clone(&self.catalog);
        let text = bytes::Bytes::new();
        self.deliver_event(index, CoreEvent::Published { catalog, text });
        for other in 0..self.simulated_routers.len() {
            self.open(index, other);
            self.open(other, index);
        }
        let life = self.simulated_routers[index].life;
        let offset = self.random.random_range(0..TICK_US);
        self.push(self.now + offset, Item::Tick(index, life));
    }

    pub(super) fn open(&mut self, index: usize, other: usize) {
        if index != other && self.can_reach(index, other) {
            let incarnation = self.simulated_routers[other]
                .core
                .state()
                .identity
                .incarnation;
            let opened = CoreEvent::PeerOpened {
                host: host(other),
                incarnation,
            };
            self.deliver_event(index, opened);
        }
    }

    pub(super) fn can_reach(&self, left: usize, right: usize) -> bool {
        self.partition_cut
            .is_none_or(|cut| (left < cut) == (right < cut))
    }

    fn push(&mut self, at: u64, item: Item) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.items.insert(self.order, item);
    }

    /// Schedules a fault at a time in microseconds.
    pub fn plan(&mut self, at: u64, fault: FleetFault) {
        self.push(at, Item::Fault(fault));
    }

    /// Schedules the first call of every lane of the load plan.
    pub fn begin_load(&mut self) {
        for (at, call, router) in self.load.first_calls(self.simulated_routers.len()) {
            self.push(at, Item::Call(call, router, None));
        }
    }

    /// Runs until `end`, in microseconds.
    pub fn run(&mut self, end: u64) {
        while let Some(Reverse((at, order))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.tally.advance(at);
            let item = self
                .items
                .remove(&order)
                .expect("every queued number has an item");
            self.step(item);
        }
    }

    fn step(&mut self, item: Item) {
        let router_index = match &item {
            Item::Tick(router_index, _)
            | Item::Deliver(_, router_index, ..)
            | Item::Call(_, router_index, _)
            | Item::Progress(router_index, ..)
            | Item::Done(router_index, ..)
            | Item::Load(router_index, ..) => *router_index,
            Item::Fault(_) => usize::MAX,
        };
        if let Some(paused_until_us) = self
            .simulated_routers
            .get(router_index)
            .map(|router| router.paused_until_us)
            && paused_until_us > self.now
        {
            self.push(paused_until_us, item);
            return;
        }
        match item {
            Item::Tick(router_index, life) if self.simulated_routers[router_index].life == life => {
                self.deliver_event(router_index, CoreEvent::Tick);
                self.push(self.now + TICK_US, Item::Tick(router_index, life));
            }
            Item::Tick(..) => {}
            Item::Deliver(from, to, life, message) => self.deliver(from, to, life, *message),
            Item::Call(call, router_index, ticket) => self.call(call, router_index, ticket),
            Item::Progress(router_index, life, request, attempt) => {
                self.progress(router_index, life, request, attempt);
            }
            Item::Done(router_index, life, request, attempt) => {
                self.end(router_index, life, request, attempt, AttemptOutcome::Whole);
            }
            Item::Load(router_index, life, endpoint) => {
                self.report_load(router_index, life, endpoint);
            }
            Item::Fault(fault) => self.fault(fault),
        }
    }

    fn deliver(&mut self, from: usize, to: usize, life: u64, message: PeerMessage) {
        if !self.can_reach(from, to) || self.simulated_routers[from].life != life {
            return;
        }
        let incarnation = self.simulated_routers[from]
            .core
            .state()
            .identity
            .incarnation;
        let from = host(from);
        self.deliver_event(
            to,
            CoreEvent::Message {
                from,
                incarnation,
                message,
            },
        );
    }

    fn call(&mut self, call: u64, router_index: usize, ticket: Option<TicketName>) {
        let spec = self.load.spec(call);
        if ticket.is_none() && !self.tickets.contains_key(&call) {
            self.tally.arrived(call, &spec);
            let next_arrival = self.load.next_arrival(call, self.simulated_routers.len());
            if let Some((wait, next, router)) = next_arrival
                && self.load.is_stream_active(call, self.now)
            {
                self.push(self.now + wait, Item::Call(next, router, None));
            }
        }
        self.next_request += 1;
        let request = RequestId(self.next_request);
        self.calls.insert(
            (
                router_index,
                self.simulated_routers[router_index].life,
                request,
            ),
            call,
        );
        let repeat = if spec.unrepeatable {
            RepeatRule::Unrepeatable(ticket)
        } else {
            RepeatRule::Repeatable
        };
        self.tally.set_waiting(call, &spec, true);
        self.deliver_event(
            router_index,
            CoreEvent::Arrived(RequestFacts {
                request,
                team: spec.team,
                kind: spec.kind.clone(),
                pool: spec.pool,
                repeat,
                deadline: Moment(self.now + spec.timeout_us),
                fingerprint: RequestFingerprint(self.load.fingerprint(call)),
                prefix: 0,
                resumable: false,
                forwarded: false,
            }),
        );
    }

    pub(super) fn deliver_event(&mut self, router_index: usize, event: CoreEvent) {
        let started = std::time::Instant::now();
        let actions = self.simulated_routers[router_index]
            .core
            .handle(Moment(self.now), event);
        self.tally.record_event_cost(started.elapsed());
        for action in actions {
            self.carry_out(router_index, action);
        }
    }

    fn carry_out(&mut self, router_index: usize, action: CoreAction) {
        let life = self.simulated_routers[router_index].life;
        match action {
            CoreAction::Send { host: to, message } => self.send(router_index, &to, &message),
            CoreAction::Dispatch {
                request,
                attempt,
                endpoint,
                ..
            } => {
                self.dispatch(router_index, request, attempt, endpoint);
            }
            CoreAction::Cancel { request, .. } => {
                if let Some(run) = self.running.remove(&(router_index, life, request)) {
                    self.tally.record_stop(run.endpoint);
                }
            }
            CoreAction::Complete { request } => {
                self.finish(router_index, request, RunOutcome::Ran, true);
            }
            CoreAction::Refuse {
                request, outcome, ..
            } => {
                self.finish(router_index, request, outcome, false);
            }
            CoreAction::OfferTicket { request, ticket } => {
                if let Some(call) = self.calls.remove(&(router_index, life, request)) {
                    self.tally.set_waiting(call, &self.load.spec(call), false);
                    self.tickets.insert(call, ticket);
                    let via = self.random.random_range(0..self.simulated_routers.len());
                    self.push(self.now + 2_000, Item::Call(call, via, Some(ticket)));
                }
            }
            CoreAction::Forward { request, host: to } => {
                let Some(call) = self.calls.remove(&(router_index, life, request)) else {
                    return;
                };
                self.tally.set_waiting(call, &self.load.spec(call), false);
                let ticket = self.tickets.get(&call).copied();
                let to = self.index_of(&to);
                self.push(self.now + self.latency, Item::Call(call, to, ticket));
            }
            CoreAction::WatchLoad { endpoint, on: true }
                if self.watched.insert((router_index, life, endpoint)) =>
            {
                self.push(self.now + LOAD_US, Item::Load(router_index, life, endpoint));
            }
            CoreAction::OrderModel {
                endpoint,
                pool,
                fence,
            } => self.order(endpoint, pool, fence),
            CoreAction::WatchLoad {
                endpoint,
                on: false,
            } => {
                self.watched.remove(&(router_index, life, endpoint));
            }
            _ => {}
        }
    }

    fn report_load(&mut self, router_index: usize, life: u64, endpoint: EndpointId) {
        if !self.watched.contains(&(router_index, life, endpoint))
            || self.simulated_routers[router_index].life != life
        {
            return;
        }
        self.push(self.now + LOAD_US, Item::Load(router_index, life, endpoint));
        let active = self.tally.pool_served_by(endpoint);
        let (running, waiting) = self.tally.load_of(endpoint);
        let event = CoreEvent::EndpointLoad {
            endpoint,
            running,
            waiting,
            active,
            life: self.lives.get(&endpoint).copied().unwrap_or(1),
            fence: self.fences.get(&endpoint).map_or(0, |fence| fence.0),
        };
        self.deliver_event(router_index, event);
    }

    fn index_of(&self, name: &HostName) -> usize {
        let index = (0..self.simulated_routers.len()).find(|index| host(*index) == *name);
        index.expect("cores name only listed hosts")
    }
}

impl CoreFleet {
    fn send(&mut self, from: usize, to: &HostName, message: &PeerMessage) {
        let to = self.index_of(to);
        let bytes = message.encoded_len() as u64 + FRAME_BYTES;
        self.tally.control(from, bytes);
        let life = self.simulated_routers[from].life;
        let copies = match self.random.random_range(0..1_000) {
            draw if draw < self.noise => 0,
            draw if draw < 2 * self.noise => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let jitter = self.random.random_range(0..self.latency / 5);
            let at = self.now + self.latency + jitter;
            self.push(at, Item::Deliver(from, to, life, Box::new(message.clone())));
        }
    }

    fn dispatch(
        &mut self,
        router_index: usize,
        request: RequestId,
        attempt: AttemptNumber,
        to: EndpointId,
    ) {
        let life = self.simulated_routers[router_index].life;
        let call = self.calls[&(router_index, life, request)];
        let spec = self.load.spec(call);
        self.tally.record_start(call, &spec, to);
        if let Some((_, at)) = self.left.iter().find(|(endpoint, _)| *endpoint == to) {
            self.tally.dispatched_to_leaving(self.now - at);
        }
        if spec.poison {
            self.push(
                self.now + 50_000,
                Item::Fault(FleetFault::Crash(self.place_of(to))),
            );
        }
        let crowd = self.tally.load_percent(to);
        let since = self.now + self.latency;
        let until = since + spec.duration_us * crowd / 100;
        let run = Running {
            call,
            attempt,
            endpoint: to,
            since,
            until,
            seen: 0,
            cost: spec.cost,
        };
        self.running.insert((router_index, life, request), run);
        if until - since > PROGRESS_US {
            self.push(
                since + PROGRESS_US,
                Item::Progress(router_index, life, request, attempt),
            );
        }
        self.push(
            until + self.latency,
            Item::Done(router_index, life, request, attempt),
        );
    }

    pub(super) fn place_of(&self, endpoint: EndpointId) -> usize {
        let place = self.names.iter().position(|name| *name == endpoint);
        place.expect("the catalog's endpoints are listed")
    }

    /// Adds the service of a running attempt to the tally and returns its total so far, in service
    /// units. Returns `None` if the request has no running attempt or a different one.
    fn served(
        &mut self,
        router_index: usize,
        life: u64,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> Option<u64> {
        let run = self.running.get_mut(&(router_index, life, request))?;
        if run.attempt != attempt {
            return None;
        }
        let passed = self.now.clamp(run.since, run.until) - run.since;
        let so_far = run.cost * passed / (run.until - run.since).max(1);
        self.tally
            .add_service(&self.load.spec(run.call), so_far - run.seen);
        run.seen = so_far;
        Some(so_far)
    }

    fn progress(
        &mut self,
        router_index: usize,
        life: u64,
        request: RequestId,
        attempt: AttemptNumber,
    ) {
        let Some(so_far) = self.served(router_index, life, request, attempt) else {
            return;
        };
        let until = self.running[&(router_index, life, request)].until;
        let service = ServiceUnits(so_far);
        self.deliver_event(
            router_index,
            CoreEvent::Progress {
                request,
                attempt,
                service,
            },
        );
        if self.now + PROGRESS_US < until {
            self.push(
                self.now + PROGRESS_US,
                Item::Progress(router_index, life, request, attempt),
            );
        }
    }

    pub(super) fn end(
        &mut self,
        router_index: usize,
        life: u64,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
    ) {
        let Some(so_far) = self.served(router_index, life, request, attempt) else {
            return;
        };
        let Some(run) = self.running.remove(&(router_index, life, request)) else {
            return;
        };
        self.tally.record_stop(run.endpoint);
        if outcome != AttemptOutcome::Whole {
            self.tally
                .set_waiting(run.call, &self.load.spec(run.call), true);
        }
        if self.simulated_routers[router_index].life == life {
            let service = ServiceUnits(so_far);
            self.deliver_event(
                router_index,
                CoreEvent::AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    service,
                },
            );
        }
    }

    fn finish(
        &mut self,
        router_index: usize,
        request: RequestId,
        outcome: RunOutcome,
        whole: bool,
    ) {
        let life = self.simulated_routers[router_index].life;
        if let Some(call) = self.calls.remove(&(router_index, life, request)) {
            self.close(call, outcome, whole);
        }
    }

    /// Records the answer or refusal of a call; a closed stream sends its next call.
    pub(super) fn close(&mut self, call: u64, outcome: RunOutcome, whole: bool) {
        let spec = self.load.spec(call);
        self.tally.ended(call, &spec, outcome, whole);
        if !self.load.is_stream_active(call, self.now) {
            return;
        }
        if let Some((wait, next, router)) =
            self.load
                .next_call(call, whole, self.simulated_routers.len())
        {
            self.push(self.now + wait, Item::Call(next, router, None));
        }
    }

    /// Returns the revision in force at each router.
    pub fn revisions(&self) -> Vec<u64> {
        let simulated_routers = self.simulated_routers.iter();
        simulated_routers
            .map(|router| router.core.state().catalog.revision.0)
            .collect()
    }

    /// Number of unanswered calls that a router holds or that are in transit to one, sent again
    /// with a ticket or forwarded.
    pub fn open_calls(&self) -> usize {
        let on_the_way = self
            .items
            .values()
            .filter(|item| matches!(item, Item::Call(call, ..) if self.tally.has_arrived(*call)));
        self.calls.len() + on_the_way.count()
    }
}
