//! Who the routers are.

use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::event::ListedRouter;
use crate::core::state::CoreState;
use crate::core::tables::members::MemberEntry;
use crate::core::tables::members::MemberState;
use crate::units::HostName;
use crate::units::RouterIncarnation;

/// Takes in the host list and the opening and closing of connections.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::HostsListed { routers, .. } => hosts_listed(state, routers),
        CoreEvent::PeerOpened { host, incarnation } => peer_opened(state, host, *incarnation),
        CoreEvent::PeerClosed { host } => peer_closed(state, host),
        _ => {}
    }
}

fn hosts_listed(state: &mut CoreState, routers: &[ListedRouter]) {
    for router in routers {
        if state.members.get(&router.host).is_some() {
            continue;
        }
        let entry = MemberEntry {
            incarnation: None,
            state: MemberState::Dead,
            refutation: 0,
            address: router.address.clone(),
            domain: router.domain.clone(),
            connected: false,
        };
        state.members.insert(router.host.clone(), entry);
        state.act(CoreAction::Connect {
            host: router.host.clone(),
            address: router.address.clone(),
        });
    }
}

fn peer_opened(state: &mut CoreState, host: &HostName, incarnation: RouterIncarnation) {
    state.members.change(host, |entry| {
        entry.incarnation = Some(incarnation);
        entry.state = MemberState::Alive;
        entry.connected = true;
    });
}

fn peer_closed(state: &mut CoreState, host: &HostName) {
    state.members.change(host, |entry| {
        entry.state = MemberState::Dead;
        entry.connected = false;
    });
}
