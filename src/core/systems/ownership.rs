//! Sharing out the slots of the pools that this router owns.
//!
//! Entry routers report demand; the owner works out fair targets (max-min by share, less for
//! teams that are ahead), grants vacant slots and asks for surplus ones back. Slots and charges
//! are told as grow-only or absolute numbers, so loss, doubling and reordering do no harm.

use std::collections::BTreeMap;

use prost::Message;

use crate::core::event::CoreEvent;
use crate::core::share::ShareClaim;
use crate::core::share::ceil_to_u32;
use crate::core::share::round_shares;
use crate::core::share::water_fill;
use crate::core::state::CoreState;
use crate::core::systems::dispatch::LEAD_STEP;
use crate::core::systems::limits;
use crate::core::systems::reporting::CHARGE_STEP;
use crate::core::tables::entry_pool::epoch_of;
use crate::core::tables::entry_pool::virtual_time;
use crate::core::tables::members::MemberState;
use crate::core::tables::owned_pool::MemberClaim;
use crate::core::tables::owned_pool::OwnedPool;
use crate::core::tables::owned_pool::TeamDemand;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RouterIncarnation;
use crate::units::TeamId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::allotment::SlotAllotment;
use crate::wire::demand::DemandReport;

/// Seconds over which the pace of a pool's clock is smoothed.
const PACE_MEMORY_S: f64 = 5.0;
/// A team that waits as long counts for the pool's clock.
const LASTING_WAIT: TimeSpan = TimeSpan::from_millis(1_000);
/// Least and most that a lead or lag makes of a team's share.
const LEAST_FACTOR: f64 = 0.25;
const MOST_FACTOR: f64 = 2.0;

/// Takes in reports; shares slots out when that is due.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::Message {
            from,
            incarnation,
            message,
        } => {
            if let Some(PeerBody::Demand(report)) = &message.body {
                take_report(state, from, *incarnation, report);
                share_out_if_due(state, PoolId(report.pool));
            }
        }
        CoreEvent::Tick => {
            let rate = state.config.ownership.bytes_per_s;
            state.allotment_budget.fill(state.now, rate);
            drop_gone_members(state);
            let pools: Vec<PoolId> = state.owned.keys().copied().collect();
            for pool in pools {
                share_out_if_due(state, pool);
            }
        }
        _ => {}
    }
}

fn take_report(
    state: &mut CoreState,
    from: &HostName,
    incarnation: RouterIncarnation,
    report: &DemandReport,
) {
    // A report meant for an earlier life of this router counts slots that this life never
    // granted. It is dropped; the sender begins a new epoch when it learns of this life.
    if report.epoch != epoch_of(state.identity.incarnation) {
        return;
    }
    let now = state.now;
    let settles_at = now + TimeSpan::from_millis(state.config.ownership.settle_ms);
    let catalog = state.catalog.clone();
    let pool = state
        .owned
        .entry(PoolId(report.pool))
        .or_insert_with(|| OwnedPool::new(settles_at));
    if !follow_term(pool, from, incarnation, report) {
        ask_restart(state, from, report);
        return;
    }
    let member = pool.claim_of(from, incarnation);
    member.term = report.term;
    let fresh = report.sequence > member.report_seen;
    if fresh {
        member.report_seen = report.sequence;
        member.allotment_acked = member.allotment_acked.max(report.acked);
        member.heard_at = now;
        member.draining = report.draining;
    }
    take_slots(pool, from, report);
    if fresh {
        limits::take_pressure(state, from, report);
    }
    let Some(pool) = state.owned.get_mut(&PoolId(report.pool)) else {
        return;
    };
    if fresh {
        let charges = take_teams(pool, from, report);
        for (team, charge) in charges {
            let share = catalog.share_of(team);
            pool.accounts.entry(team).or_default().time += virtual_time(charge, share);
        }
    }
    note_urgency(pool, from);
}

/// Makes room for the counts of the report's term; false if they can't be taken in.
///
/// Slot counts mean something only while both ends count from the same start. One end may begin
/// anew without the other: an entry router that turned to another owner and back, or an owner
/// that gave up a silent router's claim while that one slept. Seen as slots that both believe
/// the other one has, or that two routers use. The entry router numbers its starts: a report of
/// a later term replaces the claim, one of an earlier term is late and dropped, and counts
/// without their start make the owner ask for a new term.
fn follow_term(
    pool: &mut OwnedPool,
    from: &HostName,
    incarnation: RouterIncarnation,
    report: &DemandReport,
) -> bool {
    if let Some(member) = pool.members.get(from) {
        let same_life = member.incarnation == incarnation;
        if same_life && member.term >= report.term {
            return member.term == report.term;
        }
        pool.drop_member(from);
    }
    report.acked == 0
}

fn ask_restart(state: &mut CoreState, from: &HostName, report: &DemandReport) {
    let allotment = SlotAllotment {
        pool: report.pool,
        epoch: report.epoch,
        term: report.term,
        restart: true,
        ..SlotAllotment::default()
    };
    state.send(from, PeerBody::Allotment(allotment));
}

/// Returned slots are grow-only, so even an old report may be taken in.
fn take_slots(pool: &mut OwnedPool, from: &HostName, report: &DemandReport) {
    let rows = report
        .endpoints
        .iter()
        .zip(&report.carried)
        .zip(&report.returned);
    for ((endpoint, carried), returned) in rows {
        pool.change_claim(from, EndpointId(*endpoint), |claim| {
            claim.carried = *carried;
            claim.returned = claim.returned.max(*returned);
        });
    }
}

/// Takes in the demand rows and returns what was newly charged, in service units.
fn take_teams(pool: &mut OwnedPool, from: &HostName, report: &DemandReport) -> Vec<(TeamId, i64)> {
    let Some(member) = pool.members.get_mut(from) else {
        return Vec::new();
    };
    let mut charges = Vec::new();
    let rows = report
        .teams
        .iter()
        .zip(&report.waiting)
        .zip(&report.running)
        .zip(&report.charged);
    for (((team, waiting), running), charged) in rows {
        let team = TeamId(*team);
        let demand = TeamDemand {
            waiting: *waiting,
            running: *running,
            charged: *charged,
        };
        let before = member.teams.insert(team, demand);
        // What was charged before this epoch is forgotten: the new owner starts all teams
        // level, which adds at most one bound to the gap.
        let known = before.map_or(*charged, |old| old.charged);
        charges.push((team, (*charged - known) * CHARGE_STEP));
    }
    charges
}

/// Slots are shared out soon if somebody waits who could be helped by it.
fn note_urgency(pool: &mut OwnedPool, from: &HostName) {
    let Some(member) = pool.members.get(from) else {
        return;
    };
    let waits = member.waiting() > 0;
    if pool.scarce && !pool.vacant.is_empty() {
        pool.urgent = true;
    }
    if waits && (member.held <= member.demand() - member.waiting() || !pool.vacant.is_empty()) {
        pool.urgent = true;
    }
}

fn drop_gone_members(state: &mut CoreState) {
    let silence = TimeSpan::from_millis(state.config.ownership.claim_ms);
    let now = state.now;
    for pool in state.owned.values_mut() {
        let gone: Vec<HostName> = pool
            .members
            .iter()
            .filter(|(host, member)| {
                let row = state.members.get(host);
                let dead = row.is_none_or(|row| {
                    row.state == MemberState::Dead || row.incarnation != Some(member.incarnation)
                });
                dead || now.since(member.heard_at) > silence
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in gone {
            pool.drop_member(&host);
        }
    }
    state.owned.retain(|_, pool| !pool.members.is_empty());
}

fn share_out_if_due(state: &mut CoreState, pool_id: PoolId) {
    let now = state.now;
    let config = &state.config.ownership;
    let Some(pool) = state.owned.get(&pool_id) else {
        return;
    };
    // Short calls near the number of slots make routers ask and give back many times a second.
    // The budget bounds what that may cost; meanwhile each router goes on with what it holds.
    let wait = match (state.allotment_budget.is_open(), pool.urgent) {
        (true, true) => config.share_gap_ms,
        (true, false) => config.share_out_ms,
        (false, _) => config.refresh_ms,
    };
    if now < pool.settles_at || now.since(pool.shared_at) < TimeSpan::from_millis(wait) {
        return;
    }
    set_limits(state, pool_id);
    let Some(mut pool) = state.owned.remove(&pool_id) else {
        return;
    };
    let passed = now.since(pool.shared_at);
    pool.shared_at = now;
    pool.urgent = false;
    advance_clock(state, &mut pool, passed);
    level_accounts(state, &mut pool);
    set_targets(state, &mut pool);
    let refresh = TimeSpan::from_millis(state.config.ownership.refresh_ms);
    let spread = now.since(pool.spread_at) >= refresh;
    if spread {
        pool.spread_at = now;
    }
    grant_vacant(&mut pool, spread);
    grant_leftover(&mut pool);
    tell_members(state, pool_id, &mut pool);
    state.owned.insert(pool_id, pool);
}

/// Limits of the endpoints that serve this pool now; 0 for one that leaves or serves another.
fn set_limits(state: &mut CoreState, pool_id: PoolId) {
    let Some(entry) = state.catalog.pools.get(&pool_id) else {
        return;
    };
    let mut limits = BTreeMap::new();
    for endpoint in &entry.endpoints {
        let Some(row) = state.catalog.endpoints.get(endpoint) else {
            continue;
        };
        let known = state.endpoints.get(*endpoint);
        let home = row.pools.first().copied();
        let active = known.and_then(|known| known.active).or(home);
        let leaving = row.leaving || known.is_some_and(|known| known.leaving);
        let open = active == Some(pool_id) && !leaving;
        let allowed = limits::allowed_slots(state, *endpoint, row.slots.0);
        limits.insert(*endpoint, if open { allowed } else { 0 });
    }
    let Some(pool) = state.owned.get_mut(&pool_id) else {
        return;
    };
    let gone: Vec<EndpointId> = pool
        .limits
        .keys()
        .filter(|endpoint| !limits.contains_key(endpoint))
        .copied()
        .collect();
    for endpoint in gone {
        pool.set_limit(endpoint, 0);
    }
    for (endpoint, limit) in limits {
        pool.set_limit(endpoint, limit);
    }
}

/// Moves the pool's clock to the mean virtual time, weighted by share, of the teams that have
/// waited for a while. Teams that wait only for moments would hold it back: they are served at
/// once and gain little.
#[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
fn advance_clock(state: &CoreState, pool: &mut OwnedPool, passed: TimeSpan) {
    let now = state.now;
    let mut shares = 0.0;
    let mut times = 0.0;
    for (team, account) in &pool.accounts {
        let lasts = account
            .waits_since
            .is_some_and(|since| now.since(since) >= LASTING_WAIT);
        if lasts {
            let share = f64::from(state.catalog.share_of(*team).0);
            shares += share;
            times += share * (account.time - pool.clock) as f64;
        }
    }
    if shares == 0.0 || passed.0 == 0 {
        return;
    }
    let step = (times / shares).max(0.0);
    pool.clock += step as i64;
    let seconds = passed.0 as f64 / 1e6;
    let part = (seconds / PACE_MEMORY_S).min(1.0);
    pool.pace += (step / seconds - pool.pace) * part;
}

/// Sets teams that begin to wait to the clock at least, and clamps leads and lags.
fn level_accounts(state: &CoreState, pool: &mut OwnedPool) {
    let mut waiting: BTreeMap<TeamId, u32> = BTreeMap::new();
    for member in pool.members.values() {
        for (team, demand) in &member.teams {
            *waiting.entry(*team).or_default() += demand.waiting;
        }
    }
    // With nobody waiting nobody is owed anything: all start level.
    let quiet = waiting.values().all(|count| *count == 0);
    let (now, clock) = (state.now, pool.clock);
    let debt = i64::try_from(state.config.ownership.debt_units).unwrap_or(i64::MAX);
    for (team, count) in &waiting {
        let account = pool.accounts.entry(*team).or_default();
        let waits = *count > 0;
        let waited = account.waits_since.is_some();
        // Idle time banks no credit: a team that begins to wait starts at the clock.
        if waits && !waited {
            account.time = account.time.max(clock);
        }
        if quiet {
            account.time = clock;
        }
        // A debt without bound would starve its team after a partition, and a credit without
        // bound the others; both are clamped.
        let most = virtual_time(debt, state.catalog.share_of(*team));
        account.time = account.time.clamp(clock - most, clock + most);
        account.waits_since = waits.then(|| account.waits_since.unwrap_or(now));
    }
}

/// Sets each entry router's target from fair shares of the teams it has.
fn set_targets(state: &CoreState, pool: &mut OwnedPool) {
    let total = pool.total();
    let mut demands: BTreeMap<TeamId, u32> = BTreeMap::new();
    for member in pool.members.values() {
        for (team, demand) in &member.teams {
            *demands.entry(*team).or_default() += demand.waiting + demand.running;
        }
    }
    demands.retain(|_, demand| *demand > 0);
    let wanted: u32 = demands.values().sum();
    pool.scarce = wanted > total;
    let shares = team_shares(state, pool, total, &demands);
    let rest = f64::from(total.saturating_sub(wanted));
    let staying = pool.members.values().filter(|member| !member.draining);
    let spare = rest / f64::from(u32::try_from(staying.count()).unwrap_or(1).max(1));
    for member in pool.members.values_mut() {
        member.quotas = member_quotas(member, &shares, &demands);
    }
    let wishes: Vec<f64> = pool
        .members
        .values()
        .map(|member| {
            let spare = if member.draining { 0.0 } else { spare };
            spare + member.quotas.values().sum::<f64>()
        })
        .collect();
    let targets = round_shares(total, &wishes);
    let needy = pool.members.values().any(|member| {
        let running = member.demand() - member.waiting();
        member.waiting() > 0 && member.held <= running
    });
    for (member, target) in pool.members.values_mut().zip(targets) {
        // While nobody lacks slots nothing is asked back, so that quiet times cost no messages.
        let target = if needy || pool.scarce || member.draining {
            target
        } else {
            target.max(member.held)
        };
        member.target = target;
    }
}

fn team_shares(
    state: &CoreState,
    pool: &OwnedPool,
    total: u32,
    demands: &BTreeMap<TeamId, u32>,
) -> BTreeMap<TeamId, f64> {
    let claims: Vec<ShareClaim> = demands
        .iter()
        .map(|(team, demand)| ShareClaim {
            weight: team_weight(state, pool, *team),
            demand: f64::from(*demand),
        })
        .collect();
    demands
        .keys()
        .copied()
        .zip(water_fill(f64::from(total), &claims))
        .collect()
}

/// A team's share, less if it is ahead of the clock and more if it is behind, so that it would
/// be level again after the correction time.
#[allow(clippy::cast_precision_loss)]
fn team_weight(state: &CoreState, pool: &OwnedPool, team: TeamId) -> f64 {
    let share = f64::from(state.catalog.share_of(team).0.max(1));
    let time = pool.accounts.get(&team).map_or(pool.clock, |row| row.time);
    let lead = (time - pool.clock) as f64;
    let correction = state.config.ownership.correction_ms as f64 / 1e3;
    let ahead = lead / (pool.pace * correction).max(1.0);
    share * (1.0 - ahead).clamp(LEAST_FACTOR, MOST_FACTOR)
}

/// An entry router's part of each team's share, in proportion to the demand that it has of it.
fn member_quotas(
    member: &MemberClaim,
    shares: &BTreeMap<TeamId, f64>,
    demands: &BTreeMap<TeamId, u32>,
) -> BTreeMap<TeamId, f64> {
    member
        .teams
        .iter()
        .map(|(team, demand)| {
            let all = demands.get(team).copied().unwrap_or(0).max(1);
            let share = shares.get(team).copied().unwrap_or(0.0);
            let part = f64::from(demand.waiting + demand.running) / f64::from(all);
            (*team, share * part)
        })
        .collect()
}

/// Grants vacant slots, to those furthest below their targets first: to routers with something
/// waiting always, and to the others only if spare slots shall be `spread` now, since those cost
/// messages that help nobody at once.
fn grant_vacant(pool: &mut OwnedPool, spread: bool) {
    let mut hosts: Vec<(u32, HostName)> = pool
        .members
        .iter()
        .filter(|(_, member)| member.target > member.held)
        .filter(|(_, member)| spread || member.waiting() > 0)
        .map(|(host, member)| (member.target - member.held, host.clone()))
        .collect();
    hosts.sort_by(|left, right| right.cmp(left));
    for (wanted, host) in hosts {
        for _ in 0..wanted {
            let Some((_, endpoint)) = pool.vacant.last().copied() else {
                return;
            };
            grant_one(pool, &host, endpoint);
        }
    }
}

/// Grants what is still vacant to routers with something waiting, above their targets.
///
/// After a partition some endpoints are held beyond their limits for a while. Then all routers
/// are above their targets although other endpoints have room; seen as vacant slots beside long
/// queues until the last long request ends. The next share-out asks the surplus back.
fn grant_leftover(pool: &mut OwnedPool) {
    let mut hosts: Vec<(u32, u32, HostName)> = pool
        .members
        .iter()
        .filter(|(_, member)| member.waiting() > 0 && !member.draining)
        .map(|(host, member)| {
            let above = member.held.saturating_sub(member.target);
            (above, member.waiting(), host.clone())
        })
        .collect();
    hosts.sort();
    for (_, waiting, host) in hosts {
        for _ in 0..waiting {
            let Some((_, endpoint)) = pool.vacant.last().copied() else {
                return;
            };
            grant_one(pool, &host, endpoint);
            if let Some(member) = pool.members.get_mut(&host) {
                member.target = member.target.max(member.held);
            }
        }
    }
}

fn grant_one(pool: &mut OwnedPool, host: &HostName, endpoint: EndpointId) {
    let Some(member) = pool.members.get_mut(host) else {
        return;
    };
    member.urgent = true;
    let next = member.allotment_sequence + 1;
    pool.change_claim(host, endpoint, |claim| {
        claim.granted += 1;
        claim.told_in = next;
    });
}

fn tell_members(state: &mut CoreState, pool_id: PoolId, pool: &mut OwnedPool) {
    let now = state.now;
    let refresh = TimeSpan::from_millis(state.config.ownership.refresh_ms);
    let epoch = epoch_of(state.identity.incarnation);
    let (clock, scarce) = (pool.clock, pool.scarce);
    let hosts: Vec<HostName> = pool.members.keys().cloned().collect();
    for host in hosts {
        let Some(member) = pool.members.get_mut(&host) else {
            continue;
        };
        let lowered = member.target < member.held
            && member.sent.is_none_or(|(target, _)| target > member.target);
        let moved = member.sent != Some((member.target, scarce));
        let busy = member.waiting() > 0 || moved || member.report_seen > member.report_told;
        let due = now.since(member.told_at) >= refresh && busy;
        if !(member.urgent || lowered && scarce || due) {
            continue;
        }
        let accounts = &pool.accounts;
        let allotment = build(member, pool_id, epoch, clock, scarce, now, |team| {
            accounts.get(&team).map_or(clock, |row| row.time)
        });
        if host != state.identity.host {
            state.allotment_budget.spend(allotment.encoded_len());
        }
        state.send(&host, PeerBody::Allotment(allotment));
    }
}

fn build(
    member: &mut MemberClaim,
    pool_id: PoolId,
    epoch: u32,
    clock: i64,
    scarce: bool,
    now: Moment,
    time_of: impl Fn(TeamId) -> i64,
) -> SlotAllotment {
    member.allotment_sequence += 1;
    member.told_at = now;
    member.urgent = false;
    member.sent = Some((member.target, scarce));
    member.report_told = member.report_seen;
    let mut allotment = SlotAllotment {
        pool: pool_id.0,
        epoch,
        sequence: member.allotment_sequence,
        term: member.term,
        acked: member.report_seen,
        target: member.target,
        scarce,
        clock: steps(clock),
        ..SlotAllotment::default()
    };
    for (endpoint, claim) in &member.slots {
        if claim.told_in > member.allotment_acked {
            allotment.endpoints.push(endpoint.0);
            allotment.granted.push(claim.granted);
        }
    }
    for (team, demand) in &member.teams {
        if demand.waiting > 0 {
            allotment.teams.push(team.0);
            allotment.lead.push((time_of(*team) - clock) / LEAD_STEP);
            let quota = member.quotas.get(team).copied().unwrap_or(0.0);
            allotment.quota.push(ceil_to_u32(quota));
        }
    }
    allotment
}

fn steps(time: i64) -> u64 {
    u64::try_from(time / LEAD_STEP).unwrap_or(0)
}
