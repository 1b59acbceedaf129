//! What an entry router tells a pool's owner.

use prost::Message;

/// Demand and returned slots of one entry router in one pool.
///
/// All numbers are absolute or grow-only and `sequence` orders them, so that a lost, doubled
/// or reordered report does no harm.
#[derive(Clone, PartialEq, Message)]
pub struct DemandReport {
    /// The pool.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The owner's incarnation that the slot counts refer to (truncated to 32 bits).
    #[prost(fixed32, tag = "2")]
    pub epoch: u32,
    /// Grows with each report of this router incarnation to this epoch.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Highest allotment sequence seen.
    #[prost(uint64, tag = "4")]
    pub acked: u64,
    /// Teams with something waiting or running, or whose charge moved.
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
    /// Endpoints with a row in the two lists below.
    #[prost(fixed32, repeated, tag = "9")]
    pub endpoints: Vec<u32>,
    /// Slots this router already held when the epoch began, per entry of `endpoints`.
    #[prost(uint32, repeated, tag = "10")]
    pub carried: Vec<u32>,
    /// Slots given back since the epoch began, per entry of `endpoints`.
    #[prost(uint64, repeated, tag = "11")]
    pub returned: Vec<u64>,
    /// Pressure, per entry of `endpoints`: answers over the latency goal per mille.
    #[prost(uint32, repeated, tag = "13")]
    pub pressure: Vec<u32>,
    /// True if the router drains: it takes slots for what waits there and none to spare.
    #[prost(bool, tag = "14")]
    pub draining: bool,
    /// Counts how often the sender turned to an owner anew; slot counts begin anew with it.
    #[prost(uint32, tag = "15")]
    pub term: u32,
}
