//! Records of where streams began, sent to the new processes of routers that are killed in turn.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use smol_str::SmolStr;

use verbenaturn::gateway::decide::record_refill::FleetView;
use verbenaturn::gateway::decide::record_refill::RECORD_KEEPERS;
use verbenaturn::gateway::decide::record_refill::RecordRefill;
use verbenaturn::gateway::decide::record_refill::ToldRouters;
use verbenaturn::gateway::decide::record_refill::records_for;
use verbenaturn::gateway::decide::stream_origins::StreamNumber;
use verbenaturn::gateway::decide::stream_origins::StreamOrigins;
use verbenaturn::gateway::decide::stream_origins::StreamStart;
use verbenaturn::gateway::decide::stream_origins::holders;
use verbenaturn::gateway::decide::version_history::MixedService;
use verbenaturn::gateway::decide::version_history::ServiceNumber;
use verbenaturn::gateway::decide::version_history::VersionHistory;
use verbenaturn::gateway::routes::ServiceKey;
use verbenaturn::gateway::routes::SoftwareVersion;
use verbenaturn::units::Moment;
use verbenaturn::units::TimeSpan;

const MEMORY: TimeSpan = TimeSpan::from_millis(30_000);
const NOW: Moment = Moment(1_000_000);

fn service() -> ServiceKey {
    ServiceKey(SmolStr::new("engine"))
}

fn start() -> StreamStart {
    StreamStart {
        service: ServiceNumber::of(&service()),
        software: SoftwareVersion(SmolStr::new("2.9")),
    }
}

fn address(router: usize) -> IpAddr {
    let [.., high, low] = router.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 0, high, low))
}

/// A history in which the service is mixed.
fn mixed() -> VersionHistory {
    let mut versions = VersionHistory::new(MEMORY);
    let mixed = MixedService {
        service: ServiceNumber::of(&service()),
        left: MEMORY,
    };
    versions.apply_report(NOW, &[mixed]);
    versions
}

/// The records of each router of a fleet.
struct Fleet {
    told: ToldRouters,
    versions: VersionHistory,
    origins: BTreeMap<IpAddr, StreamOrigins>,
}

impl Fleet {
    fn new(size: usize, told: ToldRouters) -> Self {
        let routers = (0..size).map(|router| (address(router), StreamOrigins::new(MEMORY)));
        Self {
            told,
            versions: mixed(),
            origins: routers.collect(),
        }
    }

    fn routers(&self) -> Vec<IpAddr> {
        self.origins.keys().copied().collect()
    }

    fn others(&self, own: IpAddr) -> Vec<IpAddr> {
        let others = self.origins.keys().copied();
        others.filter(|other| *other != own).collect()
    }

    /// Begins streams at one router, which tells the others.
    fn begin(&mut self, at: IpAddr, streams: impl Iterator<Item = StreamNumber>) {
        let software = start().software;
        let others = self.others(at);
        for stream in streams {
            if let Some(origins) = self.origins.get_mut(&at) {
                origins.begin(NOW, stream, &service(), &software);
            }
            let told = match self.told {
                ToldRouters::All => others.clone(),
                ToldRouters::Holders => holders(&others, stream, 2),
            };
            for router in told {
                if let Some(origins) = self.origins.get_mut(&router) {
                    origins.record(NOW, stream, start());
                }
            }
        }
    }

    /// Replaces a router's process; the others send the new one records. Returns their number.
    fn replace(&mut self, router: IpAddr) -> usize {
        let mut origins = StreamOrigins::new(MEMORY);
        let mut sent = 0;
        for own in self.others(router) {
            let others = self.others(own);
            let fleet = FleetView {
                own,
                others: &others,
                told: self.told,
            };
            let records = records_for(NOW, fleet, router, &self.origins[&own], &self.versions);
            sent += records.len();
            for (stream, start) in records {
                origins.record(NOW, stream, start);
            }
        }
        self.origins.insert(router, origins);
        sent
    }

    /// Returns whether a router that doesn't know a stream finds its record at those that it asks.
    fn finds(&self, asker: IpAddr, stream: StreamNumber) -> bool {
        let others = self.others(asker);
        let keepers = match self.told {
            ToldRouters::All => others,
            ToldRouters::Holders => holders(&others, stream, RECORD_KEEPERS),
        };
        let known = |router: &IpAddr| self.origins[router].find(stream).is_some();
        known(&asker) || keepers.iter().any(known)
    }
}

/// Guards against records that are thinned out by restarts: every router is replaced once, the one at
/// which the streams began first, and all that are asked then know nothing.
#[test]
fn records_outlive_a_series_in_which_every_router_is_replaced() {
    for (size, told) in [
        (3, ToldRouters::All),
        (8, ToldRouters::All),
        (14, ToldRouters::Holders),
        (90, ToldRouters::Holders),
    ] {
        let mut fleet = Fleet::new(size, told);
        fleet.begin(address(0), (0..200).map(StreamNumber));
        for router in fleet.routers() {
            fleet.replace(router);
        }
        let lost = (0..200).filter(|stream| {
            let routers = fleet.routers();
            let mut askers = routers.iter();
            !askers.all(|asker| fleet.finds(*asker, StreamNumber(*stream)))
        });
        assert_eq!(lost.count(), 0, "{size} routers");
    }
}

/// Guards against a new process to which each of the others sends all that it knows.
#[test]
fn a_new_process_gets_each_record_three_times_at_most() {
    let mut fleet = Fleet::new(8, ToldRouters::All);
    fleet.begin(address(0), (0..500).map(StreamNumber));
    let sent = fleet.replace(address(5));
    assert!((1_000..=1_500).contains(&sent), "{sent}");
}

/// Guards against a restart in a large fleet that costs the others more than the records which the
/// new process keeps: its part of three copies.
#[test]
fn a_new_process_of_a_large_fleet_gets_its_own_part() {
    let (size, streams) = (300, 3_000);
    let mut fleet = Fleet::new(size, ToldRouters::Holders);
    fleet.begin(address(0), (0..streams).map(StreamNumber));
    let sent = fleet.replace(address(200));
    // Three keepers hold a record; the beginning router and two holders send it.
    let kept = RECORD_KEEPERS * 3_000 / size;
    assert!(sent > 0 && sent <= 2 * 3 * kept, "{sent}");
}

/// Guards against messages in a large fleet about streams of services with one version, of which no
/// holder is told either.
#[test]
fn streams_of_one_version_are_not_sent_in_a_large_fleet() {
    let mut fleet = Fleet::new(14, ToldRouters::Holders);
    fleet.begin(address(0), (0..200).map(StreamNumber));
    fleet.versions = VersionHistory::new(MEMORY);
    assert_eq!(fleet.replace(address(3)), 0);
}

/// Guards against a burst of datagrams that a new process can't receive: the records are spread over
/// rounds, and a process that starts once more gets them from the beginning.
#[test]
fn records_are_sent_in_rounds_of_limited_size() {
    let records: Vec<_> = (0..10_000).map(|n| (StreamNumber(n), start())).collect();
    let mut refill = RecordRefill::default();
    assert_eq!(refill.add(address(1), &records), records.len());
    let first: usize = refill.take_round().iter().map(|m| m.records.len()).sum();
    assert!(first <= 4_096, "{first}");
    assert_eq!(refill.add(address(1), &records), records.len());
    let mut sent = 0;
    loop {
        let messages = refill.take_round();
        if messages.is_empty() {
            break;
        }
        assert!(messages.iter().all(|message| message.records.len() <= 512));
        sent += messages.iter().map(|m| m.records.len()).sum::<usize>();
    }
    assert_eq!(sent, records.len());
}
