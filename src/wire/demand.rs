//! Demand reports: messages from an entry router to a pool's owner.

use prost::Message;

/// Demand and returned slots of one entry router in one pool.
///
/// All numbers are absolute values or counters that only grow, and `sequence` orders the reports,
/// so a lost, duplicated or reordered report does no harm.
#[derive(Clone, PartialEq, Message)]
pub struct DemandReport {
    /// The pool.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The owner's incarnation that the slot counts refer to (truncated to 32 bits).
    #[prost(fixed32, tag = "2")]
    pub epoch: u32,
    /// Increases with each report of this router incarnation to this epoch.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Highest allotment sequence seen.
    #[prost(uint64, tag = "4")]
    pub acked: u64,
    /// Teams with requests waiting or running, or whose charge changed.
    #[prost(fixed32, repeated, tag = "5")]
    pub teams: Vec<u32>,
    /// Requests waiting, per entry of `teams`.
    #[prost(uint32, repeated, tag = "6")]
    pub waiting: Vec<u32>,
    /// Requests running, per entry of `teams`.
    #[prost(uint32, repeated, tag = "7")]
    pub running: Vec<u32>,
    /// Service charged since this router's start in `CHARGE_STEP` units, per entry of `teams`.
    #[prost(sint64, repeated, tag = "8")]
    pub charged: Vec<i64>,
    /// Endpoints that the entries of `carried`, `returned` and `pressure` refer to, in the same
    /// order.
    #[prost(fixed32, repeated, tag = "9")]
    pub endpoints: Vec<u32>,
    /// Slots this router already held when the epoch began, per entry of `endpoints`.
    #[prost(uint32, repeated, tag = "10")]
    pub carried: Vec<u32>,
    /// Slots returned since the epoch began, per entry of `endpoints`.
    #[prost(uint64, repeated, tag = "11")]
    pub returned: Vec<u64>,
    /// Answers that missed the latency goal, per mille, per entry of `endpoints`.
    #[prost(uint32, repeated, tag = "13")]
    pub pressure: Vec<u32>,
    /// True if the router is draining: it needs slots for the requests that wait there, and no
    /// spare ones.
    #[prost(bool, tag = "14")]
    pub draining: bool,
    /// Increases each time the sender starts over with an owner; the slot counts restart with it.
    #[prost(uint32, tag = "15")]
    pub term: u32,
}
