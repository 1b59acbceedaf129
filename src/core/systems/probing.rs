//! Failure detection and gossip: pings other routers in turn and attaches news to each ping and
//! answer. News is what other routers should learn: updates of members and of leaving endpoints.
//!
//! Each period one router is pinged. The order is shuffled for each pass over all routers, so that
//! every router is pinged once per pass and the load on a router does not grow with the fleet. If a
//! router does not answer, a few others are asked to ping it before it is suspected.

use rand::seq::SliceRandom;

use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::leaving;
use crate::core::systems::membership;
use crate::core::systems::membership::is_small;
use crate::core::systems::membership::news_of;
use crate::core::systems::publication;
use crate::core::tables::detector::PendingPing;
use crate::core::tables::detector::RelayedPing;
use crate::core::tables::gossip_queue::retransmit_limit;
use crate::core::tables::members::MemberState;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::gossip::GossipPing;
use crate::wire::gossip::MemberUpdate;

/// Value of `step` for a ping that expects an answer.
const PING: u32 = 0;
/// Value of `step` for an answer, or for unsolicited news (sequence 0).
const ANSWER: u32 = 1;
/// Value of `step` for a request to ping another router (indirect ping).
const PING_REQUEST: u32 = 2;

/// Maximum number of other members in a greeting.
const MAX_GREETING_MEMBERS: usize = 32;

/// Handles pings and answers, and sends pings that are due.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::Message { from, message, .. } => {
            if let Some(PeerBody::Gossip(ping)) = &message.body {
                match ping.step {
                    PING => answer(state, from, ping.sequence),
                    ANSWER => take_answer(state, from, ping.sequence),
                    PING_REQUEST => relay_ping(state, from, ping),
                    _ => {}
                }
            }
        }
        CoreEvent::PeerOpened { host, .. } => opened(state, host),
        CoreEvent::Tick => tick(state),
        _ => {}
    }
}

/// Sends news to a router that just connected: this router's own state and the queued news. With
/// `include_others`, the queued news is replaced by the state of up to `MAX_GREETING_MEMBERS` other
/// members and by all known leaving endpoints up to the configured limit, as a newly started router
/// needs. The queue still counts the replaced news as sent once.
pub fn greet(state: &mut CoreState, host: &HostName, include_others: bool) {
    let mut ping = ping_with_news(state, host);
    ping.step = ANSWER;
    let own = state.identity.host.clone();
    let mut names = vec![own.clone()];
    if include_others {
        let others = state.members.iter().map(|(name, _)| name);
        let others = others.filter(|name| **name != own && *name != host);
        names.extend(others.take(MAX_GREETING_MEMBERS).cloned());
        ping.news.clear();
        ping.leaving = leaving::all_news(state);
    }
    let member_news = names.iter().filter_map(|name| news_of(state, name));
    ping.news.extend(member_news);
    state.send(host, PeerBody::Gossip(ping));
}

/// Sends a router a piece of news about itself, so that it can refute it.
pub fn send_for_refutation(state: &mut CoreState, host: &HostName, news: MemberUpdate) {
    let ping = GossipPing {
        step: ANSWER,
        news: vec![news],
        ..empty_ping(state)
    };
    state.send(host, PeerBody::Gossip(ping));
}

/// Pushes pending news to a few routers at once, without waiting for the next ping.
pub fn push(state: &mut CoreState) {
    let count = state.config.probing.fanout;
    for host in pick_connected(state, count, None) {
        let ping = GossipPing {
            step: ANSWER,
            ..ping_with_news(state, &host)
        };
        state.send(&host, PeerBody::Gossip(ping));
    }
}

/// Asks a few routers to ping one that this router can't reach (indirect ping).
pub fn ask_helpers(state: &mut CoreState, target: &HostName) {
    let sequence = match &state.detector.pending_ping {
        Some(pending_ping) if pending_ping.target == *target => pending_ping.sequence,
        _ => state.detector.next_sequence(),
    };
    let count = state.config.probing.helpers;
    for helper in pick_connected(state, count, Some(target)) {
        let ping = GossipPing {
            step: PING_REQUEST,
            sequence,
            target: target.to_string(),
            ..ping_with_news(state, &helper)
        };
        state.send(&helper, PeerBody::Gossip(ping));
    }
}

/// In a large fleet, keeps connections to the owners of pools and closes connections that have not
/// been needed for the configured time. In a small fleet, all connections stay open.
pub fn keep_connections(state: &mut CoreState) {
    if is_small(state) {
        return;
    }
    if state.detector.connections_version != state.members.version() {
        state.detector.connections_version = state.members.version();
        let pools: Vec<PoolId> = state.entry_pools.keys().copied().collect();
        let owners: Vec<HostName> = pools
            .iter()
            .filter_map(|pool| state.members.owner_of(*pool).cloned())
            .filter(|owner| *owner != state.identity.host)
            .collect();
        for owner in owners {
            membership::keep_connected(state, &owner);
        }
    }
    let limit = TimeSpan::from_millis(state.config.membership.idle_ms);
    let now = state.now;
    let idle: Vec<HostName> = state
        .detector
        .kept_connections
        .iter()
        .filter(|(_, needed)| now.since(**needed) >= limit)
        .map(|(host, _)| host.clone())
        .collect();
    for host in idle {
        let owns = state
            .entry_pools
            .values()
            .any(|pool| pool.owner.as_ref().is_some_and(|owner| owner.host == host));
        if owns {
            state.detector.kept_connections.insert(host, now);
        } else {
            state.detector.kept_connections.remove(&host);
            state.act(CoreAction::Disconnect { host });
        }
    }
}

fn tick(state: &mut CoreState) {
    let now = state.now;
    state.detector.relays.retain(|_, relay| relay.expires > now);
    check_pending_ping(state);
    if now >= state.detector.next_ping {
        state.detector.next_ping = now + period(state);
        begin_ping(state);
    }
}

fn period(state: &CoreState) -> TimeSpan {
    let config = &state.config.probing;
    TimeSpan::from_millis(if is_small(state) {
        config.period_ms
    } else {
        config.large_period_ms
    })
}

fn check_pending_ping(state: &mut CoreState) {
    let now = state.now;
    let timeout_multiplier = state.detector.timeout_multiplier();
    let Some(pending_ping) = &state.detector.pending_ping else {
        return;
    };
    let waited = now.since(pending_ping.sent_at);
    let target = pending_ping.target.clone();
    let answer_limit = TimeSpan::from_millis(state.config.probing.answer_ms * timeout_multiplier);
    if !pending_ping.indirect_sent && waited >= answer_limit {
        ask_helpers(state, &target);
        if let Some(pending_ping) = &mut state.detector.pending_ping {
            pending_ping.indirect_sent = true;
        }
        return;
    }
    if waited >= TimeSpan(period(state).0 * timeout_multiplier) {
        state.detector.pending_ping = None;
        state.detector.raise_health_score();
        membership::suspect(state, &target);
    }
}

fn begin_ping(state: &mut CoreState) {
    if state.detector.pending_ping.is_some() {
        return;
    }
    let Some(target) = next_target(state) else {
        return;
    };
    let sequence = state.detector.next_sequence();
    let row = state.members.get(&target);
    let connected = row.is_some_and(|row| row.connected);
    let dead = row.is_some_and(|row| row.state == MemberState::Dead);
    membership::keep_connected(state, &target);
    if connected {
        let ping = GossipPing {
            step: PING,
            sequence,
            ..ping_with_news(state, &target)
        };
        state.send(&target, PeerBody::Gossip(ping));
    }
    // A dead router is dialed in case it is back, without expecting an answer.
    if !dead {
        state.detector.pending_ping = Some(PendingPing {
            target,
            sequence,
            sent_at: state.now,
            indirect_sent: false,
        });
    }
}

fn next_target(state: &mut CoreState) -> Option<HostName> {
    loop {
        if let Some(host) = state.detector.ping_order.pop() {
            let known = state.members.get(&host);
            // In a small fleet the driver keeps dialing dead routers, so a ping would add nothing.
            let skip = is_small(state) && known.is_some_and(|row| row.state == MemberState::Dead);
            if known.is_some() && !skip {
                return Some(host);
            }
            continue;
        }
        let own = state.identity.host.clone();
        let small = is_small(state);
        let mut ping_order: Vec<HostName> = state
            .members
            .iter()
            .filter(|(host, row)| **host != own && !(small && row.state == MemberState::Dead))
            .map(|(host, _)| host.clone())
            .collect();
        if ping_order.is_empty() {
            return None;
        }
        ping_order.shuffle(&mut state.random);
        state.detector.ping_order = ping_order;
    }
}

/// Ends the wait for an answer to the ping of a router whose connection just opened: the handshake
/// counts as the answer.
fn opened(state: &mut CoreState, host: &HostName) {
    if state
        .detector
        .pending_ping
        .as_ref()
        .is_some_and(|pending_ping| pending_ping.target == *host)
    {
        state.detector.pending_ping = None;
    }
}

fn answer(state: &mut CoreState, from: &HostName, sequence: u32) {
    let ping = GossipPing {
        step: ANSWER,
        sequence,
        ..ping_with_news(state, from)
    };
    state.send(from, PeerBody::Gossip(ping));
}

fn take_answer(state: &mut CoreState, from: &HostName, sequence: u32) {
    if sequence == 0 {
        return;
    }
    if let Some(relay) = state.detector.relays.remove(&sequence) {
        let ping = GossipPing {
            step: ANSWER,
            sequence: relay.sequence,
            target: from.to_string(),
            ..empty_ping(state)
        };
        state.send(&relay.asker, PeerBody::Gossip(ping));
    }
    if state
        .detector
        .pending_ping
        .as_ref()
        .is_some_and(|pending_ping| pending_ping.sequence == sequence)
    {
        state.detector.pending_ping = None;
        state.detector.lower_health_score();
    }
}

fn relay_ping(state: &mut CoreState, from: &HostName, request: &GossipPing) {
    let Ok(target) = request.target.parse::<HostName>() else {
        return;
    };
    if !state.members.get(&target).is_some_and(|row| row.connected) {
        return;
    }
    let sequence = state.detector.next_sequence();
    let limit = period(state);
    let relay = RelayedPing {
        asker: from.clone(),
        sequence: request.sequence,
        expires: state.now + limit,
    };
    state.detector.relays.insert(sequence, relay);
    let ping = GossipPing {
        step: PING,
        sequence,
        ..ping_with_news(state, &target)
    };
    state.send(&target, PeerBody::Gossip(ping));
}

fn empty_ping(state: &CoreState) -> GossipPing {
    GossipPing {
        revision: state.catalog.revision.0,
        service_age: publication::service_age(state),
        ..GossipPing::default()
    }
}

/// Builds a ping for `host` with queued news. If `host` itself is suspect or dead here, that news
/// comes first, so that it can refute it.
fn ping_with_news(state: &mut CoreState, host: &HostName) -> GossipPing {
    let most = state.config.probing.news;
    let limit = retransmit_limit(state.members.len(), state.config.probing.spread);
    let mut names = state.detector.gossip_queue.take(most, limit);
    let bad = state
        .members
        .get(host)
        .is_some_and(|row| matches!(row.state, MemberState::Suspect | MemberState::Dead));
    names.retain(|name| name != host);
    if bad {
        names.insert(0, host.clone());
    }
    GossipPing {
        leaving: leaving::take_news(state),
        news: names
            .iter()
            .filter_map(|name| news_of(state, name))
            .collect(),
        ..empty_ping(state)
    }
}

/// Picks up to `count` connected routers, without the one in `excluded`, in random order.
fn pick_connected(
    state: &mut CoreState,
    count: usize,
    excluded: Option<&HostName>,
) -> Vec<HostName> {
    let own = state.identity.host.clone();
    let mut hosts: Vec<HostName> = state
        .members
        .iter()
        .filter(|(host, row)| row.connected && **host != own && Some(*host) != excluded)
        .map(|(host, _)| host.clone())
        .collect();
    hosts.shuffle(&mut state.random);
    hosts.truncate(count);
    hosts
}
