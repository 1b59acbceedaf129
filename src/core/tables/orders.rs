//! Orders to endpoints, and what a router must know to give them.

use std::collections::BTreeMap;

use crate::units::ConfigRevision;
use crate::units::EndpointId;
use crate::units::FenceNumber;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RouterIncarnation;
use crate::units::TimeSpan;

/// One load of a model, in the unit of the store's budget.
const ONE_LOAD: u64 = 60_000_000;

/// An order that the endpoint has not followed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenOrder {
    /// The pool whose model it shall load.
    pub pool: PoolId,
    /// Its number.
    pub fence: FenceNumber,
    /// When it was last sent.
    pub sent_at: Moment,
}

/// What an endpoint serves, and since when as far as this router saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Residence {
    /// The pool.
    pub pool: PoolId,
    /// When this router first saw it there.
    pub since: Moment,
}

/// The highest number that an endpoint reports, and when this router first saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenFence {
    /// The number.
    pub fence: u64,
    /// When it was first seen.
    pub since: Moment,
}

/// This router's part of the weight store's rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadBudget {
    saved: u64,
    refilled: Moment,
    /// Most hosts that this router ever knew of; the rate is split by it.
    pub hosts: u64,
}

impl LoadBudget {
    /// Adds what was earned since the last call; one load is saved up at most. It starts empty,
    /// so that restarts earn nothing.
    pub fn refill(&mut self, now: Moment, loads_per_minute: u32) {
        let passed = now.since(self.refilled).0;
        self.refilled = now;
        if let Some(earned) = (passed * u64::from(loads_per_minute)).checked_div(self.hosts) {
            self.saved = (self.saved + earned).min(ONE_LOAD);
        }
    }

    /// Spends one load; false if none is saved.
    pub fn spend(&mut self) -> bool {
        if self.saved < ONE_LOAD {
            return false;
        }
        self.saved -= ONE_LOAD;
        true
    }
}

/// All of it.
#[derive(Debug, Default)]
pub struct OrderTable {
    /// Pools that this router owns, and since when without a pause.
    pub owner_since: BTreeMap<PoolId, Moment>,
    /// Owned pools that lack slots, and since when.
    pub scarce_since: BTreeMap<PoolId, Moment>,
    /// When a pool's last wish was sent.
    pub wished_at: BTreeMap<PoolId, Moment>,
    /// Orders that were not followed yet.
    pub open: BTreeMap<EndpointId, OpenOrder>,
    /// What endpoints serve.
    pub residences: BTreeMap<EndpointId, Residence>,
    /// Numbers that endpoints report.
    pub fences: BTreeMap<EndpointId, SeenFence>,
    /// The store's budget.
    pub budget: LoadBudget,
    /// When the last tick came.
    pub ticked_at: Moment,
}

/// The part of a fencing number that tells router lives apart.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn fence_tag(life: RouterIncarnation) -> u32 {
    (life.0 ^ (life.0 >> 32)) as u32
}

/// The tag in a fencing number.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn tag_of(fence: u64) -> u32 {
    fence as u32
}

/// The number for a router life's next order: its term is at least the publication's revision
/// and the term that the endpoint reports, and above that one if another life gave it. Two lives
/// never give the same number, so an endpoint that checks obeys, after one life's order, no
/// order of another life that was decided without knowing of it.
#[must_use]
pub fn next_fence(revision: ConfigRevision, reported: u64, life: RouterIncarnation) -> FenceNumber {
    let tag = fence_tag(life);
    let (term, holder) = (reported >> 32, tag_of(reported));
    let above = if reported == 0 || holder == tag {
        term
    } else {
        term + 1
    };
    FenceNumber((above.max(revision.0) << 32) | u64::from(tag))
}

impl OrderTable {
    /// True if the endpoint has served what it serves for at least this long.
    #[must_use]
    pub fn is_settled(&self, endpoint: EndpointId, now: Moment, least: TimeSpan) -> bool {
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
    fn another_life_gets_a_higher_number() {
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
