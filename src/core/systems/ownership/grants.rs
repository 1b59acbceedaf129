//! Granting slots that nobody holds.

use crate::core::tables::owned_pool::OwnedPool;
use crate::units::EndpointId;
use crate::units::HostName;

/// Grants vacant slots, to those furthest below their targets first: to routers with something
/// waiting always, and to the others only if spare slots shall be `spread` now, since those cost
/// messages that help nobody at once.
pub(super) fn grant_vacant(pool: &mut OwnedPool, spread: bool) {
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
    pool.change_claim(host, endpoint, |claim| {
        claim.granted += 1;
        claim.first_sent_in = next;
    });
}
