//! Grants of vacant slots, which no entry router holds.

use crate::core::tables::owned_pool::OwnedPool;
use crate::units::EndpointId;
use crate::units::HostName;

/// Grants vacant slots, first to the entry routers that are furthest below their targets.
///
/// Routers with waiting requests are always considered; the others only if `include_idle` is true,
/// since granting them spare slots costs messages that serve no waiting request.
pub(super) fn grant_vacant(pool: &mut OwnedPool, include_idle: bool) {
    let mut hosts: Vec<(u32, HostName)> = pool
        .members
        .iter()
        .filter(|(_, member)| member.target > member.held)
        .filter(|(_, member)| include_idle || member.waiting() > 0)
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

/// Grants slots that are still vacant to routers with waiting requests, beyond their targets.
///
/// After a partition more slots of some endpoints are held than their limits allow, for a while.
/// Then all routers are above their targets although other endpoints have vacant slots, and
/// requests would wait, despite the vacant slots, until the last long request ends. The next
/// reallocation asks for the surplus back.
pub(super) fn grant_leftover(pool: &mut OwnedPool) {
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
    pool.change_assignment(host, endpoint, |assignment| {
        assignment.granted += 1;
        assignment.first_sent_in = next;
    });
}
