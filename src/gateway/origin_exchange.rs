//! Messages in which routers tell and ask each other where streams began; the socket is
//! [`super::gossip`]'s.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::decide::record_refill::FleetView;
use super::decide::record_refill::RECORD_KEEPERS;
use super::decide::record_refill::RecordRefill;
use super::decide::record_refill::RefillMessage;
use super::decide::record_refill::ToldRouters;
use super::decide::record_refill::records_for;
use super::decide::stream_deposits::DepositorProcess;
use super::decide::stream_origins::StreamNumber;
use super::decide::stream_origins::StreamStart;
use super::decide::stream_origins::holders;
use super::decide::version_history::MixedService;
use super::decide::version_history::PastReport;
use super::digest::RouterDigest;
use super::follow::StoreRevision;
use super::shared::SharedState;
use super::stream_messages::BegunStreams;
use super::stream_messages::MixedEntry;
use super::stream_messages::RangeEntry;

/// Routers that are told where a stream began, in a fleet in which not all are. One may be killed
/// together with the router that began the stream.
const TOLD_ROUTERS: usize = 2;

/// Routers at which a router of such a fleet deposits its streams of services with one version. One
/// may stand still together with the depositor.
const DEPUTIES: usize = 2;

/// Maximum number of streams told in one round, or deposited at once: 2 KB. When a release begins,
/// all running streams are to be told.
const MAX_TOLD_PER_ROUND: usize = 256;

/// Maximum number of streams in a question that are answered: 8 KB of an answer.
const MAX_ASKED: usize = 1_024;

/// A message and its receiver.
pub type AddressedDigest = (IpAddr, RouterDigest);

/// Takes the streams that are to be told in this round.
pub fn take_untold(
    shared: &SharedState,
    now: Moment,
    receivers: ToldRouters,
) -> Vec<(StreamNumber, StreamStart)> {
    let mut core = shared.core();
    let core = &mut *core;
    let versions = &core.versions;
    let mut taken = match receivers {
        ToldRouters::All => core.origins.take_all_untold(now, MAX_TOLD_PER_ROUND),
        ToldRouters::Holders => core.origins.take_untold(now, versions, MAX_TOLD_PER_ROUND),
    };
    let room = MAX_TOLD_PER_ROUND - taken.len();
    let is_mixed = |service| versions.is_mixed_number(now, service);
    let deposited = core.deposits.take_of_silent(now, room, is_mixed);
    taken.extend(core.origins.with_starts(&deposited));
    taken
}

/// Returns the messages that deposit this router's streams at its deputies, the first ones of
/// `routers` in its rendezvous order.
#[must_use]
pub fn deposit_streams(
    shared: &SharedState,
    now: Moment,
    own: DepositorProcess,
    routers: &[IpAddr],
) -> Vec<AddressedDigest> {
    let streams = shared.core().origins.deposit(now, MAX_TOLD_PER_ROUND);
    if streams.is_empty() {
        return Vec::new();
    }
    let message = RouterDigest {
        incarnation: own.incarnation,
        deposited: BegunStreams::group(&streams),
        ..RouterDigest::default()
    };
    let deputies = deputies_of(own.host, routers).into_iter();
    deputies.map(|deputy| (deputy, message.clone())).collect()
}

/// Returns the deputies of a router among others.
#[must_use]
pub fn deputies_of(router: IpAddr, routers: &[IpAddr]) -> Vec<IpAddr> {
    let rank = StreamNumber(xxh3_64(router.to_string().as_bytes()));
    holders(routers, rank, DEPUTIES)
}

/// Returns the messages that tell of streams in a fleet in which not all routers are told.
#[must_use]
pub fn tell_holders(
    routers: &[IpAddr],
    begun: &[(StreamNumber, StreamStart)],
) -> Vec<AddressedDigest> {
    let mut told: BTreeMap<IpAddr, Vec<(StreamNumber, StreamStart)>> = BTreeMap::new();
    for (stream, start) in begun {
        for holder in holders(routers, *stream, TOLD_ROUTERS) {
            told.entry(holder)
                .or_default()
                .push((*stream, start.clone()));
        }
    }
    let messages = told.into_iter().map(|(holder, begun)| {
        let begun = BegunStreams::group(&begun);
        let message = RouterDigest {
            begun,
            ..RouterDigest::default()
        };
        (holder, message)
    });
    messages.collect()
}

/// Queues the records for routers' new processes, and has this router's streams deposited once more if
/// one of them is its deputy.
pub fn refill(
    shared: &SharedState,
    now: Moment,
    fleet: FleetView<'_>,
    new: &BTreeSet<IpAddr>,
    waiting: &mut RecordRefill,
) {
    let mut core = shared.core();
    for receiver in new {
        let records = records_for(now, fleet, *receiver, &core.origins, &core.versions);
        if !records.is_empty() {
            let queued = waiting.add(*receiver, &records);
            let known = records.len();
            spdlog::info!("peers: router={receiver} step=refill streams={known} queued={queued}");
        }
    }
    let deputies = deputies_of(fleet.own, fleet.others);
    if deputies.iter().any(|deputy| new.contains(deputy)) {
        core.origins.deposit_again();
    }
}

/// Returns the next messages with records for routers' new processes.
#[must_use]
pub fn refill_round(waiting: &mut RecordRefill) -> Vec<AddressedDigest> {
    let messages = waiting.take_round().into_iter();
    let messages = messages.map(|RefillMessage { receiver, records }| {
        let message = RouterDigest {
            begun: BegunStreams::group(&records),
            ..RouterDigest::default()
        };
        (receiver, message)
    });
    messages.collect()
}

/// Returns the questions that were not sent yet; `asks_all` in a fleet in which all routers are told.
#[must_use]
pub fn take_questions(
    shared: &SharedState,
    routers: &[IpAddr],
    asks_all: bool,
) -> Vec<AddressedDigest> {
    let count = if asks_all {
        routers.len()
    } else {
        RECORD_KEEPERS
    };
    let mut asked: BTreeMap<IpAddr, Vec<u64>> = BTreeMap::new();
    for stream in shared.lookups.unsent() {
        let receivers = holders(routers, stream, count);
        shared.lookups.sent(stream, receivers.len());
        for receiver in receivers {
            asked.entry(receiver).or_default().push(stream.0);
        }
    }
    let messages = asked.into_iter().map(|(receiver, asked_streams)| {
        let message = RouterDigest {
            asked_streams,
            ..RouterDigest::default()
        };
        (receiver, message)
    });
    messages.collect()
}

/// Applies what a message tells of streams, and returns the answer to its questions if it has any.
pub fn apply(
    shared: &SharedState,
    now: Moment,
    from: IpAddr,
    digest: &RouterDigest,
) -> Option<RouterDigest> {
    let sender = DepositorProcess {
        host: from,
        incarnation: digest.incarnation,
    };
    let mixed: Vec<_> = digest.mixed.iter().map(MixedEntry::decode).collect();
    let ranges = RangeEntry::decode_all(&digest.ranges);
    let own_list = shared.endpoints_revision();
    {
        let mut core = shared.core();
        core.versions.apply_report(now, &mixed);
        for told in ranges {
            core.ranges.learn(now, told);
        }
        if let Some(left) = digest.past_unknown_ms {
            let report = PastReport {
                list: StoreRevision(digest.endpoints_revision),
                left: TimeSpan::from_millis(u64::from(left)),
            };
            core.versions.apply_past_report(now, own_list, report);
        }
        core.deposits.record_heard(now, sender);
        for group in digest.begun.iter().chain(&digest.deposited) {
            let start = group.start();
            for stream in group.streams() {
                core.origins.record(now, stream, start.clone());
            }
        }
        for group in &digest.deposited {
            let service = group.start().service;
            let streams = group.streams().map(|stream| (stream, service));
            core.deposits.deposit(now, sender, streams);
        }
    }
    for group in &digest.begun {
        let start = group.start();
        for stream in group.streams() {
            shared.lookups.found(stream, &start);
        }
    }
    for stream in &digest.unknown_streams {
        shared.lookups.not_found(StreamNumber(*stream));
    }
    let has_questions = !digest.asked_streams.is_empty();
    has_questions.then(|| answer(shared, now, &digest.asked_streams))
}

fn answer(shared: &SharedState, now: Moment, asked: &[u64]) -> RouterDigest {
    let core = shared.core();
    let mut known = Vec::new();
    let mut unknown_streams = Vec::new();
    for stream in asked.iter().copied().take(MAX_ASKED).map(StreamNumber) {
        match core.origins.find(stream) {
            Some(start) => known.push((stream, start.clone())),
            None => unknown_streams.push(stream.0),
        }
    }
    RouterDigest {
        begun: BegunStreams::group(&known),
        mixed: mixed_entries(&core.versions.to_report(now)),
        unknown_streams,
        ..RouterDigest::default()
    }
}

/// Encodes mixed services.
#[must_use]
pub fn mixed_entries(mixed: &[MixedService]) -> Vec<MixedEntry> {
    mixed.iter().map(MixedEntry::of).collect()
}
