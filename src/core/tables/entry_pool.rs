//! An entry router's state of a pool: waiting requests, the slots it holds, and the order of teams
//! according to the pool's owner.
//!
//! Entry router and owner both count the granted and returned slots. Their counts are valid within
//! a term, a numbered period. The entry router begins a new term, with a higher number, when the
//! owner changes or asks for it; both then count from the slots of the attempts that are running at
//! that time. An epoch is a router's incarnation truncated to 32 bits, by which messages for an
//! earlier incarnation are recognised.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::tables::team_queue::TeamQueue;
use crate::core::tables::wait_estimator::WaitEstimator;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RequestId;
use crate::units::RouterIncarnation;
use crate::units::ShareWeight;
use crate::units::TeamId;

/// Virtual time of one service unit for a team of share 1.
pub const VIRTUAL_SCALE: i64 = 1_000;

/// Converts a charge in service units to virtual time.
#[must_use]
pub fn virtual_time(charge: i64, share: ShareWeight) -> i64 {
    charge.saturating_mul(VIRTUAL_SCALE) / i64::from(share.0.max(1))
}

/// The epoch of a router: its incarnation truncated to 32 bits.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn epoch_of(incarnation: RouterIncarnation) -> u32 {
    incarnation.0 as u32
}

/// Slots of one endpoint held by this router.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotHold {
    /// Slots already held when the term began.
    pub carried: u32,
    /// Slots granted since then.
    pub granted: u64,
    /// Slots returned since then.
    pub returned: u64,
    /// Number of running attempts of this router on the endpoint.
    pub busy: u32,
    /// Sequence number of the first report that contains, or will contain, the endpoint's current
    /// values.
    pub first_sent_in: u64,
}

impl SlotHold {
    /// Number of slots held now.
    #[must_use]
    pub fn held(&self) -> u32 {
        let held = u64::from(self.carried) + self.granted - self.returned;
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Number of held slots without a running attempt.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.held().saturating_sub(self.busy)
    }
}

/// Sort key of waiting teams: teams below their quota first, then by virtual time less the credit
/// for interactive requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamRank {
    /// True if the team's running attempts at this router have reached its quota.
    pub at_quota: bool,
    /// Virtual time less credit.
    pub time: i64,
}

/// One team in one pool at this router.
#[derive(Debug, Default)]
pub struct TeamUsage {
    /// Waiting requests.
    pub queue: TeamQueue,
    /// Estimates the wait of new requests.
    pub wait_estimate: WaitEstimator,
    /// Number of running attempts.
    pub running: u32,
    /// Service units charged since this router's start.
    pub charged: i64,
    /// Virtual time according to the owner's last allotment.
    pub owner_time: i64,
    /// The value of `charged` that `owner_time` includes.
    pub owner_charged: i64,
    /// The team's fair number of slots at this router according to the owner; `None` if unknown.
    pub quota: Option<u32>,
    /// Report sequence numbers and the values of `charged` sent in them, from the last acknowledged
    /// report on.
    pub sent_charges: Vec<(u64, i64)>,
    /// Sequence number of the first report that contains the current values.
    pub first_sent_in: u64,
    /// The team's key in `EntryPool::order`, if it has waiting requests.
    pub rank: Option<TeamRank>,
}

/// The owner of a pool, as far as this router knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerLink {
    /// Its host.
    pub host: HostName,
    /// Its epoch.
    pub epoch: u32,
}

/// State of one pool at an entry router.
#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools)]
pub struct EntryPool {
    /// The owner that this router reports to.
    pub owner: Option<OwnerLink>,
    /// Version of the member table for which `owner` was determined.
    pub owner_version: u64,
    /// Teams that have used the pool at this router.
    pub teams: BTreeMap<TeamId, TeamUsage>,
    /// Teams with waiting requests, in the order in which they are served.
    pub order: BTreeSet<(TeamRank, TeamId)>,
    /// Slots held by this router, per endpoint.
    pub slots: BTreeMap<EndpointId, SlotHold>,
    /// Endpoints with free slots, ordered by the number of free slots.
    pub free_endpoints: BTreeSet<(u32, EndpointId)>,
    /// Number of slots that this router should keep according to the owner.
    pub target: u32,
    /// Total number of slots held.
    pub held: u32,
    /// Total number of running attempts.
    pub busy: u32,
    /// True while the pool's demand exceeds its slots and the owner wants spare ones back.
    pub scarce: bool,
    /// The pool's virtual time according to the owner, in units of 1 / [`VIRTUAL_SCALE`] of a
    /// service unit for a team of share 1.
    pub clock: i64,
    /// The current term: the number of times that this router restarted its slot counts.
    pub term: u32,
    /// Sequence number of the last report sent.
    pub report_sequence: u64,
    /// Highest report sequence number that the owner acknowledged.
    pub report_acked: u64,
    /// Highest allotment sequence number received.
    pub allotment_seen: u64,
    /// When the last report was sent.
    pub reported_at: Moment,
    /// True if an early report is due, for example because slots were returned. New demand also
    /// makes a report early, but only while no slot is free (`has_new_demand`).
    pub urgent: bool,
    /// True if a team started to wait since the last report.
    pub has_new_demand: bool,
    /// True if anything changed since the last report.
    pub changed: bool,
    /// The endpoint that last ran a request with a prefix, by prefix hash.
    pub prefixes: BTreeMap<u64, EndpointId>,
    /// Total number of waiting requests.
    pub waiting: u32,
}

impl EntryPool {
    /// Changes the slots held on an endpoint and updates the totals and `free_endpoints`.
    pub fn change_slots(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut SlotHold)) {
        let hold = self.slots.entry(endpoint).or_default();
        let before = (hold.held(), hold.busy, hold.free());
        change(hold);
        self.held = self.held - before.0 + hold.held();
        self.busy = self.busy - before.1 + hold.busy;
        let free_now = hold.free();
        if before.2 > 0 {
            self.free_endpoints.remove(&(before.2, endpoint));
        }
        if free_now > 0 {
            self.free_endpoints.insert((free_now, endpoint));
        }
        self.changed = true;
    }

    /// Returns one free slot of an endpoint to the owner.
    pub fn give_back(&mut self, endpoint: EndpointId) {
        let next = self.report_sequence + 1;
        self.change_slots(endpoint, |hold| {
            hold.returned += 1;
            hold.first_sent_in = next;
        });
        self.urgent = true;
    }

    /// Charges a team `amount` service units.
    pub fn charge(&mut self, team: TeamId, amount: i64) {
        let next = self.report_sequence + 1;
        let usage = self.teams.entry(team).or_default();
        usage.charged += amount;
        usage.first_sent_in = next;
        self.changed = true;
    }

    /// Marks a team's number of waiting or running requests as changed since the last report.
    pub fn mark_changed(&mut self, team: TeamId) {
        let next = self.report_sequence + 1;
        self.teams.entry(team).or_default().first_sent_in = next;
        self.changed = true;
    }

    /// A team's virtual time as known to this router: the owner's value plus the charges at this
    /// router that it does not include.
    #[must_use]
    pub fn local_virtual_time(&self, team: TeamId, share: ShareWeight) -> i64 {
        let Some(usage) = self.teams.get(&team) else {
            return self.clock;
        };
        usage.owner_time + virtual_time(usage.charged - usage.owner_charged, share)
    }

    /// Updates a team's position in the order, or removes the team if it has no waiting requests.
    /// `interactive_credit` is the credit for interactive requests in virtual time.
    pub fn rank(&mut self, team: TeamId, share: ShareWeight, interactive_credit: i64) {
        let time = self.local_virtual_time(team, share);
        let Some(usage) = self.teams.get_mut(&team) else {
            return;
        };
        if let Some(old) = usage.rank.take() {
            self.order.remove(&(old, team));
        }
        if usage.queue.is_empty() {
            return;
        }
        let credit = if usage.queue.has_interactive() {
            interactive_credit
        } else {
            0
        };
        // The cost of a request is known only at its end. Without the quota, a team with expensive
        // requests would take far more than its share of the slots before it is charged for them.
        let rank = TeamRank {
            at_quota: usage.quota.is_some_and(|quota| usage.running >= quota),
            time: time - credit,
        };
        usage.rank = Some(rank);
        self.order.insert((rank, team));
    }

    /// Number of a team's requests that run or wait at this router.
    #[must_use]
    pub fn demand_of(&self, team: TeamId) -> u32 {
        self.teams.get(&team).map_or(0, |usage| {
            usage.running + u32::try_from(usage.queue.len()).unwrap_or(u32::MAX)
        })
    }

    /// Records the endpoint that ran a prefix; above `most` prefixes, removes an arbitrary one.
    pub fn remember_prefix(&mut self, prefix: u64, endpoint: EndpointId, most: usize) {
        if prefix == 0 {
            return;
        }
        self.prefixes.insert(prefix, endpoint);
        if self.prefixes.len() > most {
            self.prefixes.pop_first();
        }
    }
}

/// A request to be started next, with its team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextRequest {
    /// The request.
    pub request: RequestId,
    /// Its team.
    pub team: TeamId,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sums_follow_the_slots() {
        let mut pool = EntryPool::default();
        let endpoint = EndpointId(7);
        pool.change_slots(endpoint, |hold| hold.granted += 3);
        pool.change_slots(endpoint, |hold| hold.busy += 1);
        pool.give_back(endpoint);
        assert_eq!((pool.held, pool.busy), (2, 1));
        assert_eq!(pool.free_endpoints.iter().next(), Some(&(1, endpoint)));
    }
}
