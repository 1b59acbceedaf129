//! Exhaustive search over all orders of events that can happen to one unrepeatable request with two
//! routers, one endpoint and two resends, driven through the real decision cores.
//!
//! The caller gets a ticket, sends the request with it, times out and resends it up to twice,
//! through either router. Meanwhile messages are delivered, lost or duplicated, routers crash and
//! restart without state, a process pauses between deciding and writing, and the routers are
//! partitioned from each other. In every order the request runs at most once, and the outcome that
//! the caller gets is true.

mod cores;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use verbenaturn::core::action::CoreAction;
use verbenaturn::core::action::RunOutcome;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::event::TicketName;
use verbenaturn::units::ByteSize;
use verbenaturn::units::RequestId;
use verbenaturn::units::RouterIncarnation;

use self::cores::CoreFleet;
use self::cores::catalog;
use self::cores::ended;
use self::cores::host;
use self::cores::unrepeatable;

/// Calls with a ticket: the first one and two resends.
const SENDS: u32 = 3;

/// Microseconds between ticks. Coarse, because every branch is replayed from the start.
const COARSE_TICK_US: u64 = 100_000;

/// Maximum number of states that the search may visit. It fails if it needs more, so that a search
/// that passes is complete.
const MAX_STATES: usize = 60_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The caller calls through a router, with its ticket if it has one.
    Send(usize),
    /// The caller abandons its latest call.
    Leave,
    /// A router writes an attempt that its core decided, after a pause of any length.
    Write(usize),
    /// A router resumes too late to write the attempt.
    WriteTooLate(usize),
    /// The endpoint runs the attempt.
    Run(usize),
    /// The connection breaks before the endpoint receives the request.
    LoseRequest(usize),
    /// The answer arrives, once or twice.
    Answer(usize, u32),
    /// The connection breaks after the endpoint ran the attempt.
    LoseAnswer(usize),
    /// A forwarded call arrives, once or twice.
    Forwarded(usize, u32),
    /// A forwarded call is lost.
    LoseForwarded(usize),
    /// A router crashes and restarts without state.
    Crash(usize),
    /// The link between the routers breaks.
    Partition,
    /// The link between the routers is restored.
    HealPartition,
    /// Time passes.
    Wait,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Decided,
    Written,
    Ran,
}

/// An attempt in flight to the endpoint or back.
#[derive(Debug, Clone, Copy)]
struct InFlightAttempt {
    life: RouterIncarnation,
    router: usize,
    request: u64,
    attempt: u32,
    ticket: TicketName,
    stage: Stage,
}

/// How many events of each kind may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Budget {
    sends: u32,
    leaves: u32,
    crashes: u32,
    parts: u32,
    duplicates: u32,
    waits: u32,
}

struct World {
    fleet: CoreFleet,
    budget: Budget,
    partitioned: bool,
    next_request: u64,
    latest: Option<(usize, u64)>,
    ticket: Option<TicketName>,
    tickets: BTreeMap<(RouterIncarnation, u64), TicketName>,
    in_flight: Vec<InFlightAttempt>,
    forwards: Vec<(usize, TicketName)>,
    runs: BTreeMap<TicketName, u32>,
    not_run: BTreeSet<TicketName>,
}

impl World {
    fn new(budget: Budget) -> Self {
        Self {
            fleet: CoreFleet::with_tick(2, catalog(1, 2), COARSE_TICK_US),
            budget,
            partitioned: false,
            next_request: 0,
            latest: None,
            ticket: None,
            tickets: BTreeMap::new(),
            in_flight: Vec::new(),
            forwards: Vec::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
        }
    }

    fn steps(&self) -> Vec<Step> {
        let budget = &self.budget;
        let mut steps = Vec::new();
        let routers = 0..2;
        if budget.sends > 0 {
            steps.extend(routers.clone().map(Step::Send));
        }
        if budget.leaves > 0 && self.latest.is_some() {
            steps.push(Step::Leave);
        }
        for (place, flight) in self.in_flight.iter().enumerate() {
            match flight.stage {
                Stage::Decided => steps.extend([Step::Write(place), Step::WriteTooLate(place)]),
                Stage::Written => steps.extend([Step::Run(place), Step::LoseRequest(place)]),
                Stage::Ran => {
                    steps.extend([Step::Answer(place, 1), Step::LoseAnswer(place)]);
                    if budget.duplicates > 0 {
                        steps.push(Step::Answer(place, 2));
                    }
                }
            }
        }
        for place in 0..self.forwards.len() {
            steps.extend([Step::Forwarded(place, 1), Step::LoseForwarded(place)]);
            if budget.duplicates > 0 {
                steps.push(Step::Forwarded(place, 2));
            }
        }
        if budget.crashes > 0 {
            steps.extend(routers.map(Step::Crash));
        }
        if self.partitioned {
            steps.push(Step::HealPartition);
        } else if budget.parts > 0 {
            steps.push(Step::Partition);
        }
        if budget.waits > 0 {
            steps.push(Step::Wait);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Send(router) => {
                self.budget.sends -= u32::from(self.ticket.is_some());
                self.call(router, self.ticket, true);
            }
            Step::Leave => self.leave(),
            Step::Write(place) => self.in_flight[place].stage = Stage::Written,
            Step::WriteTooLate(place) => self.end(place, AttemptOutcome::NotSent),
            Step::Run(place) => self.run(place),
            Step::LoseRequest(place) | Step::LoseAnswer(place) => {
                self.end(place, AttemptOutcome::LostBeforeAnswer);
            }
            Step::Answer(place, copies) => self.answer(place, copies),
            Step::Forwarded(place, copies) => {
                let (router, ticket) = self.forwards.remove(place);
                self.budget.duplicates -= copies - 1;
                (0..copies).for_each(|_| self.call(router, Some(ticket), false));
            }
            Step::LoseForwarded(place) => {
                self.forwards.remove(place);
            }
            Step::Crash(router) => self.crash(router),
            Step::Partition => {
                self.budget.parts -= 1;
                self.partitioned = true;
                self.fleet.cut_link(0, 1);
                self.settle();
            }
            Step::HealPartition => {
                self.partitioned = false;
                self.fleet.restore_link(0, 1);
                self.settle();
            }
            Step::Wait => {
                self.budget.waits -= 1;
                self.settle();
            }
        }
        self.carry_out();
    }

    fn settle(&mut self) {
        self.fleet.advance(900);
    }

    fn call(&mut self, router: usize, ticket: Option<TicketName>, by_caller: bool) {
        self.next_request += 1;
        let mut facts = unrepeatable(self.next_request, ticket);
        facts.forwarded = !by_caller;
        if by_caller {
            self.latest = Some((router, self.next_request));
        }
        if let (Some(ticket), Some(life)) = (ticket, self.fleet.incarnation_of(router)) {
            self.tickets.insert((life, self.next_request), ticket);
        }
        self.fleet.handle_event(router, CoreEvent::Arrived(facts));
        self.carry_out();
    }

    fn leave(&mut self) {
        self.budget.leaves -= 1;
        if let Some((router, request)) = self.latest.take() {
            let left = CoreEvent::CallerLeft(RequestId(request));
            self.fleet.handle_event(router, left);
        }
    }

    fn run(&mut self, place: usize) {
        let flight = &mut self.in_flight[place];
        flight.stage = Stage::Ran;
        *self.runs.entry(flight.ticket).or_default() += 1;
    }

    /// Ends an attempt. A router that has crashed since gets no event for it.
    fn end(&mut self, place: usize, outcome: AttemptOutcome) {
        let flight = self.in_flight.remove(place);
        self.deliver_end(flight, outcome);
    }

    fn deliver_end(&mut self, flight: InFlightAttempt, outcome: AttemptOutcome) {
        if self.fleet.incarnation_of(flight.router) != Some(flight.life) {
            return;
        }
        if outcome == AttemptOutcome::Whole {
            let kept = CoreEvent::AnswerKept {
                request: RequestId(flight.request),
                bytes: Some(ByteSize(100)),
            };
            self.fleet.handle_event(flight.router, kept);
        }
        let end = ended(flight.request, flight.attempt, outcome);
        self.fleet.handle_event(flight.router, end);
    }

    fn answer(&mut self, place: usize, copies: u32) {
        self.budget.duplicates -= copies - 1;
        let flight = self.in_flight.remove(place);
        (0..copies).for_each(|_| self.deliver_end(flight, AttemptOutcome::Whole));
    }

    /// Crashes and restarts a router. Attempts that were only decided are lost; written ones stay
    /// in flight.
    fn crash(&mut self, router: usize) {
        self.budget.crashes -= 1;
        self.in_flight
            .retain(|flight| flight.router != router || flight.stage != Stage::Decided);
        self.latest = self.latest.filter(|(at, _)| *at != router);
        self.fleet.stop(router);
        self.fleet.start(router);
        self.settle();
    }

    fn carry_out(&mut self) {
        loop {
            let actions: Vec<(usize, CoreAction)> = (0..2)
                .flat_map(|router| {
                    let actions = self.fleet.take(router);
                    actions.into_iter().map(move |action| (router, action))
                })
                .collect();
            if actions.is_empty() {
                return;
            }
            for (router, action) in actions {
                self.act(router, &action);
            }
        }
    }

    fn act(&mut self, router: usize, action: &CoreAction) {
        let Some(life) = self.fleet.incarnation_of(router) else {
            return;
        };
        match action {
            CoreAction::Dispatch {
                request, attempt, ..
            } => self.in_flight.push(InFlightAttempt {
                life,
                router,
                request: request.0,
                attempt: attempt.0,
                ticket: self.tickets[&(life, request.0)],
                stage: Stage::Decided,
            }),
            CoreAction::Forward { request, host: to } => {
                let ticket = self.tickets[&(life, request.0)];
                let peer = usize::from(*to == host(1));
                if self.fleet.is_linked(router, peer) {
                    self.forwards.push((peer, ticket));
                }
            }
            CoreAction::OfferTicket { request, ticket } => {
                self.record_not_run(life, request.0);
                if self.latest == Some((router, request.0)) {
                    self.ticket = Some(*ticket);
                    self.latest = None;
                }
            }
            CoreAction::Refuse {
                request, outcome, ..
            } => self.record_outcome(router, life, request.0, *outcome),
            CoreAction::Complete { request } => {
                self.record_outcome(router, life, request.0, RunOutcome::Ran);
            }
            _ => {}
        }
    }

    fn record_outcome(
        &mut self,
        router: usize,
        life: RouterIncarnation,
        request: u64,
        outcome: RunOutcome,
    ) {
        let ticket = self.tickets.get(&(life, request)).copied();
        match outcome {
            RunOutcome::Ran => {
                let runs = ticket.and_then(|ticket| self.runs.get(&ticket));
                assert_eq!(runs, Some(&1), "told that it ran");
            }
            RunOutcome::NotRun => {
                self.record_not_run(life, request);
                // The caller relies on this and starts over with another ticket.
                if self.latest == Some((router, request)) {
                    self.ticket = None;
                }
            }
            RunOutcome::Unknown => {}
        }
        if self.latest == Some((router, request)) {
            self.latest = None;
        }
    }

    fn record_not_run(&mut self, life: RouterIncarnation, request: u64) {
        if let Some(ticket) = self.tickets.get(&(life, request)) {
            self.not_run.insert(*ticket);
        }
    }

    fn check(&self, path: &[Step]) {
        let runs: u32 = self.runs.values().sum();
        assert!(runs <= 1, "ran {runs} times: {path:?}");
        let false_not_run = self
            .not_run
            .iter()
            .any(|ticket| self.runs.contains_key(ticket));
        assert!(!false_not_run, "told \"not run\" but it ran: {path:?}");
    }

    /// Hashes all that determines which events can follow; times and traffic counts are left out.
    fn digest(&self) -> u64 {
        let mut parts = vec![
            format!("{:?}{:?}{:?}", self.budget, self.partitioned, self.latest),
            format!("{:?}{:?}", self.ticket, self.forwards),
            format!("{:?}{:?}{:?}", self.runs, self.not_run, self.in_flight),
        ];
        for router in 0..2 {
            let state = self.fleet.core(router).state();
            let life = state.identity.incarnation;
            parts.push(format!("{life:?}{:?}", state.tickets));
            for (request, entry) in state.requests.iter() {
                let place = std::mem::discriminant(&entry.stage);
                let tried = (entry.attempts, entry.may_have_run);
                parts.push(format!("{request}{place:?}{tried:?}"));
            }
            for (_, member) in state.members.iter() {
                parts.push(format!("{:?}{:?}", member.state, member.incarnation));
            }
        }
        xxh3_64(parts.concat().as_bytes())
    }
}

/// Depth-first search. Cores can't be cloned, so each branch is replayed from the start.
struct Search {
    budget: Budget,
    seen: BTreeSet<u64>,
    ran: usize,
    ends: usize,
}

impl Search {
    fn explore(budget: Budget) -> Self {
        let mut search = Self {
            budget,
            seen: BTreeSet::new(),
            ran: 0,
            ends: 0,
        };
        let world = World::new(budget);
        search.visit(world, &mut Vec::new());
        search
    }

    fn replay(&self, path: &[Step]) -> World {
        let mut world = World::new(self.budget);
        for step in path {
            world.take(*step);
        }
        world
    }

    fn visit(&mut self, world: World, path: &mut Vec<Step>) {
        world.check(path);
        if !self.seen.insert(world.digest()) {
            return;
        }
        assert!(self.seen.len() <= MAX_STATES, "the search is too large");
        self.ran += usize::from(!world.runs.is_empty());
        let steps = world.steps();
        self.ends += usize::from(steps.is_empty());
        let mut current = Some(world);
        for step in steps {
            let mut next = current.take().unwrap_or_else(|| self.replay(path));
            next.take(step);
            path.push(step);
            self.visit(next, path);
            path.pop();
        }
    }
}

const NO_FAULTS: Budget = Budget {
    sends: SENDS,
    leaves: 0,
    crashes: 0,
    parts: 0,
    duplicates: 0,
    waits: 0,
};

fn explore(budget: Budget) {
    let search = Search::explore(budget);
    let (states, ran) = (search.seen.len(), search.ran);
    println!(
        "{budget:?}: {states} states, {ran} after an execution, {} ends",
        search.ends
    );
    assert!(ran > 0 && ran < states);
}

#[test]
fn lost_and_duplicated_messages() {
    explore(Budget {
        duplicates: 1,
        waits: 1,
        ..NO_FAULTS
    });
}

#[test]
fn callers_that_disconnect_and_pauses() {
    explore(Budget {
        leaves: 1,
        waits: 1,
        ..NO_FAULTS
    });
}

#[test]
fn crashes_at_every_step() {
    explore(Budget {
        crashes: 1,
        ..NO_FAULTS
    });
}

#[test]
fn partitions_at_every_step() {
    explore(Budget {
        parts: 1,
        ..NO_FAULTS
    });
}

#[test]
fn crashes_and_partitions_together() {
    explore(Budget {
        sends: 2,
        crashes: 1,
        parts: 1,
        ..NO_FAULTS
    });
}
