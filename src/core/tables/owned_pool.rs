//! One pool as its owner sees it: who demands what, who holds which slots, and each team's
//! virtual time.

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
    /// Requests that wait.
    pub waiting: u32,
    /// Attempts that run.
    pub running: u32,
    /// Service charged there, as last reported.
    pub charged: i64,
}

/// Slots of one endpoint at one entry router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotClaim {
    /// Held when the epoch began.
    pub carried: u32,
    /// Granted since.
    pub granted: u64,
    /// Given back since, as last reported.
    pub returned: u64,
    /// Sequence of the first allotment that tells `granted` as it is now.
    pub told_in: u64,
}

impl SlotClaim {
    /// Slots that the entry router may be using.
    #[must_use]
    pub fn held(&self) -> u32 {
        let held = (u64::from(self.carried) + self.granted).saturating_sub(self.returned);
        u32::try_from(held).unwrap_or(u32::MAX)
    }
}

/// One entry router's part of the pool.
#[derive(Debug, Clone)]
pub struct MemberClaim {
    /// Its life. A new life starts a new claim.
    pub incarnation: RouterIncarnation,
    /// Highest report sequence taken in.
    pub report_seen: u64,
    /// `report_seen` as told in the last allotment.
    pub report_told: u64,
    /// When its last report came.
    pub heard_at: Moment,
    /// Highest allotment sequence that it acknowledged.
    pub allotment_acked: u64,
    /// Sequence of the last allotment sent.
    pub allotment_sequence: u64,
    /// The term that its slot counts belong to.
    pub term: u32,
    /// Its teams.
    pub teams: BTreeMap<TeamId, TeamDemand>,
    /// Its slots.
    pub slots: BTreeMap<EndpointId, SlotClaim>,
    /// True once it said that it drains.
    pub draining: bool,
    /// Slots that its part of each team's share comes to.
    pub quotas: BTreeMap<TeamId, f64>,
    /// Slots that it shall keep.
    pub target: u32,
    /// `target` and `scarce` as last sent.
    pub sent: Option<(u32, bool)>,
    /// Slots it may be using in all.
    pub held: u32,
    /// When the last allotment was sent.
    pub told_at: Moment,
    /// True if a grant or a lower target has to be told soon.
    pub urgent: bool,
}

impl MemberClaim {
    /// A claim of a router that was not heard of in this epoch.
    #[must_use]
    pub fn new(incarnation: RouterIncarnation) -> Self {
        Self {
            incarnation,
            report_seen: 0,
            report_told: 0,
            heard_at: Moment(0),
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
            told_at: Moment(0),
            urgent: false,
        }
    }

    /// Requests waiting there.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.teams.values().map(|demand| demand.waiting).sum()
    }

    /// Requests waiting or running there.
    #[must_use]
    pub fn demand(&self) -> u32 {
        self.teams
            .values()
            .map(|demand| demand.waiting + demand.running)
            .sum()
    }
}

/// What is kept of an entry router that is gone, should the same life of it come back.
#[derive(Debug, Clone)]
pub struct GoneMember {
    /// Its life.
    pub incarnation: RouterIncarnation,
    /// Service charged there per team, as last reported.
    pub charged: BTreeMap<TeamId, i64>,
}

/// One team's account in the pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamAccount {
    /// Virtual time: service over share, in `VIRTUAL_SCALE` units.
    pub time: i64,
    /// Since when it waits anywhere without a break.
    pub waits_since: Option<Moment>,
}

/// One owned pool.
#[derive(Debug)]
pub struct OwnedPool {
    /// The owner grants nothing before this moment.
    pub settles_at: Moment,
    /// Entry routers.
    pub members: BTreeMap<HostName, MemberClaim>,
    /// Entry routers that are gone; one entry a host, so it is bounded by the host list.
    pub gone: BTreeMap<HostName, GoneMember>,
    /// Teams.
    pub accounts: BTreeMap<TeamId, TeamAccount>,
    /// The pool's virtual time: the mean of service over share of the teams that have waited for
    /// a while, weighted by share. Never falls.
    pub clock: i64,
    /// Virtual time that the clock gains a second, smoothed.
    pub pace: f64,
    /// Limits of the endpoints.
    pub limits: BTreeMap<EndpointId, u32>,
    /// Slots held by all entry routers, per endpoint.
    pub claimed: BTreeMap<EndpointId, u32>,
    /// Endpoints with slots that nobody holds, by number of such slots.
    pub vacant: BTreeSet<(u32, EndpointId)>,
    /// When slots were last shared out.
    pub shared_at: Moment,
    /// When slots that nobody waits for were last spread over the entry routers.
    pub spread_at: Moment,
    /// Bytes that its allotments may still use out of its own part.
    pub budget: ByteBudget,
    /// True if slots should be shared out soon.
    pub urgent: bool,
    /// True while requests wait for lack of slots.
    pub scarce: bool,
}

impl OwnedPool {
    /// A pool that this router begins to own.
    #[must_use]
    pub fn new(settles_at: Moment) -> Self {
        Self {
            settles_at,
            members: BTreeMap::new(),
            gone: BTreeMap::new(),
            accounts: BTreeMap::new(),
            clock: 0,
            pace: 0.0,
            limits: BTreeMap::new(),
            claimed: BTreeMap::new(),
            vacant: BTreeSet::new(),
            shared_at: Moment(0),
            spread_at: Moment(0),
            budget: ByteBudget::default(),
            urgent: false,
            scarce: false,
        }
    }

    fn vacancy(&self, endpoint: EndpointId) -> u32 {
        let limit = self.limits.get(&endpoint).copied().unwrap_or(0);
        let claimed = self.claimed.get(&endpoint).copied().unwrap_or(0);
        limit.saturating_sub(claimed)
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

    /// Counts slots of an endpoint as held by somebody, or no longer.
    pub fn move_claimed(&mut self, endpoint: EndpointId, before: u32, after: u32) {
        self.change_vacancy(endpoint, |pool| {
            let claimed = pool.claimed.entry(endpoint).or_default();
            *claimed = (*claimed + after).saturating_sub(before);
        });
    }

    /// Changes one member's claim on an endpoint and keeps all sums right.
    pub fn change_claim(
        &mut self,
        host: &HostName,
        endpoint: EndpointId,
        change: impl FnOnce(&mut SlotClaim),
    ) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        let claim = member.slots.entry(endpoint).or_default();
        let before = claim.held();
        change(claim);
        let after = claim.held();
        member.held = member.held - before + after;
        self.move_claimed(endpoint, before, after);
    }

    /// Forgets an entry router that is gone; its slots can be granted again.
    pub fn drop_member(&mut self, host: &HostName) {
        let Some(member) = self.members.remove(host) else {
            return;
        };
        for (endpoint, claim) in member.slots {
            self.move_claimed(endpoint, claim.held(), 0);
        }
        let charges = member.teams.iter();
        let gone = GoneMember {
            incarnation: member.incarnation,
            charged: charges
                .map(|(team, demand)| (*team, demand.charged))
                .collect(),
        };
        self.gone.insert(host.clone(), gone);
        self.urgent = true;
    }

    /// The claim of an entry router, made if there is none.
    ///
    /// A router that was out of reach comes back with what it rendered meanwhile in its charges.
    /// Its earlier charges are remembered, so that the difference counts and teams that were
    /// served more on the other side of a partition fall back behind the others.
    pub fn claim_of(
        &mut self,
        host: &HostName,
        incarnation: RouterIncarnation,
    ) -> &mut MemberClaim {
        let gone = &mut self.gone;
        self.members.entry(host.clone()).or_insert_with(|| {
            let mut claim = MemberClaim::new(incarnation);
            let known = gone.remove(host);
            let known = known.filter(|known| known.incarnation == incarnation);
            for (team, charged) in known.into_iter().flat_map(|known| known.charged) {
                let demand = TeamDemand {
                    charged,
                    ..TeamDemand::default()
                };
                claim.teams.insert(team, demand);
            }
            claim
        })
    }

    /// Waiting and running requests of each team over all entry routers; charges are not added.
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

    /// Slots of all endpoints.
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
            .insert(host.clone(), MemberClaim::new(RouterIncarnation(9)));
        pool.change_claim(&host, endpoint, |claim| claim.granted += 3);
        assert_eq!(pool.vacant.last(), Some(&(1, endpoint)));
        pool.drop_member(&host);
        assert_eq!(pool.vacant.last(), Some(&(4, endpoint)));
    }
}
