//! Allotments: messages that send grants, targets and the order of teams to entry routers.

use prost::Message;

use crate::core::share::ceil_to_u32;
use crate::core::state::CoreState;
use crate::core::systems::dispatch::VIRTUAL_TIME_STEP;
use crate::core::tables::entry_pool::epoch_of;
use crate::core::tables::owned_pool::OwnedPool;
use crate::core::tables::owned_pool::PoolMember;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::TeamId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::allotment::SlotAllotment;

/// Sends the allotments that are due to the pool's entry routers. One is sent if it is urgent; if
/// the pool is scarce and the target was lowered, since the last one sent, to below the slots held;
/// or if `refresh_ms` have passed since the last one and there is something to send: waiting
/// requests, a changed target or `scarce` flag, or a report to acknowledge.
pub(super) fn send_allotments(state: &mut CoreState, pool_id: PoolId, pool: &mut OwnedPool) {
    let now = state.now;
    let refresh = TimeSpan::from_millis(state.config.ownership.refresh_ms);
    let epoch = epoch_of(state.identity.incarnation);
    // While the budget is closed, a slot that is given back lies idle until the next refresh; a
    // router that keeps it uses it for its next request.
    let is_open = state.allotment_budget.is_open() || pool.budget.is_open();
    let (clock, scarce) = (pool.clock, pool.scarce && is_open);
    let hosts: Vec<HostName> = pool.members.keys().cloned().collect();
    for host in hosts {
        let Some(member) = pool.members.get_mut(&host) else {
            continue;
        };
        let lowered = member.target < member.held
            && member.sent.is_none_or(|(target, _)| target > member.target);
        let moved = member.sent != Some((member.target, scarce));
        let has_new_content =
            member.waiting() > 0 || moved || member.report_seen > member.report_ack_sent;
        let due = now.since(member.last_sent_at) >= refresh && has_new_content;
        if !(member.urgent || lowered && scarce || due) {
            continue;
        }
        let accounts = &pool.accounts;
        let allotment = build(member, pool_id, epoch, clock, scarce, now, |team| {
            accounts.get(&team).map_or(clock, |row| row.time)
        });
        if host != state.identity.host {
            // While the shared budget is open, a pool may use more than its even part of it, so its
            // own part is charged only for what it sends beyond the shared budget.
            if !state.allotment_budget.is_open() {
                pool.budget.spend(allotment.encoded_len());
            }
            state.allotment_budget.spend(allotment.encoded_len());
        }
        state.send(&host, PeerBody::Allotment(allotment));
    }
}

fn build(
    member: &mut PoolMember,
    pool_id: PoolId,
    epoch: u32,
    clock: i64,
    scarce: bool,
    now: Moment,
    time_of: impl Fn(TeamId) -> i64,
) -> SlotAllotment {
    member.allotment_sequence += 1;
    member.last_sent_at = now;
    member.urgent = false;
    member.sent = Some((member.target, scarce));
    member.report_ack_sent = member.report_seen;
    let mut allotment = SlotAllotment {
        pool: pool_id.0,
        epoch,
        entry: epoch_of(member.incarnation),
        sequence: member.allotment_sequence,
        term: member.term,
        acked: member.report_seen,
        target: member.target,
        scarce,
        clock: time_to_steps(clock),
        ..SlotAllotment::default()
    };
    for (endpoint, assignment) in &member.slots {
        if assignment.first_sent_in > member.allotment_acked {
            allotment.endpoints.push(endpoint.0);
            allotment.granted.push(assignment.granted);
        }
    }
    for (team, demand) in &member.teams {
        if demand.waiting > 0 {
            allotment.teams.push(team.0);
            allotment
                .lead
                .push((time_of(*team) - clock) / VIRTUAL_TIME_STEP);
            let quota = member.quotas.get(team).copied().unwrap_or(0.0);
            allotment.quota.push(ceil_to_u32(quota));
        }
    }
    allotment
}

fn time_to_steps(time: i64) -> u64 {
    u64::try_from(time / VIRTUAL_TIME_STEP).unwrap_or(0)
}
