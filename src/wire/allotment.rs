//! Slot allotments: messages from a pool's owner to an entry router.

use prost::Message;

/// The slots and the order of teams that an entry router must use in one pool.
///
/// `granted` only grows within an epoch and `sequence` orders all other fields, so a lost,
/// duplicated or reordered message does no harm.
#[derive(Clone, PartialEq, Message)]
pub struct SlotAllotment {
    /// The pool.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// The owner's incarnation (truncated to 32 bits).
    #[prost(fixed32, tag = "2")]
    pub epoch: u32,
    /// Increases with each allotment of this epoch to this router.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Highest report sequence that this allotment takes into account.
    #[prost(uint64, tag = "4")]
    pub acked: u64,
    /// Slots that the router may keep; it returns any above this number as they become free.
    #[prost(uint32, tag = "5")]
    pub target: u32,
    /// Endpoints that the entries of `granted` refer to, in the same order.
    #[prost(fixed32, repeated, tag = "6")]
    pub endpoints: Vec<u32>,
    /// Slots granted since the epoch began, per entry of `endpoints`.
    #[prost(uint64, repeated, tag = "7")]
    pub granted: Vec<u64>,
    /// Teams that the entries of `lead` and `quota` refer to, in the same order.
    #[prost(fixed32, repeated, tag = "8")]
    pub teams: Vec<u32>,
    /// How far the team's virtual time is ahead of `clock`, in `VIRTUAL_TIME_STEP` units, per entry
    /// of `teams`.
    #[prost(sint64, repeated, tag = "9")]
    pub lead: Vec<i64>,
    /// Slots of the team's fair share that fall to this router, per entry of `teams`.
    #[prost(uint32, repeated, tag = "14")]
    pub quota: Vec<u32>,
    /// True while requests wait anywhere for lack of slots and the owner can grant returned slots
    /// at once; the router must then return its spare slots.
    #[prost(bool, tag = "10")]
    pub scarce: bool,
    /// The pool's virtual time in `VIRTUAL_TIME_STEP` units.
    #[prost(uint64, tag = "11")]
    pub clock: u64,
    /// The term of the reports that this allotment answers.
    #[prost(uint32, tag = "12")]
    pub term: u32,
    /// True if the owner has no counts of this term; the router must then start a new term.
    #[prost(bool, tag = "13")]
    pub restart: bool,
    /// The incarnation of the entry router that this is for (truncated to 32 bits). Another
    /// incarnation on the same host has its own counts, which may use the same term.
    #[prost(fixed32, tag = "15")]
    pub entry: u32,
}
