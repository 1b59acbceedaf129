//! Which records of where streams began a router sends to another router's new process.
//!
//! Load pattern: routers are killed or updated one after the other while streams run. A record is
//! told once, when its stream begins, to the processes that run then, and each restart removes the
//! copies that one of them held. After a series of restarts no copy is left, and callers whose
//! streams break are refused although endpoints of their version serve. So the other routers send
//! a new process the records that it would hold if it had not started later.
//!
//! In a fleet in which all routers hold all records, each of them comes from the router at which
//! its stream began and from two more, which differ by stream: the fleet sends about three
//! copies, not one a router. In a larger fleet the few routers that hold a record send it.

use std::collections::VecDeque;
use std::net::IpAddr;

use crate::units::Moment;

use super::stream_origins::KnownStream;
use super::stream_origins::StreamNumber;
use super::stream_origins::StreamOrigins;
use super::stream_origins::StreamStart;
use super::stream_origins::is_holder;
use super::version_history::VersionHistory;

/// Routers that send a record to a new process beside the one at which its stream began. One of
/// them may have started just before, without the record.
const SENDERS: usize = 2;

/// Routers that keep a record in a fleet in which not all do, and that are asked for it: those that were
/// told, also if two routers know different fleets by one, and the one at which the stream began if it
/// counts itself in.
pub const RECORD_KEEPERS: usize = 3;

/// Maximum number of records in a message: 4 KB.
const MAX_MESSAGE_RECORDS: usize = 512;

/// Maximum number of messages per round: 32 KB, or 2.6 Mbit/s at ten rounds per second. A router's part
/// of the records of a busy fleet of eight fits into one round.
const MAX_ROUND_MESSAGES: usize = 8;

/// Maximum number of messages that wait. Sending them takes 6 s; a stream that is sent later has
/// seldom much left.
const MAX_WAITING_MESSAGES: usize = 512;

/// Which routers hold the records of streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToldRouters {
    /// All routers; they are told in the digests.
    All,
    /// The holders of each stream.
    Holders,
}

/// A fleet as one of its routers knows it.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// This router.
    pub own: IpAddr,
    /// The other routers that are live.
    pub others: &'a [IpAddr],
    /// Which of them hold records.
    pub told: ToldRouters,
}

/// Records for a router's new process, as many as fit into a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefillMessage {
    /// The router.
    pub receiver: IpAddr,
    /// Streams and where they began.
    pub records: Vec<(StreamNumber, StreamStart)>,
}

/// The messages that wait to be sent to new processes.
#[derive(Debug, Default)]
pub struct RecordRefill {
    waiting: VecDeque<RefillMessage>,
}

impl RecordRefill {
    /// Adds the records for a router's new process. Returns their number.
    pub fn add(&mut self, receiver: IpAddr, records: &[(StreamNumber, StreamStart)]) -> usize {
        self.waiting.retain(|message| message.receiver != receiver);
        let messages = records.chunks(MAX_MESSAGE_RECORDS);
        let room = MAX_WAITING_MESSAGES.saturating_sub(self.waiting.len());
        let mut added = 0;
        for records in messages.take(room) {
            added += records.len();
            self.waiting.push_back(RefillMessage {
                receiver,
                records: records.to_vec(),
            });
        }
        added
    }

    /// Takes the messages of one round.
    pub fn take_round(&mut self) -> Vec<RefillMessage> {
        let count = self.waiting.len().min(MAX_ROUND_MESSAGES);
        self.waiting.drain(..count).collect()
    }
}

/// Returns the records that this router sends to the new process of another one.
#[must_use]
pub fn records_for(
    now: Moment,
    fleet: FleetView<'_>,
    receiver: IpAddr,
    origins: &StreamOrigins,
    versions: &VersionHistory,
) -> Vec<(StreamNumber, StreamStart)> {
    let known = origins.known().filter(|stream| match fleet.told {
        ToldRouters::All => stream.began_here || is_sender(fleet, receiver, stream),
        ToldRouters::Holders => {
            is_keeper(fleet, receiver, stream)
                && versions.is_mixed_number(now, stream.start.service)
        }
    });
    let records = known.map(|stream| (stream.number, stream.start.clone()));
    records.collect()
}

fn is_sender(fleet: FleetView<'_>, receiver: IpAddr, stream: &KnownStream<'_>) -> bool {
    let others = fleet.others.iter().copied();
    let others = others.filter(|other| *other != receiver);
    is_holder(others, fleet.own, stream.number, SENDERS)
}

fn is_keeper(fleet: FleetView<'_>, receiver: IpAddr, stream: &KnownStream<'_>) -> bool {
    let others = fleet.others.iter().copied().chain([fleet.own]);
    is_holder(others, receiver, stream.number, RECORD_KEEPERS)
}
