//! The owner's state of a pool: demand and slots of each entry router, and the virtual time of each
//! team.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::tables::byte_budget::ByteBudget;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RouterIncarnation;
use crate::units::TeamId;

/// Demand of one team at one entry router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running attempts.
    pub running: u32,
    /// Service charged at the entry router since its start, as last reported, in steps of
    /// [`CHARGE_STEP`](crate::core::systems::reporting::CHARGE_STEP) service units.
    pub charged: i64,
}

/// Slots of one endpoint that are assigned to one entry router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotAssignment {
    /// Slots held when the term began.
    pub carried: u32,
    /// Slots granted since then.
    pub granted: u64,
    /// Slots returned since then, as last reported.
    pub returned: u64,
    /// Sequence number of the first allotment that has, or will have, the current value of
    /// `granted`.
    pub first_sent_in: u64,
}

impl SlotAssignment {
    /// Slots that the entry router may still be using.
    #[must_use]
    pub fn held(&self) -> u32 {
        let held = (u64::from(self.carried) + self.granted).saturating_sub(self.returned);
        u32::try_from(held).unwrap_or(u32::MAX)
    }
}

/// The owner's state of one entry router that reports demand for the pool. Not to be confused
/// with the members of the fleet in `members`.
#[derive(Debug, Clone)]
pub struct PoolMember {
    /// Its incarnation. A new incarnation gets a new state.
    pub incarnation: RouterIncarnation,
    /// Sequence number of the newest report processed.
    pub report_seen: u64,
    /// `report_seen` as acknowledged in the last allotment.
    pub report_ack_sent: u64,
    /// When its newest report arrived.
    pub last_report_at: Moment,
    /// Highest allotment sequence number that it acknowledged.
    pub allotment_acked: u64,
    /// Sequence number of the last allotment sent.
    pub allotment_sequence: u64,
    /// The term that its slot counts belong to.
    pub term: u32,
    /// Its demand per team.
    pub teams: BTreeMap<TeamId, TeamDemand>,
    /// Its slots per endpoint.
    pub slots: BTreeMap<EndpointId, SlotAssignment>,
    /// True if its newest report says that it is draining.
    pub draining: bool,
    /// Its part of each team's fair share, in slots.
    pub quotas: BTreeMap<TeamId, f64>,
    /// Number of slots that it should keep.
    pub target: u32,
    /// `target` and `scarce` as last sent.
    pub sent: Option<(u32, bool)>,
    /// Total number of slots that it may be using.
    pub held: u32,
    /// When the last allotment was sent.
    pub last_sent_at: Moment,
    /// True if the next allotment is due at once, because of a grant.
    pub urgent: bool,
}

impl PoolMember {
    /// Creates the state of a router that has not reported to this owner yet.
    #[must_use]
    pub fn new(incarnation: RouterIncarnation) -> Self {
        Self {
            incarnation,
            report_seen: 0,
            report_ack_sent: 0,
            last_report_at: Moment(0),
            allotment_acked: 0,
            allotment_sequence: 0,
            term: 0,
            teams: BTreeMap::new(),
            slots: BTreeMap::new(),
            draining: false,
            quotas: BTreeMap::new(),
            target: 0,
            sent: None,
            held: 0,
            last_sent_at: Moment(0),
            urgent: false,
        }
    }

    /// Requests waiting at the entry router.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.teams.values().map(|demand| demand.waiting).sum()
    }

    /// Requests waiting or running at the entry router.
    #[must_use]
    pub fn demand(&self) -> u32 {
        self.teams
            .values()
            .map(|demand| demand.waiting + demand.running)
            .sum()
    }
}

/// State kept of a removed entry router in case the same incarnation comes back.
#[derive(Debug, Clone)]
pub struct RemovedMember {
    /// Its incarnation.
    pub incarnation: RouterIncarnation,
    /// Service charged there per team, as last reported, in `CHARGE_STEP`s.
    pub charged: BTreeMap<TeamId, i64>,
}

/// Fairness account of one team in the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamAccount {
    /// Virtual time: service divided by share, times `VIRTUAL_SCALE`.
    pub time: i64,
    /// Since when it has had waiting requests at some router without interruption.
    pub waits_since: Option<Moment>,
}

/// A pool owned by this router.
#[derive(Debug)]
pub struct OwnedPool {
    /// No slots are granted before this time, so that the entry routers can first report the slots
    /// that they still use from an earlier owner.
    pub grants_from: Moment,
    /// State of each entry router.
    pub members: BTreeMap<HostName, PoolMember>,
    /// Removed entry routers; one entry per host, so the size is bounded by the host list.
    pub removed: BTreeMap<HostName, RemovedMember>,
    /// Accounts of the teams.
    pub accounts: BTreeMap<TeamId, TeamAccount>,
    /// Virtual time of the pool: the mean virtual time, weighted by share, of the teams that have
    /// been waiting for a while. Never decreases.
    pub clock: i64,
    /// Smoothed rate of the clock, in virtual time per second.
    pub clock_rate: f64,
    /// Slot limit per endpoint.
    pub limits: BTreeMap<EndpointId, u32>,
    /// Slots held by all entry routers together, per endpoint.
    pub assigned_slots: BTreeMap<EndpointId, u32>,
    /// Endpoints with slots that no router holds, ordered by the number of such slots.
    pub vacant: BTreeSet<(u32, EndpointId)>,
    /// When the slots were last reallocated, that is, when targets and grants were last computed.
    pub reallocated_at: Moment,
    /// When spare slots were last distributed over entry routers without waiting requests.
    pub spare_granted_at: Moment,
    /// This pool's own part of the byte budget of allotments.
    pub budget: ByteBudget,
    /// True if targets and grants should be computed soon.
    pub urgent: bool,
    /// True while the demand exceeds the pool's slots.
    pub scarce: bool,
}

impl OwnedPool {
    /// Creates the state of a pool that this router starts to own.
    #[must_use]
    pub fn new(grants_from: Moment) -> Self {
        Self {
            grants_from,
            members: BTreeMap::new(),
            removed: BTreeMap::new(),
            accounts: BTreeMap::new(),
            clock: 0,
            clock_rate: 0.0,
            limits: BTreeMap::new(),
            assigned_slots: BTreeMap::new(),
            vacant: BTreeSet::new(),
            reallocated_at: Moment(0),
            spare_granted_at: Moment(0),
            budget: ByteBudget::default(),
            urgent: false,
            scarce: false,
        }
    }

    fn vacancy(&self, endpoint: EndpointId) -> u32 {
        let limit = self.limits.get(&endpoint).copied().unwrap_or(0);
        let assigned_slots = self.assigned_slots.get(&endpoint).copied().unwrap_or(0);
        limit.saturating_sub(assigned_slots)
    }

    fn change_vacancy(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut Self)) {
        let before = self.vacancy(endpoint);
        change(self);
        let after = self.vacancy(endpoint);
        self.vacant.remove(&(before, endpoint));
        if after > 0 {
            self.vacant.insert((after, endpoint));
        }
    }

    /// Sets an endpoint's limit.
    pub fn set_limit(&mut self, endpoint: EndpointId, limit: u32) {
        self.change_vacancy(endpoint, |pool| {
            pool.limits.insert(endpoint, limit);
        });
    }

    /// Adds `after - before` to the number of an endpoint's slots that are held.
    pub fn move_assigned(&mut self, endpoint: EndpointId, before: u32, after: u32) {
        self.change_vacancy(endpoint, |pool| {
            let assigned_slots = pool.assigned_slots.entry(endpoint).or_default();
            *assigned_slots = (*assigned_slots + after).saturating_sub(before);
        });
    }

    /// Changes the slots of one endpoint that are assigned to an entry router and updates the
    /// totals.
    pub fn change_assignment(
        &mut self,
        host: &HostName,
        endpoint: EndpointId,
        change: impl FnOnce(&mut SlotAssignment),
    ) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let assignment = member.slots.entry(endpoint).or_default();
        let before = assignment.held();
        change(assignment);
        let after = assignment.held();
        member.held = member.held - before + after;
        self.move_assigned(endpoint, before, after);
    }

    /// Removes an entry router and frees its slots for new grants.
    pub fn drop_member(&mut self, host: &HostName) {
        let Some(member) = self.members.remove(host) else {
            return;
        };
        for (endpoint, assignment) in member.slots {
            self.move_assigned(endpoint, assignment.held(), 0);
        }
        let charges = member.teams.iter();
        let removed = RemovedMember {
            incarnation: member.incarnation,
            charged: charges
                .map(|(team, demand)| (*team, demand.charged))
                .collect(),
        };
        self.removed.insert(host.clone(), removed);
        self.urgent = true;
    }

    /// The state of an entry router, created if missing.
    ///
    /// After a partition, a router's charges include the service it provided meanwhile. Its earlier
    /// charges are kept so that the difference is counted, and teams that were served more on the
    /// other side of the partition rank behind the others.
    pub fn pool_member_mut(
        &mut self,
        host: &HostName,
        incarnation: RouterIncarnation,
    ) -> &mut PoolMember {
        let removed = &mut self.removed;
        self.members.entry(host.clone()).or_insert_with(|| {
            let mut member = PoolMember::new(incarnation);
            let known = removed.remove(host);
            let known = known.filter(|known| known.incarnation == incarnation);
            for (team, charged) in known.into_iter().flat_map(|known| known.charged) {
                let demand = TeamDemand {
                    charged,
                    ..TeamDemand::default()
                };
                member.teams.insert(team, demand);
            }
            member
        })
    }

    /// Waiting and running requests of each team, summed over all entry routers. `charged` stays 0.
    #[must_use]
    pub fn team_demands(&self) -> BTreeMap<TeamId, TeamDemand> {
        let mut demands: BTreeMap<TeamId, TeamDemand> = BTreeMap::new();
        for member in self.members.values() {
            for (team, demand) in &member.teams {
                let sum = demands.entry(*team).or_default();
                sum.waiting += demand.waiting;
                sum.running += demand.running;
            }
        }
        demands
    }

    /// Total of the slot limits of all endpoints.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.limits.values().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dropped_member_leaves_its_slots_vacant() {
        let mut pool = OwnedPool::new(Moment(0));
        let host: HostName = "host-1".parse().unwrap();
        let endpoint = EndpointId(3);
        pool.set_limit(endpoint, 4);
        pool.members
            .insert(host.clone(), PoolMember::new(RouterIncarnation(9)));
        pool.change_assignment(&host, endpoint, |assignment| assignment.granted += 3);
        assert_eq!(pool.vacant.last(), Some(&(1, endpoint)));
        pool.drop_member(&host);
        assert_eq!(pool.vacant.last(), Some(&(4, endpoint)));
    }
}
