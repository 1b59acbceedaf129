//! Where streams began: the software version of the endpoint that sent a stream's first event.
//!
//! Load pattern: a release replaces endpoints one after the other under load, routers are killed
//! meanwhile, and the callers of broken streams come to any other router within milliseconds. What
//! two versions write doesn't fit together, so the router has to know where such a stream began
//! although another router, which may be gone, began it.
//!
//! Each router records the streams that begin through it and tells others of them within a gossip
//! round: all of a small fleet, which costs no further message, or, while the service is mixed
//! ([`super::version_history`]), a few that both sides derive from the stream's number
//! ([`holders`]). A router that doesn't know a stream of a mixed service asks them
//! ([`Location::Ask`]). On days with one version a stream that nobody recorded began at that version;
//! the others are asked all the same, since one with a newer list may have begun it at another one. A
//! larger fleet then tells the holders nothing; each router deposits its streams at others that tell
//! the holders in its place if it stands still when a release begins ([`super::stream_deposits`]).
//!
//! After all routers were killed nobody has a record. A stream then goes on at the version that follows
//! from its number, if the store's history shows that ([`super::stable_ranges`]).
//!
//! Streams that end are told no more. A record is kept for as long as a caller may resume a stream.
//! New processes of routers are sent the records that they would hold ([`super::record_refill`]).

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::routes::ServiceKey;
use super::super::routes::SoftwareVersion;
use super::super::routes::TeamKey;
use super::version_history::ServiceNumber;
use super::version_history::VersionHistory;

/// Maximum number of records: ten times those of the busiest small fleet, about 6 MB. The oldest
/// ones are dropped first.
const MAX_RECORDS: usize = 65_536;

/// A stream in messages between routers: the hash of the id of the call that began it, seeded with
/// its team, so that the callers of a team can't name another team's streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamNumber(pub u64);

impl StreamNumber {
    /// Returns the number of the stream that began with a team's call.
    #[must_use]
    pub fn of(call_id: &str, team: Option<&TeamKey>) -> Self {
        let seed = team.map_or(0, TeamKey::hash);
        Self(xxh3_64_with_seed(call_id.as_bytes(), seed))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamStart {
    /// The service.
    pub service: ServiceNumber,
    /// The software version of its endpoint.
    pub software: SoftwareVersion,
}

/// What a router knows of the origin of a stream that a caller resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Location {
    /// There is a record.
    Recorded(StreamStart),
    /// There is no record, and the service's endpoints had this version only.
    OnlyVersion(SoftwareVersion),
    /// There is no record, and it follows from the stream's number ([`super::stable_ranges`]).
    Computed(SoftwareVersion),
    /// Other routers may have a record, or know of another version.
    Ask,
    /// Nobody can know it.
    Unknown,
}

/// Whether this router's endpoint list can lack a software version that another router uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListStatus {
    /// It is as new as those of the routers that it hears from, or of the store.
    Latest,
    /// Others have a newer list, or this router hears from nobody.
    MaybeOutdated,
}

/// Answers of other routers that were asked where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AskedAnswers {
    /// One of them has a record.
    Recorded(StreamStart),
    /// Those that answered, this many, have none.
    NoRecord(usize),
}

/// A stream with a record.
#[derive(Debug, Clone, Copy)]
pub struct KnownStream<'a> {
    /// Its number.
    pub number: StreamNumber,
    /// Where it began.
    pub start: &'a StreamStart,
    /// Whether this router passed on its first event, or the first one of a further answer.
    pub began_here: bool,
}

#[derive(Debug)]
struct OriginRecord {
    start: StreamStart,
    recorded: Moment,
    began_here: bool,
}

#[derive(Debug)]
struct UntoldStream {
    service: ServiceKey,
    is_deposited: bool,
}

/// The recorded streams.
#[derive(Debug)]
pub struct StreamOrigins {
    /// Time for which a record is kept.
    memory: TimeSpan,
    records: BTreeMap<StreamNumber, OriginRecord>,
    /// Records in the order in which they were made.
    order: VecDeque<(Moment, StreamNumber)>,
    /// Streams that began here, have not ended and were told neither all other routers nor the
    /// holders.
    untold: BTreeMap<StreamNumber, UntoldStream>,
}

impl StreamOrigins {
    /// Creates a table without records. A stream may be resumed for `memory` at most.
    #[must_use]
    pub fn new(memory: TimeSpan) -> Self {
        Self {
            memory,
            records: BTreeMap::new(),
            order: VecDeque::new(),
            untold: BTreeMap::new(),
        }
    }

    /// Records a stream of which this router passes on the first event, or the first one of a
    /// further answer.
    pub fn begin(
        &mut self,
        now: Moment,
        stream: StreamNumber,
        service: &ServiceKey,
        software: &SoftwareVersion,
    ) {
        let start = StreamStart {
            service: ServiceNumber::of(service),
            software: software.clone(),
        };
        self.record(now, stream, start);
        if let Some(record) = self.records.get_mut(&stream) {
            record.began_here = true;
        }
        let untold = UntoldStream {
            service: service.clone(),
            is_deposited: false,
        };
        self.untold.insert(stream, untold);
    }

    /// Records that a stream that began here was passed on to its end.
    pub fn end(&mut self, stream: StreamNumber) {
        self.untold.remove(&stream);
    }

    /// Records where a stream began according to another router. The first record of a stream holds.
    pub fn record(&mut self, now: Moment, stream: StreamNumber, start: StreamStart) {
        self.forget(now);
        if let Some(known) = self.records.get_mut(&stream) {
            known.recorded = now;
        } else {
            let record = OriginRecord {
                start,
                recorded: now,
                began_here: false,
            };
            self.records.insert(stream, record);
        }
        self.order.push_back((now, stream));
    }

    /// Returns the record of a stream.
    #[must_use]
    pub fn find(&self, stream: StreamNumber) -> Option<&StreamStart> {
        self.records.get(&stream).map(|record| &record.start)
    }

    /// Returns all streams with records.
    pub fn known(&self) -> impl Iterator<Item = KnownStream<'_>> {
        self.records.iter().map(|(number, record)| KnownStream {
            number: *number,
            start: &record.start,
            began_here: record.began_here,
        })
    }

    /// Returns what is known of a stream that a caller resumes at this service. `stream` is `None` if
    /// the caller doesn't name it.
    #[must_use]
    pub fn locate(
        &self,
        now: Moment,
        versions: &VersionHistory,
        service: &ServiceKey,
        stream: Option<StreamNumber>,
        list: ListStatus,
    ) -> Location {
        if let Some(start) = stream.and_then(|stream| self.find(stream)) {
            return Location::Recorded(start.clone());
        }
        let only = versions.only_version(now, service);
        match (list, only, stream) {
            (ListStatus::Latest, Some(software), _) => Location::OnlyVersion(software.clone()),
            (_, _, Some(_)) => Location::Ask,
            (_, _, None) => Location::Unknown,
        }
    }

    /// Returns what is known of a stream once other routers were asked. Their answers also tell
    /// whether the service is mixed, which `versions` holds by now.
    #[must_use]
    pub fn locate_asked(
        now: Moment,
        versions: &VersionHistory,
        service: &ServiceKey,
        answers: AskedAnswers,
    ) -> Location {
        match answers {
            AskedAnswers::Recorded(start) => Location::Recorded(start),
            AskedAnswers::NoRecord(0) => Location::Unknown,
            AskedAnswers::NoRecord(_) => versions
                .only_version(now, service)
                .map_or(Location::Unknown, |software| {
                    Location::OnlyVersion(software.clone())
                }),
        }
    }

    /// Takes up to `most` streams of any service that were not told yet.
    pub fn take_all_untold(
        &mut self,
        now: Moment,
        most: usize,
    ) -> Vec<(StreamNumber, StreamStart)> {
        self.forget(now);
        let taken: Vec<StreamNumber> = self.untold.keys().copied().take(most).collect();
        self.take(&taken)
    }

    /// Takes up to `most` streams of mixed services that the holders were not told yet.
    pub fn take_untold(
        &mut self,
        now: Moment,
        versions: &VersionHistory,
        most: usize,
    ) -> Vec<(StreamNumber, StreamStart)> {
        self.forget(now);
        let mixed = self
            .untold
            .iter()
            .filter(|(_, untold)| versions.is_mixed(now, &untold.service));
        let taken: Vec<StreamNumber> = mixed.map(|(stream, _)| *stream).take(most).collect();
        self.take(&taken)
    }

    /// Returns up to `most` streams that were neither told nor deposited, and marks them as
    /// deposited.
    pub fn deposit(&mut self, now: Moment, most: usize) -> Vec<(StreamNumber, StreamStart)> {
        self.forget(now);
        let untold = self.untold.iter_mut();
        let new = untold.filter(|(_, untold)| !untold.is_deposited).take(most);
        let mut streams = Vec::new();
        for (stream, untold) in new {
            untold.is_deposited = true;
            streams.push(*stream);
        }
        self.with_starts(&streams)
    }

    /// Lets all streams that were not told be deposited once more, since a deputy has lost what was
    /// deposited there.
    pub fn deposit_again(&mut self) {
        for untold in self.untold.values_mut() {
            untold.is_deposited = false;
        }
    }

    /// Returns these streams with where they began, if that is recorded.
    #[must_use]
    pub fn with_starts(&self, streams: &[StreamNumber]) -> Vec<(StreamNumber, StreamStart)> {
        let streams = streams.iter();
        let starts = streams.map(|stream| Some((*stream, self.find(*stream)?.clone())));
        starts.flatten().collect()
    }

    fn take(&mut self, streams: &[StreamNumber]) -> Vec<(StreamNumber, StreamStart)> {
        for stream in streams {
            self.untold.remove(stream);
        }
        self.with_starts(streams)
    }

    /// Drops records older than the memory, and the oldest ones beyond `MAX_RECORDS`.
    fn forget(&mut self, now: Moment) {
        while let Some((at, stream)) = self.order.front().copied() {
            let is_over = now.since(at) >= self.memory || self.records.len() > MAX_RECORDS;
            if !is_over && self.order.len() <= 2 * MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            // A record that was made again since has a later place too.
            let is_last = self
                .records
                .get(&stream)
                .is_some_and(|row| row.recorded == at);
            if is_last {
                self.records.remove(&stream);
                self.untold.remove(&stream);
            }
        }
    }
}

/// Returns up to `count` of these routers that hold the record of a stream: the first ones in its
/// rendezvous order, which is the same for all routers with the same list.
#[must_use]
pub fn holders(routers: &[IpAddr], stream: StreamNumber, count: usize) -> Vec<IpAddr> {
    let ranked = routers.iter().map(|router| rank(*router, stream));
    let mut ranked: Vec<RouterRank> = ranked.collect();
    let count = count.min(ranked.len());
    if count > 0 && count < ranked.len() {
        ranked.select_nth_unstable_by(count - 1, |left, right| right.cmp(left));
    }
    ranked.truncate(count);
    ranked.into_iter().map(|(_, ip)| ip).collect()
}

/// Returns true if a router is among the [`holders`] in a fleet of it and these others.
///
/// It compares until `count` others come before the router, some twenty of 1,300 with a count of three,
/// so that a router can look at all its records when another one starts.
#[must_use]
pub fn is_holder(
    others: impl Iterator<Item = IpAddr>,
    router: IpAddr,
    stream: StreamNumber,
    count: usize,
) -> bool {
    let own = rank(router, stream);
    let before = others.filter(|other| *other != router && rank(*other, stream) > own);
    before.take(count).count() < count
}

/// Place of a router in a stream's rendezvous order; the highest comes first.
type RouterRank = (u64, IpAddr);

fn rank(router: IpAddr, stream: StreamNumber) -> RouterRank {
    let hash = match router {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), stream.0),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), stream.0),
    };
    (hash, router)
}
