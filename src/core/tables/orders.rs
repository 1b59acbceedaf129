//! Model-load orders to endpoints, and the state needed to decide on them.
//!
//! A wish is a message by which the owner of a pool that lacks slots requests an endpoint from the
//! owner of another pool. An order makes an endpoint load the model of another pool. It has a
//! fencing token: a term in the upper 32 bits and a tag of the incarnation that issued it in the
//! lower 32 bits. An endpoint that checks tokens rejects an order with a lower token than it has
//! seen.

use std::collections::BTreeMap;

use crate::units::ConfigRevision;
use crate::units::EndpointId;
use crate::units::FenceNumber;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RouterIncarnation;
use crate::units::TimeSpan;

/// Cost of one model load in units of [`LoadBudget`]. A unit is one 60,000,000th of a load, as a
/// minute has 60,000,000 microseconds: the buckets of all routers together gain `loads_per_minute`
/// units per microsecond.
const LOAD_COST: u64 = 60_000_000;

/// An order that the endpoint has not carried out yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenOrder {
    /// The pool whose model it must load.
    pub pool: PoolId,
    /// The order's fencing token.
    pub fence: FenceNumber,
    /// When it was last sent.
    pub sent_at: Moment,
}

/// The pool that an endpoint serves, and since when according to the load reports seen here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Residence {
    /// The pool.
    pub pool: PoolId,
    /// When this router first saw the endpoint serve it.
    pub since: Moment,
}

/// The highest fencing token that an endpoint has reported, and when this router first saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenFence {
    /// The fencing token.
    pub fence: u64,
    /// When it was first seen.
    pub since: Moment,
}

/// This router's part of the rate at which endpoints may load models from the weight store, the
/// storage of model weights that all endpoints share, as a token bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadBudget {
    saved: u64,
    refilled: Moment,
    /// The largest number of routers, dead ones included, that this router's member table has ever
    /// had; the rate is divided by it.
    pub hosts: u64,
}

impl LoadBudget {
    /// Refills the bucket for the time since the last call (the first call: since moment 0), up to
    /// one load. The bucket starts empty and gains nothing while `hosts` is 0, so that restarts
    /// gain nothing.
    pub fn refill(&mut self, now: Moment, loads_per_minute: u32) {
        let passed = now.since(self.refilled).0;
        self.refilled = now;
        if let Some(earned) = (passed * u64::from(loads_per_minute)).checked_div(self.hosts) {
            self.saved = (self.saved + earned).min(LOAD_COST);
        }
    }

    /// Spends one load; returns false if the bucket does not hold one.
    pub fn spend(&mut self) -> bool {
        if self.saved < LOAD_COST {
            return false;
        }
        self.saved -= LOAD_COST;
        true
    }
}

/// State of model-load orders at this router.
#[derive(Debug, Default)]
pub struct OrderTable {
    /// Pools that this router owns, and since when; counted anew after a pause of this process.
    pub owner_since: BTreeMap<PoolId, Moment>,
    /// Owned pools whose demand exceeds their slots, and since when.
    pub scarce_since: BTreeMap<PoolId, Moment>,
    /// When a wish for an endpoint was last sent on behalf of a pool.
    pub last_wish_at: BTreeMap<PoolId, Moment>,
    /// Orders that were not carried out yet.
    pub open: BTreeMap<EndpointId, OpenOrder>,
    /// Pools that endpoints serve.
    pub residences: BTreeMap<EndpointId, Residence>,
    /// Fencing tokens that endpoints report.
    pub fences: BTreeMap<EndpointId, SeenFence>,
    /// Budget of loads from the weight store.
    pub budget: LoadBudget,
    /// Time of the last tick.
    pub ticked_at: Moment,
}

/// The part of a fencing token that identifies the router incarnation.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn fence_tag(incarnation: RouterIncarnation) -> u32 {
    (incarnation.0 ^ (incarnation.0 >> 32)) as u32
}

/// Extracts the incarnation tag from a fencing token.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn tag_of(fence: u64) -> u32 {
    fence as u32
}

/// The fencing token for the next order of a router incarnation. Its term is at least the
/// publication's revision and the term that the endpoint reports, and greater than the latter if
/// that token came from another incarnation. Two incarnations issue different tokens unless the 32
/// bits of their tags are equal, so once an endpoint that checks tokens has followed an order of
/// one incarnation, it rejects orders that another one issued without knowing of it.
#[must_use]
pub fn next_fence(
    revision: ConfigRevision,
    reported: u64,
    incarnation: RouterIncarnation,
) -> FenceNumber {
    let tag = fence_tag(incarnation);
    let (term, holder) = (reported >> 32, tag_of(reported));
    let above = if reported == 0 || holder == tag {
        term
    } else {
        term + 1
    };
    FenceNumber((above.max(revision.0) << 32) | u64::from(tag))
}

impl OrderTable {
    /// True if the endpoint has served its current pool for at least `least`.
    #[must_use]
    pub fn has_resided_for(&self, endpoint: EndpointId, now: Moment, least: TimeSpan) -> bool {
        self.residences
            .get(&endpoint)
            .is_some_and(|residence| now.since(residence.since) >= least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_is_split_by_hosts_and_starts_empty() {
        let mut budget = LoadBudget {
            hosts: 8,
            ..LoadBudget::default()
        };
        assert!(!budget.spend());
        budget.refill(Moment(40_000_000), 12);
        assert!(budget.spend() && !budget.spend());
    }

    #[test]
    fn another_incarnation_gets_a_higher_fencing_token() {
        let first = next_fence(ConfigRevision(5), 0, RouterIncarnation(9));
        let same = next_fence(ConfigRevision(5), first.0, RouterIncarnation(9));
        let other = next_fence(ConfigRevision(5), first.0, RouterIncarnation(3));
        assert_eq!(first, same);
        assert!(other > first);
        assert_eq!(
            next_fence(ConfigRevision(7), first.0, RouterIncarnation(9)).0 >> 32,
            7
        );
    }
}
