//! Membership: which routers form the fleet and which of them are alive.
//!
//! The host list provides the first addresses, connections are direct evidence, and gossip carries
//! the observations of other routers. A router whose connection closed or that did not answer a
//! ping becomes suspect first; it still counts as a member and can refute the suspicion. It is
//! declared dead only when the suspicion times out. Direct evidence takes precedence over gossip.

use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::event::ListedRouter;
use crate::core::state::CoreState;
use crate::core::systems::probing;
use crate::core::tables::members::MemberEntry;
use crate::core::tables::members::MemberRank;
use crate::core::tables::members::MemberState;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::RouterIncarnation;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::gossip::MemberUpdate;

/// Milliseconds after the last message from a connected router during which gossip that it is
/// suspect or dead is not applied but sent on to that router, so that it can refute it.
const RECENT_CONTACT_MS: u64 = 500;

/// Handles the host list, connections, gossip and ticks.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::HostsListed { routers, .. } => hosts_listed(state, routers),
        CoreEvent::PeerOpened { host, incarnation } => peer_opened(state, host, *incarnation),
        CoreEvent::PeerClosed { host } => peer_closed(state, host),
        CoreEvent::Message {
            from,
            incarnation,
            message,
        } => {
            record_contact(state, from, *incarnation);
            if let Some(PeerBody::Gossip(ping)) = &message.body {
                for news in &ping.news {
                    handle_news(state, from, news);
                }
            }
        }
        CoreEvent::Tick => tick(state),
        _ => {}
    }
}

/// Returns true if the fleet is small enough for each router to keep connections to all others.
#[must_use]
pub fn is_small(state: &CoreState) -> bool {
    state.members.len() <= state.config.membership.small_fleet
}

/// Marks a connection to a router as needed from now on, and dials it unless it was marked before.
pub fn keep_connected(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    if state
        .detector
        .kept_connections
        .insert(host.clone(), now)
        .is_some()
    {
        return;
    }
    let Some(row) = state.members.get(host) else {
        return;
    };
    let address = row.address.clone();
    let host = host.clone();
    state.act(CoreAction::Connect { host, address });
}

/// Marks a router as suspect and starts its suspicion timer. A leaving router keeps the state
/// `Leaving` while it is suspected.
pub fn suspect(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    let Some(row) = state.members.get(host) else {
        return;
    };
    if row.state == MemberState::Dead {
        return;
    }
    if row.state == MemberState::Alive {
        state
            .members
            .change(host, |entry| entry.state = MemberState::Suspect);
        state.detector.gossip_queue.add(host.clone());
    }
    state.detector.running_timeouts.insert(host.clone());
    let health = state.detector.peer_health_mut(host);
    health.suspect_since.get_or_insert(now);
}

/// Returns what is known of a router as gossip to pass on; `None` if no incarnation is known.
#[must_use]
pub fn news_of(state: &CoreState, host: &HostName) -> Option<MemberUpdate> {
    let row = state.members.get(host)?;
    let rank = row.rank()?;
    Some(MemberUpdate {
        host: host.to_string(),
        address: row.address.to_string(),
        incarnation: rank.incarnation.0,
        state: match rank.state {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Leaving => 2,
            MemberState::Dead => 3,
        },
        refutation: rank.refutation,
        domain: row.domain.to_string(),
    })
}

/// Adds listed routers that are not known yet. The list lags behind the fleet, so it only provides
/// addresses to connect to and never decides which routers are alive.
fn hosts_listed(state: &mut CoreState, routers: &[ListedRouter]) {
    state.detector.listed = routers.iter().map(|router| router.host.clone()).collect();
    for router in routers {
        if router.host == state.identity.host {
            continue;
        }
        let Some(row) = state.members.get(&router.host) else {
            let entry = MemberEntry {
                incarnation: None,
                state: MemberState::Dead,
                refutation: 0,
                address: router.address.clone(),
                domain: router.domain.clone(),
                connected: false,
                reachable: true,
            };
            state.members.insert(router.host.clone(), entry);
            connect_new_member(state, &router.host);
            continue;
        };
        // The host was replaced and has a new address: dial that one. While a connection is open,
        // it is the list that is out of date.
        if !row.connected && row.state == MemberState::Dead && row.address != router.address {
            state.members.change(&router.host, |entry| {
                entry.address = router.address.clone();
                entry.domain = router.domain.clone();
            });
            redial(state, &router.host);
        }
    }
}

/// Processes the connection that a new member may have opened before it was known and, in a small
/// fleet, connects to it.
fn connect_new_member(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    if let Some(incarnation) = state.detector.unknown_peers.remove(host) {
        peer_opened(state, host, incarnation);
    }
    if is_small(state) {
        keep_connected(state, host);
        let connected = state.members.get(host).is_some_and(|row| row.connected);
        if !connected {
            state.detector.peer_health_mut(host).lost_at = Some(now);
            state.detector.running_timeouts.insert(host.clone());
        }
    }
}

fn redial(state: &mut CoreState, host: &HostName) {
    if state.detector.kept_connections.remove(host).is_some() {
        keep_connected(state, host);
    }
}

/// Records a completed handshake: direct evidence of the incarnation that runs on a host, which
/// overrides gossip.
fn peer_opened(state: &mut CoreState, host: &HostName, incarnation: RouterIncarnation) {
    if state.members.get(host).is_none() {
        state
            .detector
            .unknown_peers
            .insert(host.clone(), incarnation);
        probing::greet(state, host, true);
        return;
    }
    let before = state.members.get(host).and_then(MemberEntry::rank);
    state.members.change(host, |entry| {
        let same_incarnation = entry.incarnation == Some(incarnation);
        if !same_incarnation {
            entry.refutation = 0;
        }
        // A process that leaves never returns to service: a connection that breaks and reopens
        // must not make it eligible for work again.
        if !(same_incarnation && entry.state == MemberState::Leaving) {
            entry.state = MemberState::Alive;
        }
        entry.incarnation = Some(incarnation);
        entry.connected = true;
        entry.reachable = true;
    });
    clear_suspicion(state, host);
    let health = state.detector.peer_health_mut(host);
    health.lost_at = None;
    state.detector.running_timeouts.remove(host);
    let changed = state.members.get(host).and_then(MemberEntry::rank) != before;
    if changed {
        state.detector.gossip_queue.add(host.clone());
    }
    // In a large fleet connections are opened for single pings: the full greeting is sent only to a
    // router that is new, or was considered dead or suspect.
    let include_others = changed || is_small(state);
    probing::greet(state, host, include_others);
}

/// Records a closed connection. If this router keeps that connection open, its loss is direct
/// evidence and suspicion starts at once.
fn peer_closed(state: &mut CoreState, host: &HostName) {
    state.detector.unknown_peers.remove(host);
    let Some(row) = state.members.get(host) else {
        return;
    };
    let reachable = row.reachable;
    state.members.change(host, |entry| entry.connected = false);
    // A router that others reach and this one doesn't would be suspected after each failed dial and
    // refute it each time. So once it is marked as not reachable, a failed dial no longer makes it
    // suspect: indirect pings through other routers decide.
    if !state.detector.kept_connections.contains_key(host) || !reachable {
        return;
    }
    let now = state.now;
    state
        .detector
        .peer_health_mut(host)
        .lost_at
        .get_or_insert(now);
    state.detector.running_timeouts.insert(host.clone());
    let was_member = state
        .members
        .get(host)
        .is_some_and(|row| row.state <= MemberState::Suspect);
    suspect(state, host);
    if was_member {
        probing::ask_helpers(state, host);
    }
}

fn record_contact(state: &mut CoreState, host: &HostName, incarnation: RouterIncarnation) {
    let now = state.now;
    let Some(row) = state.members.get(host) else {
        return;
    };
    if row.incarnation != Some(incarnation) || !row.connected {
        return;
    }
    let revives = matches!(row.state, MemberState::Suspect | MemberState::Dead);
    state.detector.peer_health_mut(host).last_contact_at = Some(now);
    if revives {
        state
            .members
            .change(host, |entry| entry.state = MemberState::Alive);
        clear_suspicion(state, host);
        state.detector.gossip_queue.add(host.clone());
    }
}

fn clear_suspicion(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    state.detector.dead.remove(host);
    let health = state.detector.peer_health_mut(host);
    health.last_contact_at = Some(now);
    health.suspect_since = None;
    health.dead_since = None;
    health.confirmers.clear();
    if health.lost_at.is_none() {
        state.detector.running_timeouts.remove(host);
    }
}

fn handle_news(state: &mut CoreState, from: &HostName, news: &MemberUpdate) {
    let Ok(host) = news.host.parse::<HostName>() else {
        return;
    };
    let received = MemberRank {
        incarnation: RouterIncarnation(news.incarnation),
        refutation: news.refutation,
        state: match news.state {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Leaving,
            _ => MemberState::Dead,
        },
    };
    if host == state.identity.host {
        refute(state, received);
        return;
    }
    let Some(row) = state.members.get(&host) else {
        add_member_from_gossip(state, &host, received, news);
        return;
    };
    let known = row.rank();
    if row.connected && known.is_some_and(|known| known.incarnation != received.incarnation) {
        return;
    }
    if known.is_some_and(|known| known.merge(received) == known) {
        if known == Some(received) && received.state == MemberState::Suspect {
            state
                .detector
                .peer_health_mut(&host)
                .confirmers
                .insert(from.clone());
        }
        return;
    }
    if row.connected && received.state != MemberState::Leaving && heard_recently(state, &host) {
        let worse = received.state >= MemberState::Suspect;
        if worse {
            probing::send_for_refutation(state, &host, news.clone());
            return;
        }
    }
    apply(state, from, &host, received, news);
}

fn heard_recently(state: &CoreState, host: &HostName) -> bool {
    let last_contact_at = state
        .detector
        .peer_health
        .get(host)
        .and_then(|health| health.last_contact_at);
    last_contact_at.is_some_and(|at| state.now.since(at) < TimeSpan::from_millis(RECENT_CONTACT_MS))
}

fn add_member_from_gossip(
    state: &mut CoreState,
    host: &HostName,
    received: MemberRank,
    news: &MemberUpdate,
) {
    let Ok(domain) = news.domain.parse() else {
        return;
    };
    if received.state == MemberState::Dead {
        return;
    }
    let entry = MemberEntry {
        incarnation: Some(received.incarnation),
        state: received.state,
        refutation: received.refutation,
        address: news.address.as_str().into(),
        domain,
        connected: false,
        reachable: true,
    };
    state.members.insert(host.clone(), entry);
    state.detector.gossip_queue.add(host.clone());
    connect_new_member(state, host);
    if received.state == MemberState::Suspect {
        suspect(state, host);
    }
}

fn apply(
    state: &mut CoreState,
    from: &HostName,
    host: &HostName,
    received: MemberRank,
    news: &MemberUpdate,
) {
    let domain = news.domain.parse().ok();
    let moved = state
        .members
        .get(host)
        .is_some_and(|row| !row.connected && row.address != news.address);
    state.members.change(host, |entry| {
        entry.incarnation = Some(received.incarnation);
        entry.refutation = received.refutation;
        entry.state = received.state;
        if moved {
            entry.address = news.address.as_str().into();
        }
        if let Some(domain) = domain {
            entry.domain = domain;
        }
    });
    state.detector.gossip_queue.add(host.clone());
    if moved {
        redial(state, host);
    }
    match received.state {
        MemberState::Suspect => {
            suspect(state, host);
            state
                .detector
                .peer_health_mut(host)
                .confirmers
                .insert(from.clone());
        }
        MemberState::Dead => mark_dead(state, host),
        MemberState::Alive | MemberState::Leaving => {
            // Gossip is no direct contact, which `clear_suspicion` would record.
            let last_contact_at = state.detector.peer_health_mut(host).last_contact_at;
            clear_suspicion(state, host);
            state.detector.peer_health_mut(host).last_contact_at = last_contact_at;
        }
    }
}

/// Refutes gossip that this router is suspect or dead by raising its refutation count, which
/// overrides that gossip at all routers.
fn refute(state: &mut CoreState, received: MemberRank) {
    let host = state.identity.host.clone();
    let Some(own) = state.members.get(&host).and_then(MemberEntry::rank) else {
        return;
    };
    if received.incarnation != own.incarnation || received <= own {
        return;
    }
    state
        .members
        .change(&host, |entry| entry.refutation = received.refutation + 1);
    state.detector.raise_health_score();
    state.detector.gossip_queue.add(host);
}

fn tick(state: &mut CoreState) {
    let now = state.now;
    let passed = now.since(state.detector.last_tick);
    let first = state.detector.last_tick == Moment(0);
    state.detector.last_tick = now;
    if !first && passed > TimeSpan::from_millis(state.config.membership.pause_ms) {
        restart_timeouts(state);
    }
    announce_own_state(state);
    let running_timeouts: Vec<HostName> = state.detector.running_timeouts.iter().cloned().collect();
    for host in running_timeouts {
        check_timeouts(state, &host);
    }
    probing::keep_connections(state);
    forget_dead(state);
}

/// Restarts all timeouts after this process was suspended. It could not receive messages in that
/// time, so a timeout that expired meanwhile is no evidence about the other routers.
fn restart_timeouts(state: &mut CoreState) {
    let now = state.now;
    state.detector.pending_ping = None;
    state.detector.raise_health_score();
    let running_timeouts: Vec<HostName> = state.detector.running_timeouts.iter().cloned().collect();
    for host in running_timeouts {
        let health = state.detector.peer_health_mut(&host);
        health.suspect_since = health.suspect_since.map(|_| now);
        health.lost_at = health.lost_at.map(|_| now);
    }
}

fn announce_own_state(state: &mut CoreState) {
    let host = state.identity.host.clone();
    let Some(own) = state.members.get(&host).map(|row| row.state) else {
        return;
    };
    if own != state.detector.announced_state {
        state.detector.announced_state = own;
        state.detector.gossip_queue.add(host);
        probing::push(state);
    }
}

fn check_timeouts(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    let config = &state.config.membership;
    let timeout_multiplier = state.detector.timeout_multiplier();
    let Some(health) = state.detector.peer_health.get(host) else {
        state.detector.running_timeouts.remove(host);
        return;
    };
    let confirmed = health.confirmers.len() >= config.confirmations;
    let limit = if confirmed {
        TimeSpan::from_millis(config.confirmed_ms)
    } else {
        TimeSpan::from_millis(config.suspicion_ms * timeout_multiplier)
    };
    let (suspect_since, lost_at) = (health.suspect_since, health.lost_at);
    if suspect_since.is_some_and(|since| now.since(since) >= limit) {
        state
            .members
            .change(host, |entry| entry.state = MemberState::Dead);
        state.detector.gossip_queue.add(host.clone());
        mark_dead(state, host);
    }
    let reach_limit = TimeSpan::from_millis(state.config.membership.suspicion_ms);
    if lost_at.is_some_and(|since| now.since(since) >= reach_limit) {
        state.members.change(host, |entry| entry.reachable = false);
        state.detector.peer_health_mut(host).lost_at = None;
    }
    let health = state.detector.peer_health_mut(host);
    if health.suspect_since.is_none() && health.lost_at.is_none() {
        state.detector.running_timeouts.remove(host);
    }
}

fn mark_dead(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    let health = state.detector.peer_health_mut(host);
    health.suspect_since = None;
    health.confirmers.clear();
    health.dead_since = Some(now);
    state.detector.dead.insert(host.clone());
}

fn forget_dead(state: &mut CoreState) {
    let limit = TimeSpan::from_millis(state.config.membership.forget_ms);
    let now = state.now;
    let detector = &state.detector;
    let old: Vec<HostName> = detector
        .dead
        .iter()
        .filter(|host| !detector.listed.contains(*host))
        .filter(|host| {
            let since = detector
                .peer_health
                .get(*host)
                .and_then(|health| health.dead_since);
            since.is_some_and(|since| now.since(since) >= limit)
        })
        .cloned()
        .collect();
    for host in old {
        state.members.remove(&host);
        state.detector.peer_health.remove(&host);
        state.detector.dead.remove(&host);
        state.detector.running_timeouts.remove(&host);
        if state.detector.kept_connections.remove(&host).is_some() {
            state.act(CoreAction::Disconnect { host });
        }
    }
}
