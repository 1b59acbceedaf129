//! Streams that other routers deposited here: where they began, in case that their router can't tell.
//!
//! Load pattern: a router stands still or dies at the moment at which a release begins. It began
//! streams while a service had one version, so no holder was told of them
//! ([`super::stream_origins`]), and it can't tell now; its callers come to any other router seconds
//! later. In a fleet in which not all routers are told, each router therefore deposits the streams
//! of services with one version at a few others, its deputies. Once the service is mixed and the
//! depositor is silent, they tell the holders in its place.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::stream_origins::StreamNumber;
use super::version_history::ServiceNumber;

/// Silence after which deputies tell in a depositor's place. A router whose streams are deposited
/// sends a deposit in each half second in which a stream begins; callers give up a stream that
/// stands still after 2 s. Telling in vain costs messages only.
const DEPOSITOR_SILENCE: TimeSpan = TimeSpan::from_millis(1_500);

/// Maximum number of deposited streams, about 1 MB: five times those of two depositors at the largest
/// intended size. A foreign sender could deposit any number.
const MAX_DEPOSITED: usize = 16_384;

/// A process of a router that deposits streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DepositorProcess {
    /// Address of its host.
    pub host: IpAddr,
    /// Its incarnation.
    pub incarnation: u64,
}

#[derive(Debug)]
struct DepositedStream {
    deposited: Moment,
    stream: StreamNumber,
    service: ServiceNumber,
}

#[derive(Debug)]
struct DepositorRow {
    /// When it was last heard; `None` once a later process of its host was.
    heard: Option<Moment>,
    /// In the order in which they were deposited.
    streams: VecDeque<DepositedStream>,
}

/// The deposited streams by depositor.
#[derive(Debug)]
pub struct StreamDeposits {
    /// Time for which a stream is kept.
    memory: TimeSpan,
    depositors: BTreeMap<DepositorProcess, DepositorRow>,
}

impl StreamDeposits {
    /// Creates a table without deposits. A stream may be resumed for `memory` at most.
    #[must_use]
    pub fn new(memory: TimeSpan) -> Self {
        Self {
            memory,
            depositors: BTreeMap::new(),
        }
    }

    /// Records streams that a router deposits.
    pub fn deposit(
        &mut self,
        now: Moment,
        from: DepositorProcess,
        streams: impl Iterator<Item = (StreamNumber, ServiceNumber)>,
    ) {
        self.forget(now);
        let deposited: usize = self.depositors.values().map(|row| row.streams.len()).sum();
        let room = MAX_DEPOSITED.saturating_sub(deposited);
        let row = self.depositors.entry(from).or_insert(DepositorRow {
            heard: Some(now),
            streams: VecDeque::new(),
        });
        let streams = streams.take(room);
        row.streams
            .extend(streams.map(|(stream, service)| DepositedStream {
                deposited: now,
                stream,
                service,
            }));
        self.record_heard(now, from);
    }

    /// Records that a router was heard. Its earlier processes have ended.
    pub fn record_heard(&mut self, now: Moment, from: DepositorProcess) {
        let first = DepositorProcess {
            incarnation: 0,
            ..from
        };
        for (process, row) in self.depositors.range_mut(first..=from) {
            row.heard = row.heard.filter(|_| *process == from).map(|_| now);
        }
    }

    /// Takes up to `most` streams of mixed services whose depositors are silent.
    pub fn take_of_silent(
        &mut self,
        now: Moment,
        most: usize,
        is_mixed: impl Fn(ServiceNumber) -> bool,
    ) -> Vec<StreamNumber> {
        self.forget(now);
        let mut taken = Vec::new();
        let silent = self.depositors.values_mut().filter(|row| {
            row.heard
                .is_none_or(|heard| now.since(heard) >= DEPOSITOR_SILENCE)
        });
        for row in silent {
            row.streams.retain(|deposited| {
                let is_due = taken.len() < most && is_mixed(deposited.service);
                if is_due {
                    taken.push(deposited.stream);
                }
                !is_due
            });
        }
        taken
    }

    fn forget(&mut self, now: Moment) {
        for row in self.depositors.values_mut() {
            while row
                .streams
                .front()
                .is_some_and(|first| now.since(first.deposited) >= self.memory)
            {
                row.streams.pop_front();
            }
        }
        self.depositors.retain(|_, row| !row.streams.is_empty());
    }
}
