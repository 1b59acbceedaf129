//! Allocation of the slots of the pools that this router owns.
//!
//! Entry routers report demand; the owner computes fair targets (weighted max-min by share, less
//! for teams whose virtual time is ahead of the pool's clock), grants vacant slots and asks for
//! surplus ones back. Slots and charges are sent as grow-only or absolute counters, so lost,
//! duplicated and reordered messages do no harm.

mod accounts;
mod allotments;
mod grants;
mod targets;

use self::accounts::advance_clock;
use self::accounts::update_accounts;
use self::allotments::send_allotments;
use self::grants::grant_leftover;
use self::grants::grant_vacant;
use self::targets::set_limits;
use self::targets::set_targets;
use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::limits;
use crate::core::systems::reporting::CHARGE_STEP;
use crate::core::tables::entry_pool::epoch_of;
use crate::core::tables::entry_pool::virtual_time;
use crate::core::tables::members::MemberState;
use crate::core::tables::owned_pool::OwnedPool;
use crate::core::tables::owned_pool::TeamDemand;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RouterIncarnation;
use crate::units::TeamId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::allotment::SlotAllotment;
use crate::wire::demand::DemandReport;

/// Handles demand reports, and reallocates slots when that is due.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::Message {
            from,
            incarnation,
            message,
        } => {
            if let Some(PeerBody::Demand(report)) = &message.body {
                handle_report(state, from, *incarnation, report);
                reallocate_if_due(state, PoolId(report.pool));
            }
        }
        CoreEvent::Tick => {
            fill_budgets(state);
            drop_gone_members(state);
            let pools: Vec<PoolId> = state.owned.keys().copied().collect();
            for pool in pools {
                reallocate_if_due(state, pool);
            }
        }
        _ => {}
    }
}

/// Refills the byte budget that all allotments share, and each pool's own part of it.
///
/// The parts guard against idle slots in a pool of short calls: another pool, with many routers and
/// long queues, would use up the shared budget, and the pool of short calls would be reallocated
/// only a few times a second.
fn fill_budgets(state: &mut CoreState) {
    let rate = state.config.ownership.bytes_per_s;
    state.allotment_budget.fill(state.now, rate);
    let pools = u64::try_from(state.owned.len()).unwrap_or(u64::MAX);
    for pool in state.owned.values_mut() {
        pool.budget.fill(state.now, rate / pools.max(1));
    }
}

fn handle_report(
    state: &mut CoreState,
    from: &HostName,
    incarnation: RouterIncarnation,
    report: &DemandReport,
) {
    // A report meant for an earlier incarnation of this router counts slots that this incarnation
    // never granted. It is dropped; the sender begins a new term once it knows this incarnation.
    if report.epoch != epoch_of(state.identity.incarnation) {
        return;
    }
    let now = state.now;
    let grants_from = now + TimeSpan::from_millis(state.config.ownership.settle_ms);
    let catalog = state.catalog.clone();
    let pool = state
        .owned
        .entry(PoolId(report.pool))
        .or_insert_with(|| OwnedPool::new(grants_from));
    if !sync_term(pool, from, incarnation, report) {
        request_restart(state, from, incarnation, report);
        return;
    }
    let member = pool.pool_member_mut(from, incarnation);
    member.term = report.term;
    let fresh = report.sequence > member.report_seen;
    if fresh {
        member.report_seen = report.sequence;
        member.allotment_acked = member.allotment_acked.max(report.acked);
        member.last_report_at = now;
        member.draining = report.draining;
    }
    record_slots(pool, from, report);
    if fresh {
        limits::record_late_reports(state, from, report);
    }
    let Some(pool) = state.owned.get_mut(&PoolId(report.pool)) else {
        return;
    };
    if fresh {
        let charges = record_demand(pool, from, report);
        for (team, charge) in charges {
            let share = catalog.share_of(team);
            pool.accounts.entry(team).or_default().time += virtual_time(charge, share);
        }
    }
    update_urgency(pool, from);
}

/// Prepares the state of the entry router for the term of a report; returns false if the counts of
/// the report can't be used.
///
/// Slot counts are valid only while both sides count from the same start. One side may restart its
/// counts without the other: an entry router that switched to another owner and back, or an owner
/// that dropped the state of a silent router while that router was suspended. The result would be
/// slots that each side assumes the other has, or slots that two routers use. So the entry router
/// numbers its starts as terms: a report of a later term replaces the state, a report of an earlier
/// term is late and dropped, and counts whose start is missing make the owner ask for a new term.
fn sync_term(
    pool: &mut OwnedPool,
    from: &HostName,
    incarnation: RouterIncarnation,
    report: &DemandReport,
) -> bool {
    if let Some(member) = pool.members.get(from) {
        let same_incarnation = member.incarnation == incarnation;
        if same_incarnation && member.term >= report.term {
            return member.term == report.term;
        }
        pool.drop_member(from);
    }
    // An entry router that has acknowledged no allotment yet is at the start of a term.
    report.acked == 0
}

fn request_restart(
    state: &mut CoreState,
    from: &HostName,
    incarnation: RouterIncarnation,
    report: &DemandReport,
) {
    let allotment = SlotAllotment {
        pool: report.pool,
        epoch: report.epoch,
        entry: epoch_of(incarnation),
        term: report.term,
        restart: true,
        ..SlotAllotment::default()
    };
    state.send(from, PeerBody::Allotment(allotment));
}

/// Records the slot counts of a report. Counts of returned slots only grow, so even an old report
/// can be applied.
fn record_slots(pool: &mut OwnedPool, from: &HostName, report: &DemandReport) {
    let rows = report
        .endpoints
        .iter()
        .zip(&report.carried)
        .zip(&report.returned);
    for ((endpoint, carried), returned) in rows {
        pool.change_assignment(from, EndpointId(*endpoint), |assignment| {
            assignment.carried = *carried;
            assignment.returned = assignment.returned.max(*returned);
        });
    }
}

/// Records the demand of each team and returns what was newly charged, in service units.
fn record_demand(
    pool: &mut OwnedPool,
    from: &HostName,
    report: &DemandReport,
) -> Vec<(TeamId, i64)> {
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
        // Charges from before the first report to this owner are ignored: a new owner starts all
        // teams at the same virtual time, which can widen the fairness gap between teams once, by
        // at most its usual bound, `debt_units`.
        let known = before.map_or(*charged, |old| old.charged);
        charges.push((team, (*charged - known) * CHARGE_STEP));
    }
    charges
}

/// Schedules an early reallocation if it could give slots to waiting requests.
fn update_urgency(pool: &mut OwnedPool, from: &HostName) {
    let Some(member) = pool.members.get(from) else {
        return;
    };
    let waits = member.waiting() > 0;
    if pool.scarce && !pool.vacant.is_empty() {
        pool.urgent = true;
    }
    // Requests wait and every held slot is busy, or slots are vacant.
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
                dead || now.since(member.last_report_at) > silence
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in gone {
            pool.drop_member(&host);
        }
    }
    state.owned.retain(|_, pool| !pool.members.is_empty());
}

fn reallocate_if_due(state: &mut CoreState, pool_id: PoolId) {
    let now = state.now;
    let config = &state.config.ownership;
    let Some(pool) = state.owned.get(&pool_id) else {
        return;
    };
    // When about as many short calls run as there are slots, routers request and return slots many
    // times a second. The budget bounds that traffic; while it is used up, each router continues
    // with the slots that it holds.
    let is_open = state.allotment_budget.is_open() || pool.budget.is_open();
    let wait = match (is_open, pool.urgent) {
        (true, true) => config.share_gap_ms,
        (true, false) => config.share_out_ms,
        (false, _) => config.refresh_ms,
    };
    if now < pool.grants_from || now.since(pool.reallocated_at) < TimeSpan::from_millis(wait) {
        return;
    }
    set_limits(state, pool_id);
    let Some(mut pool) = state.owned.remove(&pool_id) else {
        return;
    };
    let passed = now.since(pool.reallocated_at);
    pool.reallocated_at = now;
    pool.urgent = false;
    advance_clock(state, &mut pool, passed);
    let demands = pool.team_demands();
    update_accounts(state, &mut pool, &demands);
    set_targets(state, &mut pool, &demands);
    let refresh = TimeSpan::from_millis(state.config.ownership.refresh_ms);
    let include_idle = now.since(pool.spare_granted_at) >= refresh;
    if include_idle {
        pool.spare_granted_at = now;
    }
    grant_vacant(&mut pool, include_idle);
    grant_leftover(&mut pool);
    send_allotments(state, pool_id, &mut pool);
    state.owned.insert(pool_id, pool);
}
