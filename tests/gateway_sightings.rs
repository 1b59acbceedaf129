//! How routers learn that those that read the store are alive, in fleets of any size.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::gateway::config::GatewayConfig;
use verbenaturn::gateway::digest::SightingColumns;
use verbenaturn::gateway::digest::SightingEntry;
use verbenaturn::gateway::freshness::reader_silence;
use verbenaturn::gateway::sightings::RouterProcess;
use verbenaturn::gateway::sightings::SightingTable;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

/// Interval between two messages of a router, in ms.
const ROUND_MS: u64 = 100;

/// Fewest messages that a router sends per round in a large fleet.
const MESSAGES: usize = 3;

const READER: RouterProcess = RouterProcess(7);

fn ms(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

fn passed_on(sequence: u64, age_ms: u32) -> SightingColumns {
    let entry = SightingEntry {
        router: READER.0,
        sequence,
        age_ms,
    };
    std::iter::once(entry).collect()
}

/// Guards against a dead reader that seems alive for good: ages leave out the time on the way, so a
/// sighting that goes round among routers would become younger.
#[test]
fn a_sighting_that_goes_round_does_not_become_younger() {
    let mut table = SightingTable::default();
    table.record_message(ms(0), READER, 40, true);
    for round in 1..20 {
        table.record_passed_on(ms(round * ROUND_MS), &passed_on(40, 0));
    }
    assert_eq!(
        table.silence(ms(2_000), READER),
        Some(TimeSpan::from_millis(2_000))
    );
    table.record_passed_on(ms(2_000), &passed_on(41, 150));
    assert_eq!(
        table.silence(ms(2_000), READER),
        Some(TimeSpan::from_millis(150))
    );
}

/// Guards against a reader that lost the store and counts as in contact again, since an earlier
/// sighting arrives late.
#[test]
fn a_sighting_passed_on_late_does_not_undo_a_loss() {
    let mut table = SightingTable::default();
    table.record_message(ms(0), READER, 40, true);
    table.record_message(ms(100), READER, 42, false);
    table.record_passed_on(ms(200), &passed_on(41, 50));
    assert_eq!(table.silence(ms(200), READER), None);
    assert_eq!(table.to_pass_on(ms(200)).entries().count(), 0);
}

/// Routers of a fleet, each with its own table; the first ones read the store.
struct Fleet {
    tables: Vec<SightingTable>,
    readers_live: bool,
    random: StdRng,
    round: u64,
}

/// Number of routers that read the store.
const READERS: usize = 3;

impl Fleet {
    fn of(size: usize) -> Self {
        Self {
            tables: (0..size).map(|_| SightingTable::default()).collect(),
            readers_live: true,
            random: StdRng::seed_from_u64(size as u64),
            round: 0,
        }
    }

    fn now(&self) -> Moment {
        ms(self.round * ROUND_MS)
    }

    /// Lets each living router send its messages of one round; they arrive within it.
    fn play_rounds(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.round += 1;
            let now = self.now();
            let messages: Vec<SightingColumns> = self
                .tables
                .iter()
                .map(|table| table.to_pass_on(now))
                .collect();
            for (sender, message) in messages.iter().enumerate() {
                let is_reader = sender < READERS;
                if is_reader && !self.readers_live {
                    continue;
                }
                for _ in 0..MESSAGES {
                    let receiver = self.random.random_range(0..self.tables.len());
                    let table = &mut self.tables[receiver];
                    table.record_message(now, RouterProcess(sender as u64), self.round, is_reader);
                    table.record_passed_on(now, message);
                }
            }
        }
    }

    /// Returns for each router that doesn't read the store how long it has known of no sign of a
    /// reader.
    fn silences(&self) -> Vec<TimeSpan> {
        let routers = self.tables.iter().skip(READERS);
        let silences = routers.map(|table| table.least_silence(self.now()));
        silences
            .map(|silence| silence.unwrap_or(TimeSpan(u64::MAX)))
            .collect()
    }
}

/// Guards against readers that seem dead while they live, in each of which cases others would read
/// the store. In a fleet of this size a router hears from each other one every few seconds.
#[test]
fn living_readers_are_not_silent_in_fleets_of_any_size() {
    let limit = reader_silence(&GatewayConfig::default());
    for size in [12, 90, 300, 1_300] {
        let mut fleet = Fleet::of(size);
        fleet.play_rounds(15);
        for round in 0..60 {
            fleet.play_rounds(1);
            let longest = fleet.silences().into_iter().max().unwrap();
            assert!(
                longest < limit,
                "{longest:?} in round {round} at {size} routers"
            );
        }
    }
}

/// Guards against readers that died and are noticed later in a larger fleet: the bound on leaving
/// endpoints does not grow with the fleet.
#[test]
fn dead_readers_are_noticed_as_soon_in_large_fleets_as_in_small_ones() {
    let limit = reader_silence(&GatewayConfig::default());
    let rounds = limit.as_millis() / ROUND_MS;
    for size in [12, 90, 300, 1_300] {
        let mut fleet = Fleet::of(size);
        fleet.play_rounds(30);
        fleet.readers_live = false;
        fleet.play_rounds(rounds);
        let shortest = fleet.silences().into_iter().min().unwrap();
        assert!(shortest >= limit, "{shortest:?} at {size} routers");
    }
}
