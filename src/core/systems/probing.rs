//! Pinging other routers in turn, and passing news on with each ping and answer.
//!
//! Each period one router is pinged, in an order that is shuffled anew for each turn, so that
//! every router is pinged once a turn and the load of a router does not grow with the fleet. If
//! it does not answer, a few others are asked to ping it before it is suspected.

use rand::seq::SliceRandom;

use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::leaving;
use crate::core::systems::membership;
use crate::core::systems::membership::is_small;
use crate::core::systems::membership::news_of;
use crate::core::systems::publication;
use crate::core::tables::detector::PingRound;
use crate::core::tables::detector::RelayedPing;
use crate::core::tables::members::MemberState;
use crate::core::tables::rumors::telling_limit;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::gossip::GossipPing;
use crate::wire::gossip::MemberUpdate;

/// A ping that wants an answer.
const PING: u32 = 0;
/// An answer, or news that nobody asked for (sequence 0).
const ANSWER: u32 = 1;
/// A request to ping another router.
const HELP: u32 = 2;

/// Members in a greeting at most.
const GREETING_MEMBERS: usize = 32;

/// Answers pings and sends the ones that are due.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    match event {
        CoreEvent::Message { from, message, .. } => {
            if let Some(PeerBody::Gossip(ping)) = &message.body {
                match ping.step {
                    PING => answer(state, from, ping.sequence),
                    ANSWER => take_answer(state, from, ping.sequence),
                    HELP => help(state, from, ping),
                    _ => {}
                }
            }
        }
        CoreEvent::PeerOpened { host, .. } => opened(state, host),
        CoreEvent::Tick => tick(state),
        _ => {}
    }
}

/// Tells a router that just connected who this one is and, if `whole`, all that a newcomer needs.
pub fn greet(state: &mut CoreState, host: &HostName, whole: bool) {
    let mut ping = loaded(state, host);
    ping.step = ANSWER;
    let own = state.identity.host.clone();
    let mut names = vec![own.clone()];
    if whole {
        let others = state.members.iter().map(|(name, _)| name);
        let others = others.filter(|name| **name != own && *name != host);
        names.extend(others.take(GREETING_MEMBERS).cloned());
        ping.news.clear();
        ping.leaving = leaving::all_news(state);
    }
    let told = names.iter().filter_map(|name| news_of(state, name));
    ping.news.extend(told);
    state.send(host, PeerBody::Gossip(ping));
}

/// Tells a router a piece of news about itself, so that it can refute.
pub fn tell(state: &mut CoreState, host: &HostName, news: MemberUpdate) {
    let ping = GossipPing {
        step: ANSWER,
        news: vec![news],
        ..blank(state)
    };
    state.send(host, PeerBody::Gossip(ping));
}

/// Passes news on to a few routers at once, without waiting for the next ping.
pub fn push(state: &mut CoreState) {
    let count = state.config.probing.fanout;
    for host in pick_connected(state, count, None) {
        let ping = GossipPing {
            step: ANSWER,
            ..loaded(state, &host)
        };
        state.send(&host, PeerBody::Gossip(ping));
    }
}

/// Asks a few routers to ping one that this router doesn't reach.
pub fn ask_helpers(state: &mut CoreState, target: &HostName) {
    let sequence = match &state.detector.round {
        Some(round) if round.target == *target => round.sequence,
        _ => state.detector.next_sequence(),
    };
    let count = state.config.probing.helpers;
    for helper in pick_connected(state, count, Some(target)) {
        let ping = GossipPing {
            step: HELP,
            sequence,
            target: target.to_string(),
            ..loaded(state, &helper)
        };
        state.send(&helper, PeerBody::Gossip(ping));
    }
}

/// In a large fleet, keeps connections to the owners of pools and closes those that nobody
/// needed for a while. In a small one, all stay.
pub fn keep_connections(state: &mut CoreState) {
    if is_small(state) {
        return;
    }
    if state.detector.wanted_version != state.members.version() {
        state.detector.wanted_version = state.members.version();
        let pools: Vec<PoolId> = state.entries.keys().copied().collect();
        let owners: Vec<HostName> = pools
            .iter()
            .filter_map(|pool| state.members.owner_of(*pool).cloned())
            .filter(|owner| *owner != state.identity.host)
            .collect();
        for owner in owners {
            membership::want(state, &owner);
        }
    }
    let limit = TimeSpan::from_millis(state.config.membership.idle_ms);
    let now = state.now;
    let idle: Vec<HostName> = state
        .detector
        .wanted
        .iter()
        .filter(|(_, needed)| now.since(**needed) >= limit)
        .map(|(host, _)| host.clone())
        .collect();
    for host in idle {
        let owns = state
            .entries
            .values()
            .any(|pool| pool.owner.as_ref().is_some_and(|owner| owner.host == host));
        if owns {
            state.detector.wanted.insert(host, now);
        } else {
            state.detector.wanted.remove(&host);
            state.act(CoreAction::Disconnect { host });
        }
    }
}

fn tick(state: &mut CoreState) {
    let now = state.now;
    state.detector.relays.retain(|_, relay| relay.expires > now);
    check_round(state);
    if now >= state.detector.next_ping {
        state.detector.next_ping = now + period(state);
        begin_round(state);
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

fn check_round(state: &mut CoreState) {
    let now = state.now;
    let patience = state.detector.patience();
    let Some(round) = &state.detector.round else {
        return;
    };
    let waited = now.since(round.sent_at);
    let target = round.target.clone();
    let answer_limit = TimeSpan::from_millis(state.config.probing.answer_ms * patience);
    if !round.helped && waited >= answer_limit {
        ask_helpers(state, &target);
        if let Some(round) = &mut state.detector.round {
            round.helped = true;
        }
        return;
    }
    if waited >= TimeSpan(period(state).0 * patience) {
        state.detector.round = None;
        state.detector.strain();
        membership::suspect(state, &target);
    }
}

fn begin_round(state: &mut CoreState) {
    if state.detector.round.is_some() {
        return;
    }
    let Some(target) = next_target(state) else {
        return;
    };
    let sequence = state.detector.next_sequence();
    let row = state.members.get(&target);
    let connected = row.is_some_and(|row| row.connected);
    let dead = row.is_some_and(|row| row.state == MemberState::Dead);
    membership::want(state, &target);
    if connected {
        let ping = GossipPing {
            step: PING,
            sequence,
            ..loaded(state, &target)
        };
        state.send(&target, PeerBody::Gossip(ping));
    }
    // A dead router is dialed, in case it is back, but owes no answer.
    if !dead {
        state.detector.round = Some(PingRound {
            target,
            sequence,
            sent_at: state.now,
            helped: false,
        });
    }
}

fn next_target(state: &mut CoreState) -> Option<HostName> {
    loop {
        if let Some(host) = state.detector.turn.pop() {
            let known = state.members.get(&host);
            // In a small fleet the dead are dialed all the time anyway.
            let skip = is_small(state) && known.is_some_and(|row| row.state == MemberState::Dead);
            if known.is_some() && !skip {
                return Some(host);
            }
            continue;
        }
        let own = state.identity.host.clone();
        let small = is_small(state);
        let mut turn: Vec<HostName> = state
            .members
            .iter()
            .filter(|(host, row)| **host != own && !(small && row.state == MemberState::Dead))
            .map(|(host, _)| host.clone())
            .collect();
        if turn.is_empty() {
            return None;
        }
        turn.shuffle(&mut state.random);
        state.detector.turn = turn;
    }
}

/// A handshake answers the ping for whose sake it was made.
fn opened(state: &mut CoreState, host: &HostName) {
    if state
        .detector
        .round
        .as_ref()
        .is_some_and(|round| round.target == *host)
    {
        state.detector.round = None;
    }
}

fn answer(state: &mut CoreState, from: &HostName, sequence: u32) {
    let ping = GossipPing {
        step: ANSWER,
        sequence,
        ..loaded(state, from)
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
            ..blank(state)
        };
        state.send(&relay.asker, PeerBody::Gossip(ping));
    }
    if state
        .detector
        .round
        .as_ref()
        .is_some_and(|round| round.sequence == sequence)
    {
        state.detector.round = None;
        state.detector.relax();
    }
}

fn help(state: &mut CoreState, from: &HostName, request: &GossipPing) {
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
        ..loaded(state, &target)
    };
    state.send(&target, PeerBody::Gossip(ping));
}

fn blank(state: &CoreState) -> GossipPing {
    GossipPing {
        revision: state.catalog.revision.0,
        service_age: publication::service_age(state),
        ..GossipPing::default()
    }
}

/// A ping for `host` with news; news that it is suspect or dead comes first.
fn loaded(state: &mut CoreState, host: &HostName) -> GossipPing {
    let most = state.config.probing.news;
    let limit = telling_limit(state.members.len(), state.config.probing.spread);
    let mut names = state.detector.rumors.take(most, limit);
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
        ..blank(state)
    }
}

/// Connected live routers in random order.
fn pick_connected(state: &mut CoreState, count: usize, but: Option<&HostName>) -> Vec<HostName> {
    let own = state.identity.host.clone();
    let mut hosts: Vec<HostName> = state
        .members
        .iter()
        .filter(|(host, row)| row.connected && **host != own && Some(*host) != but)
        .map(|(host, _)| host.clone())
        .collect();
    hosts.shuffle(&mut state.random);
    hosts.truncate(count);
    hosts
}
