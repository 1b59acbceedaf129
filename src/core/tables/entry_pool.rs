//! One pool as an entry router uses it: waiting requests, the slots it holds, and the order
//! of teams that the pool's owner told it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::tables::start_pace::StartPace;
use crate::core::tables::team_queue::TeamQueue;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RequestId;
use crate::units::RouterIncarnation;
use crate::units::ShareWeight;
use crate::units::TeamId;

/// Virtual time per service unit of a team of share 1.
pub const VIRTUAL_SCALE: i64 = 1_000;

/// Virtual time that a charge of service units stands for.
#[must_use]
pub fn virtual_time(charge: i64, share: ShareWeight) -> i64 {
    charge.saturating_mul(VIRTUAL_SCALE) / i64::from(share.0.max(1))
}

/// The owner's incarnation as messages carry it.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn epoch_of(incarnation: RouterIncarnation) -> u32 {
    incarnation.0 as u32
}

/// Slots of one endpoint that this router holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotHold {
    /// Held already when the owner's epoch began.
    pub carried: u32,
    /// Granted since.
    pub granted: u64,
    /// Given back since.
    pub returned: u64,
    /// Running attempts here.
    pub busy: u32,
    /// Sequence of the first report that tells `returned` as it is now.
    pub told_in: u64,
}

impl SlotHold {
    /// Slots held now.
    #[must_use]
    pub fn held(&self) -> u32 {
        let held = u64::from(self.carried) + self.granted - self.returned;
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Slots held with nothing running on them.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.held().saturating_sub(self.busy)
    }
}

/// A team's place among those that wait: teams below their quota first, then by virtual time
/// less the credit of urgent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamRank {
    /// True if the team runs as many requests here as its quota.
    pub at_quota: bool,
    /// Virtual time less credit.
    pub time: i64,
}

/// One team in one pool at this router.
#[derive(Debug, Default)]
pub struct TeamUsage {
    /// What waits.
    pub queue: TeamQueue,
    /// How fast what waits is started.
    pub pace: StartPace,
    /// Attempts that run.
    pub running: u32,
    /// Service charged since this router's start.
    pub charged: i64,
    /// Virtual time that the owner told.
    pub told: i64,
    /// `charged` as the owner knew it when it told.
    pub told_charged: i64,
    /// Slots that the owner thinks fair here; none told yet if absent.
    pub quota: Option<u32>,
    /// `charged` as sent in reports that the owner has not acknowledged.
    pub sent_charges: Vec<(u64, i64)>,
    /// Sequence of the first report that tells the numbers as they are now.
    pub told_in: u64,
    /// The place in `EntryPool::order`, if the team waits.
    pub rank: Option<TeamRank>,
}

/// Which router owns the pool, as far as this router knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerLink {
    /// Its host.
    pub host: HostName,
    /// Its incarnation, truncated as on the wire.
    pub epoch: u32,
}

/// One pool at an entry router.
#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools)]
pub struct EntryPool {
    /// The owner that this router reports to.
    pub owner: Option<OwnerLink>,
    /// Member table version for which `owner` was worked out.
    pub owner_version: u64,
    /// Teams that used the pool here.
    pub teams: BTreeMap<TeamId, TeamUsage>,
    /// Teams that wait here.
    pub order: BTreeSet<(TeamRank, TeamId)>,
    /// Slots held here.
    pub slots: BTreeMap<EndpointId, SlotHold>,
    /// Endpoints with a free slot, by number of free slots.
    pub open: BTreeSet<(u32, EndpointId)>,
    /// Slots that the owner wants this router to keep.
    pub target: u32,
    /// Slots held in all.
    pub held: u32,
    /// Attempts running in all.
    pub busy: u32,
    /// True while requests wait somewhere for lack of slots.
    pub scarce: bool,
    /// The pool's virtual time that the owner told.
    pub clock: i64,
    /// Counts how often this router turned to an owner anew.
    pub term: u32,
    /// Sequence of the last report sent.
    pub report_sequence: u64,
    /// Highest report sequence that the owner acknowledged.
    pub report_acked: u64,
    /// Highest allotment sequence seen.
    pub allotment_seen: u64,
    /// When the last report was sent.
    pub reported_at: Moment,
    /// True if the owner should know soon that slots came back.
    pub urgent: bool,
    /// True if a team began to wait since the last report.
    pub wants: bool,
    /// True if anything changed since the last report.
    pub changed: bool,
    /// Endpoint that last ran a request with this prefix.
    pub prefixes: BTreeMap<u64, EndpointId>,
    /// Waiting requests in all.
    pub waiting: u32,
}

impl EntryPool {
    /// Changes the slots held on an endpoint and keeps the sums and the open list right.
    pub fn change_slots(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut SlotHold)) {
        let hold = self.slots.entry(endpoint).or_default();
        let before = (hold.held(), hold.busy, hold.free());
        change(hold);
        self.held = self.held - before.0 + hold.held();
        self.busy = self.busy - before.1 + hold.busy;
        let free_now = hold.free();
        if before.2 > 0 {
            self.open.remove(&(before.2, endpoint));
        }
        if free_now > 0 {
            self.open.insert((free_now, endpoint));
        }
        self.changed = true;
    }

    /// Gives one free slot of an endpoint back to the owner.
    pub fn give_back(&mut self, endpoint: EndpointId) {
        let next = self.report_sequence + 1;
        self.change_slots(endpoint, |hold| {
            hold.returned += 1;
            hold.told_in = next;
        });
        self.urgent = true;
    }

    /// Adds a charge to a team.
    pub fn charge(&mut self, team: TeamId, amount: i64) {
        let next = self.report_sequence + 1;
        let usage = self.teams.entry(team).or_default();
        usage.charged += amount;
        usage.told_in = next;
        self.changed = true;
    }

    /// Notes that a team's waiting or running numbers moved.
    pub fn touch(&mut self, team: TeamId) {
        let next = self.report_sequence + 1;
        self.teams.entry(team).or_default().told_in = next;
        self.changed = true;
    }

    /// A team's virtual time as this router knows it: what the owner told plus what was charged
    /// here since.
    #[must_use]
    pub fn local_time(&self, team: TeamId, share: ShareWeight) -> i64 {
        let Some(usage) = self.teams.get(&team) else {
            return self.clock;
        };
        usage.told + virtual_time(usage.charged - usage.told_charged, share)
    }

    /// Puts a team at its place in the order, or takes it out if nothing waits.
    pub fn rank(&mut self, team: TeamId, share: ShareWeight, express: i64) {
        let time = self.local_time(team, share);
        let Some(usage) = self.teams.get_mut(&team) else {
            return;
        };
        if let Some(old) = usage.rank.take() {
            self.order.remove(&(old, team));
        }
        if usage.queue.is_empty() {
            return;
        }
        let credit = if usage.queue.is_urgent() { express } else { 0 };
        // Costs are known only at the end: a team whose requests turn out dear would hold far
        // more than its part of the slots before its charges show. Its quota stops that.
        let rank = TeamRank {
            at_quota: usage.quota.is_some_and(|quota| usage.running >= quota),
            time: time - credit,
        };
        usage.rank = Some(rank);
        self.order.insert((rank, team));
    }

    /// Requests that run or wait here for a team.
    #[must_use]
    pub fn demand_of(&self, team: TeamId) -> u32 {
        self.teams.get(&team).map_or(0, |usage| {
            usage.running + u32::try_from(usage.queue.len()).unwrap_or(u32::MAX)
        })
    }

    /// Remembers where a prefix ran; forgets an arbitrary one above `most`.
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

/// A request taken from a queue, with its team.
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
        assert_eq!(pool.open.iter().next(), Some(&(1, endpoint)));
    }
}
