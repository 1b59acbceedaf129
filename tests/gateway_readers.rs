//! Election of the routers that read the store, over fleets and faults, without a network.

use std::collections::BTreeSet;

use verbenaturn::gateway::readers::ElectionInput;
use verbenaturn::gateway::readers::ReaderElection;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

/// Interval between two decisions of a router, in ms.
const ROUND_MS: u64 = 100;
/// Rounds from a router's decision to read until it is in contact with the store.
const CONNECT_ROUNDS: u64 = 1;

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

/// One router: its election, since when it reads, and its contact with the store.
struct SimulatedRouter {
    election: ReaderElection,
    reads_since: Option<u64>,
    in_touch: bool,
    is_failing: bool,
    alive: bool,
}

/// A fleet in which each router sees the others' state of the previous round.
struct Fleet {
    routers: Vec<SimulatedRouter>,
    refused: BTreeSet<usize>,
    store_is_up: bool,
    round: u64,
    /// Number of times that a router read the whole store.
    readings: usize,
}

impl Fleet {
    fn of(count: usize) -> Self {
        let routers = (0..count)
            .map(|index| SimulatedRouter {
                election: ReaderElection::new(
                    ms(0),
                    TimeSpan::from_millis(index as u64 * 37 % 250),
                ),
                reads_since: None,
                in_touch: false,
                is_failing: false,
                alive: true,
            })
            .collect();
        Self {
            routers,
            refused: BTreeSet::new(),
            store_is_up: true,
            round: 0,
            readings: 0,
        }
    }

    fn contact_count(&self) -> usize {
        self.routers
            .iter()
            .filter(|router| router.alive && router.in_touch)
            .count()
    }

    fn reading(&self) -> usize {
        let reads = |router: &&SimulatedRouter| router.alive && router.reads_since.is_some();
        self.routers.iter().filter(reads).count()
    }

    fn election_input(&self, own: usize, touch: &[bool]) -> ElectionInput {
        let mut election_input = ElectionInput {
            in_touch: self.routers[own].in_touch,
            is_failing: self.routers[own].is_failing,
            ..ElectionInput::default()
        };
        for (index, router) in self.routers.iter().enumerate() {
            if index == own || !router.alive {
                continue;
            }
            election_input.contact_count += usize::from(touch[index]);
            election_input.contact_before += usize::from(touch[index] && index < own);
            let is_failing = router.is_failing && !touch[index];
            election_input.failing += usize::from(is_failing);
            election_input.failing_before += usize::from(is_failing && index < own);
            let is_idle = !touch[index] && !is_failing;
            election_input.untried_before += usize::from(is_idle && index < own);
        }
        election_input
    }

    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.round += 1;
            let now = ms(self.round * ROUND_MS);
            let touch: Vec<bool> = self.routers.iter().map(|router| router.in_touch).collect();
            for index in 0..self.routers.len() {
                if !self.routers[index].alive {
                    continue;
                }
                let election_input = self.election_input(index, &touch);
                let reads = self.routers[index]
                    .election
                    .should_read(now, election_input);
                let reachable = self.store_is_up && !self.refused.contains(&index);
                let router = &mut self.routers[index];
                router.reads_since = reads.then(|| router.reads_since.unwrap_or(self.round));
                let connected = router
                    .reads_since
                    .is_some_and(|since| self.round >= since + CONNECT_ROUNDS);
                let touches = connected && reachable;
                self.readings += usize::from(touches && !router.in_touch);
                router.in_touch = touches;
                if connected {
                    router.is_failing = !reachable;
                }
            }
        }
    }
}

/// All routers of a fleet start at once and don't know which of them read the store. If all did,
/// its rate limit would refuse some, and each call is billed.
#[test]
fn a_fleet_that_starts_at_once_settles_on_three_readers() {
    let mut fleet = Fleet::of(100);
    fleet.run(50);
    assert_eq!((fleet.contact_count(), fleet.reading()), (3, 3));
    assert!(fleet.readings <= 12, "{} readings", fleet.readings);
}

/// The store refuses a third of all routers for seconds, including all current readers, and serves
/// the others. Others must be in contact with it within two seconds, or changes would be late.
#[test]
fn readers_that_are_refused_are_replaced() {
    let mut fleet = Fleet::of(30);
    fleet.run(50);
    fleet.refused = (0..10).collect();
    fleet.run(20);
    assert!(
        fleet.contact_count() >= 2,
        "{} in touch",
        fleet.contact_count()
    );
}

/// The store is down for all routers. Calls that probe it are billed, so a large fleet must not
/// make more of them than a small one.
#[test]
fn at_most_a_dozen_routers_probe_the_store_during_an_outage() {
    let mut fleet = Fleet::of(300);
    fleet.run(50);
    fleet.store_is_up = false;
    fleet.run(60);
    assert!(fleet.reading() <= 12, "{} try", fleet.reading());
    fleet.store_is_up = true;
    fleet.run(10);
    assert_eq!(fleet.contact_count(), 3);
    assert_eq!(fleet.reading(), 3);
}

/// A reader is killed. One other router replaces it; the two remaining readers stay, since each
/// change of readers reads the whole store again.
#[test]
fn one_reader_less_costs_one_reading() {
    let mut fleet = Fleet::of(30);
    fleet.run(50);
    let before = fleet.readings;
    let lost = fleet
        .routers
        .iter()
        .position(|router| router.in_touch)
        .unwrap();
    fleet.routers[lost].alive = false;
    fleet.routers[lost].in_touch = false;
    fleet.run(30);
    assert_eq!(fleet.contact_count(), 3);
    assert_eq!(fleet.readings, before + 1);
}

/// A single router, or one whose peers are all gone, must not wait for others.
#[test]
fn a_router_alone_reads_the_store_after_the_startup_wait() {
    let mut fleet = Fleet::of(1);
    fleet.run(1);
    assert_eq!(fleet.reading(), 0);
    fleet.run(3);
    assert_eq!(fleet.contact_count(), 1);
}

/// The store stops responding to all three readers at once and to a third of the other routers. The
/// next three in the order may be among those, and each needs a second to notice; meanwhile revoked
/// keys still work. Twice as many must therefore try from the start.
#[test]
fn when_no_router_is_in_contact_six_try_at_once() {
    let wanted = |contact_count: usize| {
        (0..12)
            .filter(|untried_before| {
                let mut election = ReaderElection::new(ms(0), TimeSpan(0));
                let election_input = |contact_count| ElectionInput {
                    contact_count,
                    untried_before: *untried_before,
                    ..ElectionInput::default()
                };
                // Enough routers have been in contact until now.
                election.should_read(ms(1_000), election_input(3));
                election.should_read(ms(1_100), election_input(contact_count))
            })
            .count()
    };
    assert_eq!(wanted(0), 6);
    assert_eq!(wanted(2), 1);
}

/// Guards against news that reach nobody after all readers died: they count as in contact until
/// their silence has lasted for the timeout, and the candidates that died with them are waited for.
#[test]
fn when_all_readers_are_silent_ever_more_of_the_others_try() {
    let wanted = |after_ms: u64| {
        (0..100)
            .filter(|untried_before| {
                let mut election = ReaderElection::new(ms(0), TimeSpan(0));
                let input = |silent_count| ElectionInput {
                    contact_count: 3,
                    silent_count,
                    untried_before: *untried_before,
                    ..ElectionInput::default()
                };
                election.should_read(ms(1_000), input(2));
                assert!(!election.should_read(ms(1_000), input(2)));
                election.should_read(ms(1_100), input(3));
                election.should_read(ms(1_100 + after_ms), input(3))
            })
            .count()
    };
    assert_eq!((wanted(0), wanted(300), wanted(900)), (6, 12, 48));
    assert_eq!(wanted(9_000), 48);
}

/// Guards against a router that took over from silent readers and stops at once, since they come
/// before it in the order.
#[test]
fn a_router_that_took_over_from_silent_readers_goes_on_reading() {
    let mut election = ReaderElection::new(ms(0), TimeSpan(0));
    let input = |silent_count| ElectionInput {
        in_touch: true,
        contact_count: 3,
        contact_before: 3,
        silent_count,
        silent_before: silent_count,
        ..ElectionInput::default()
    };
    assert!(election.should_read(ms(1_000), input(3)));
    assert!(!election.should_read(ms(1_100), input(0)));
}
