//! What a pool's owner tells an entry router.

use prost::Message;

/// The slots and the order of teams that an entry router shall use in one pool.
///
/// `granted` is grow-only per epoch and `sequence` orders the rest, so that a lost, doubled
/// or reordered message does no harm.
#[derive(Clone, PartialEq, Message)]
pub struct SlotAllotment {
    /// The pool.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The owner's incarnation (truncated to 32 bits).
    #[prost(fixed32, tag = "2")]
    pub epoch: u32,
    /// Grows with each allotment of this epoch to this router.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Highest report sequence that is reckoned in below.
    #[prost(uint64, tag = "4")]
    pub acked: u64,
    /// Slots the router shall keep; it gives back what it holds above this as slots free up.
    #[prost(uint32, tag = "5")]
    pub target: u32,
    /// Endpoints with a row in `granted`.
    #[prost(fixed32, repeated, tag = "6")]
    pub endpoints: Vec<u32>,
    /// Slots granted since the epoch began, per entry of `endpoints`.
    #[prost(uint64, repeated, tag = "7")]
    pub granted: Vec<u64>,
    /// Teams with a row in `lead`.
    #[prost(fixed32, repeated, tag = "8")]
    pub teams: Vec<u32>,
    /// Virtual time ahead of the clock in `LEAD_STEP` units, per entry of `teams`.
    #[prost(sint64, repeated, tag = "9")]
    pub lead: Vec<i64>,
    /// Slots that the team's part of a fair share-out comes to here, per entry of `teams`.
    #[prost(uint32, repeated, tag = "14")]
    pub quota: Vec<u32>,
    /// True while requests wait somewhere for lack of slots: spare slots shall come back.
    #[prost(bool, tag = "10")]
    pub scarce: bool,
    /// The pool's virtual time in `LEAD_STEP` units.
    #[prost(uint64, tag = "11")]
    pub clock: u64,
    /// The term of the reports that this answers.
    #[prost(uint32, tag = "12")]
    pub term: u32,
    /// True if the owner has no counts of this term: the router shall begin a new one.
    #[prost(bool, tag = "13")]
    pub restart: bool,
    /// The incarnation of the router that it is for (truncated to 32 bits): another one at the same
    /// host has counts of its own, which may have the same term.
    #[prost(fixed32, tag = "15")]
    pub entry: u32,
}
