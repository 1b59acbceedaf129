//! Reports demand and returned slots to pool owners.

use prost::Message;

use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::tables::entry_pool::EntryPool;
use crate::core::tables::entry_pool::OwnerLink;
use crate::core::tables::entry_pool::SlotHold;
use crate::core::tables::entry_pool::epoch_of;
use crate::core::tables::slot_limits::FirstByteTally;
use crate::core::tables::slot_limits::SlotLimits;
use crate::units::EndpointId;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::demand::DemandReport;

/// Service units per unit of the `charged` field of a report.
pub const CHARGE_STEP: i64 = 16;

/// Sends due reports, on every event for the pools that changed and on every tick for all pools.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    if matches!(event, CoreEvent::Tick) {
        refill(state);
        let pools: Vec<PoolId> = state.entry_pools.keys().copied().collect();
        state.changed_pools.extend(pools);
    }
    for pool in std::mem::take(&mut state.changed_pools) {
        update_owner(state, pool);
        report_if_due(state, pool);
    }
}

fn refill(state: &mut CoreState) {
    let rate = state.config.reporting.urgent_bytes_per_s;
    state.report_budget.fill(state.now, rate);
}

/// Switches to the pool's current owner. With a new owner, only the slots of running attempts are
/// kept, which the next report counts as carried over. Free slots that the old owner granted are
/// dropped, since the new owner doesn't count them and may grant them to others.
fn update_owner(state: &mut CoreState, pool_id: PoolId) {
    let version = state.members.version();
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    if pool.owner_version == version {
        return;
    }
    pool.owner_version = version;
    let Some(host) = state.members.owner_of(pool_id) else {
        return;
    };
    let Some(incarnation) = state.members.get(host).and_then(|row| row.incarnation) else {
        return;
    };
    let link = OwnerLink {
        host: host.clone(),
        epoch: epoch_of(incarnation),
    };
    if pool.owner.as_ref() != Some(&link) {
        begin_term(pool, link);
    }
}

/// Restarts slot accounting with an owner, with only the slots of running attempts carried over.
pub fn begin_term(pool: &mut EntryPool, link: OwnerLink) {
    pool.owner = Some(link);
    pool.term += 1;
    let endpoints: Vec<_> = pool.slots.keys().copied().collect();
    for endpoint in endpoints {
        pool.change_slots(endpoint, |hold| {
            *hold = SlotHold {
                carried: hold.busy,
                busy: hold.busy,
                ..SlotHold::default()
            };
        });
    }
    pool.slots.retain(|_, hold| hold.busy > 0);
    pool.target = pool.held;
    pool.scarce = false;
    pool.clock = 0;
    pool.allotment_seen = 0;
    pool.report_acked = 0;
    for usage in pool.teams.values_mut() {
        usage.owner_time = 0;
        usage.quota = None;
        usage.owner_charged = usage.charged;
        usage.sent_charges.clear();
    }
    pool.urgent = true;
    pool.changed = true;
}

fn report_if_due(state: &mut CoreState, pool_id: PoolId) {
    let now = state.now;
    let config = &state.config.reporting;
    let Some(pool) = state.entry_pools.get_mut(&pool_id) else {
        return;
    };
    let wants = pool.has_new_demand && pool.waiting > 0 && pool.free_endpoints.is_empty();
    let urgent = (pool.urgent || wants) && state.report_budget.is_open();
    let passed = now.since(pool.reported_at);
    let due = match (urgent, pool.changed) {
        (true, _) => passed >= TimeSpan::from_millis(config.urgent_gap_ms),
        (false, true) => passed >= TimeSpan::from_millis(config.interval_ms),
        (false, false) => passed >= TimeSpan::from_millis(config.keepalive_ms),
    };
    let Some(owner) = pool
        .owner
        .clone()
        .filter(|_| due || pool.report_sequence == 0)
    else {
        return;
    };
    let mut report = build(pool, pool_id, owner.epoch, now);
    report.draining = state.draining;
    add_pressure(&state.slot_limits, &mut report);
    if urgent && owner.host != state.identity.host {
        state.report_budget.spend(report.encoded_len());
    }
    state.send(&owner.host, PeerBody::Demand(report));
}

fn build(pool: &mut EntryPool, pool_id: PoolId, epoch: u32, now: Moment) -> DemandReport {
    pool.report_sequence += 1;
    pool.reported_at = now;
    pool.urgent = false;
    pool.has_new_demand = false;
    pool.changed = false;
    let mut report = DemandReport {
        pool: pool_id.0,
        epoch,
        term: pool.term,
        sequence: pool.report_sequence,
        acked: pool.allotment_seen,
        ..DemandReport::default()
    };
    add_teams(pool, &mut report);
    add_slots(pool, &mut report);
    report
}

/// Adds the proportion of late first bytes, per mille, for each endpoint in the report.
fn add_pressure(limits: &SlotLimits, report: &mut DemandReport) {
    report.pressure = report
        .endpoints
        .iter()
        .map(|endpoint| limits.tallies.get(&EndpointId(*endpoint)))
        .map(|tally| tally.map_or(0, FirstByteTally::per_mille))
        .collect();
}

/// Adds the teams whose current numbers the owner has not acknowledged.
fn add_teams(pool: &mut EntryPool, report: &mut DemandReport) {
    let (sequence, acked) = (pool.report_sequence, pool.report_acked);
    for (team, usage) in &mut pool.teams {
        if usage.first_sent_in <= acked && acked > 0 {
            continue;
        }
        let charged = usage.charged / CHARGE_STEP;
        report.teams.push(team.0);
        report
            .waiting
            .push(u32::try_from(usage.queue.len()).unwrap_or(u32::MAX));
        report.running.push(usage.running);
        report.charged.push(charged);
        usage.sent_charges.push((sequence, charged * CHARGE_STEP));
    }
}

/// Adds the endpoints whose current slot counts the owner has not acknowledged.
fn add_slots(pool: &EntryPool, report: &mut DemandReport) {
    let acked = pool.report_acked;
    for (endpoint, hold) in &pool.slots {
        if hold.first_sent_in <= acked && acked > 0 {
            continue;
        }
        report.endpoints.push(endpoint.0);
        report.carried.push(hold.carried);
        report.returned.push(hold.returned);
    }
}
