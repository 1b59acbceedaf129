//! Who the routers are: the host list as a seed, connections as direct evidence, news of peers.
//!
//! A router that lost its connection or did not answer is suspected first and still counts as a
//! member; it can refute. Only a suspicion that ran out makes it dead. What this router sees
//! itself goes before what it is told.

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

/// Milliseconds since a direct sign of life within which news of a router's death is not
/// believed but passed on to that router, so that it can refute.
const FRESH_MS: u64 = 500;

/// Takes in the host list, connections, news and the passing of time.
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
            heard_from(state, from, *incarnation);
            if let Some(PeerBody::Gossip(ping)) = &message.body {
                for news in &ping.news {
                    take_news(state, from, news);
                }
            }
        }
        CoreEvent::Tick => tick(state),
        _ => {}
    }
}

/// True if the fleet is so small that each router keeps connections to all.
#[must_use]
pub fn is_small(state: &CoreState) -> bool {
    state.members.len() <= state.config.membership.small_fleet
}

/// Keeps a connection to a router open from now on.
pub fn want(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    if state.detector.wanted.insert(host.clone(), now).is_some() {
        return;
    }
    let Some(row) = state.members.get(host) else {
        return;
    };
    let address = row.address.clone();
    let host = host.clone();
    state.act(CoreAction::Connect { host, address });
}

/// Begins to suspect a router. One that leaves keeps that state while it is suspected.
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
        state.detector.rumors.add(host.clone());
    }
    state.detector.pending.insert(host.clone());
    let watch = state.detector.watch(host);
    watch.suspect_since.get_or_insert(now);
}

/// What is known of a router, to pass on.
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

/// The list lags, so it only names routers to get in touch with; it never says who lives.
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
            admit(state, &router.host);
            continue;
        };
        // A host was replaced and has another address: dial that one. While a connection is
        // open, the list is the one that is out of date.
        if !row.connected && row.state == MemberState::Dead && row.address != router.address {
            state.members.change(&router.host, |entry| {
                entry.address = router.address.clone();
                entry.domain = router.domain.clone();
            });
            redial(state, &router.host);
        }
    }
}

/// Gets in touch with a router that was not known before.
fn admit(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    if let Some(incarnation) = state.detector.strangers.remove(host) {
        peer_opened(state, host, incarnation);
    }
    if is_small(state) {
        want(state, host);
        let connected = state.members.get(host).is_some_and(|row| row.connected);
        if !connected {
            state.detector.watch(host).lost_at = Some(now);
            state.detector.pending.insert(host.clone());
        }
    }
}

fn redial(state: &mut CoreState, host: &HostName) {
    if state.detector.wanted.remove(host).is_some() {
        want(state, host);
    }
}

/// A handshake is direct evidence of who lives at a host, whatever the news say.
fn peer_opened(state: &mut CoreState, host: &HostName, incarnation: RouterIncarnation) {
    if state.members.get(host).is_none() {
        state.detector.strangers.insert(host.clone(), incarnation);
        probing::greet(state, host, true);
        return;
    }
    let before = state.members.get(host).and_then(MemberEntry::rank);
    state.members.change(host, |entry| {
        let same_life = entry.incarnation == Some(incarnation);
        if !same_life {
            entry.refutation = 0;
        }
        // Leaving holds for the whole life of a process: a link that breaks and reopens must
        // not bring it back to work.
        if !(same_life && entry.state == MemberState::Leaving) {
            entry.state = MemberState::Alive;
        }
        entry.incarnation = Some(incarnation);
        entry.connected = true;
        entry.reachable = true;
    });
    clear_suspicion(state, host);
    let watch = state.detector.watch(host);
    watch.lost_at = None;
    state.detector.pending.remove(host);
    let changed = state.members.get(host).and_then(MemberEntry::rank) != before;
    if changed {
        state.detector.rumors.add(host.clone());
    }
    // In a large fleet connections open for single pings: only a router that is new, or was taken
    // for dead or suspect, is told everything.
    let whole = changed || is_small(state);
    probing::greet(state, host, whole);
}

/// The loss of a connection that this router keeps is direct evidence: suspicion starts at once.
fn peer_closed(state: &mut CoreState, host: &HostName) {
    state.detector.strangers.remove(host);
    let Some(row) = state.members.get(host) else {
        return;
    };
    let reachable = row.reachable;
    state.members.change(host, |entry| entry.connected = false);
    // A router that others reach and this one doesn't would be suspected with each failed dial
    // and refute each time; once is enough. From then on pings by way of others decide.
    if !state.detector.wanted.contains_key(host) || !reachable {
        return;
    }
    let now = state.now;
    state.detector.watch(host).lost_at.get_or_insert(now);
    state.detector.pending.insert(host.clone());
    let knew = state
        .members
        .get(host)
        .is_some_and(|row| row.state <= MemberState::Suspect);
    suspect(state, host);
    if knew {
        probing::ask_helpers(state, host);
    }
}

fn heard_from(state: &mut CoreState, host: &HostName, incarnation: RouterIncarnation) {
    let now = state.now;
    let Some(row) = state.members.get(host) else {
        return;
    };
    if row.incarnation != Some(incarnation) || !row.connected {
        return;
    }
    let revives = matches!(row.state, MemberState::Suspect | MemberState::Dead);
    state.detector.watch(host).heard_at = Some(now);
    if revives {
        state
            .members
            .change(host, |entry| entry.state = MemberState::Alive);
        clear_suspicion(state, host);
        state.detector.rumors.add(host.clone());
    }
}

fn clear_suspicion(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    state.detector.dead.remove(host);
    let watch = state.detector.watch(host);
    watch.heard_at = Some(now);
    watch.suspect_since = None;
    watch.dead_since = None;
    watch.confirmers.clear();
    if watch.lost_at.is_none() {
        state.detector.pending.remove(host);
    }
}

fn take_news(state: &mut CoreState, from: &HostName, news: &MemberUpdate) {
    let Ok(host) = news.host.parse::<HostName>() else {
        return;
    };
    let told = MemberRank {
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
        refute(state, told);
        return;
    }
    let Some(row) = state.members.get(&host) else {
        take_newcomer(state, &host, told, news);
        return;
    };
    let known = row.rank();
    if row.connected && known.is_some_and(|known| known.incarnation != told.incarnation) {
        return;
    }
    if known.is_some_and(|known| known.merge(told) == known) {
        if known == Some(told) && told.state == MemberState::Suspect {
            state.detector.watch(&host).confirmers.insert(from.clone());
        }
        return;
    }
    if row.connected && told.state != MemberState::Leaving && is_fresh(state, &host) {
        let worse = told.state >= MemberState::Suspect;
        if worse {
            probing::tell(state, &host, news.clone());
            return;
        }
    }
    apply(state, from, &host, told, news);
}

fn is_fresh(state: &CoreState, host: &HostName) -> bool {
    let heard_at = state
        .detector
        .watches
        .get(host)
        .and_then(|watch| watch.heard_at);
    heard_at.is_some_and(|at| state.now.since(at) < TimeSpan::from_millis(FRESH_MS))
}

fn take_newcomer(state: &mut CoreState, host: &HostName, told: MemberRank, news: &MemberUpdate) {
    let Ok(domain) = news.domain.parse() else {
        return;
    };
    if told.state == MemberState::Dead {
        return;
    }
    let entry = MemberEntry {
        incarnation: Some(told.incarnation),
        state: told.state,
        refutation: told.refutation,
        address: news.address.as_str().into(),
        domain,
        connected: false,
        reachable: true,
    };
    state.members.insert(host.clone(), entry);
    state.detector.rumors.add(host.clone());
    admit(state, host);
    if told.state == MemberState::Suspect {
        suspect(state, host);
    }
}

fn apply(
    state: &mut CoreState,
    from: &HostName,
    host: &HostName,
    told: MemberRank,
    news: &MemberUpdate,
) {
    let domain = news.domain.parse().ok();
    let moved = state
        .members
        .get(host)
        .is_some_and(|row| !row.connected && row.address != news.address);
    state.members.change(host, |entry| {
        entry.incarnation = Some(told.incarnation);
        entry.refutation = told.refutation;
        entry.state = told.state;
        if moved {
            entry.address = news.address.as_str().into();
        }
        if let Some(domain) = domain {
            entry.domain = domain;
        }
    });
    state.detector.rumors.add(host.clone());
    if moved {
        redial(state, host);
    }
    match told.state {
        MemberState::Suspect => {
            suspect(state, host);
            state.detector.watch(host).confirmers.insert(from.clone());
        }
        MemberState::Dead => note_dead(state, host),
        MemberState::Alive | MemberState::Leaving => {
            let heard_at = state.detector.watch(host).heard_at;
            clear_suspicion(state, host);
            state.detector.watch(host).heard_at = heard_at;
        }
    }
}

/// Somebody says that this router is suspect or dead: a higher count outdoes that everywhere.
fn refute(state: &mut CoreState, told: MemberRank) {
    let host = state.identity.host.clone();
    let Some(own) = state.members.get(&host).and_then(MemberEntry::rank) else {
        return;
    };
    if told.incarnation != own.incarnation || told <= own {
        return;
    }
    state
        .members
        .change(&host, |entry| entry.refutation = told.refutation + 1);
    state.detector.strain();
    state.detector.rumors.add(host);
}

fn tick(state: &mut CoreState) {
    let now = state.now;
    let passed = now.since(state.detector.last_tick);
    let first = state.detector.last_tick == Moment(0);
    state.detector.last_tick = now;
    if !first && passed > TimeSpan::from_millis(state.config.membership.pause_ms) {
        forgive_pause(state);
    }
    tell_own_change(state);
    let pending: Vec<HostName> = state.detector.pending.iter().cloned().collect();
    for host in pending {
        check_limits(state, &host);
    }
    probing::keep_connections(state);
    forget_dead(state);
}

/// This process slept: nobody could have reached it in that time, so no limit that ran out
/// meanwhile says anything of the others. All limits start anew.
fn forgive_pause(state: &mut CoreState) {
    let now = state.now;
    state.detector.round = None;
    state.detector.strain();
    let pending: Vec<HostName> = state.detector.pending.iter().cloned().collect();
    for host in pending {
        let watch = state.detector.watch(&host);
        watch.suspect_since = watch.suspect_since.map(|_| now);
        watch.lost_at = watch.lost_at.map(|_| now);
    }
}

fn tell_own_change(state: &mut CoreState) {
    let host = state.identity.host.clone();
    let Some(own) = state.members.get(&host).map(|row| row.state) else {
        return;
    };
    if own != state.detector.told_state {
        state.detector.told_state = own;
        state.detector.rumors.add(host);
        probing::push(state);
    }
}

fn check_limits(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    let config = &state.config.membership;
    let patience = state.detector.patience();
    let Some(watch) = state.detector.watches.get(host) else {
        state.detector.pending.remove(host);
        return;
    };
    let confirmed = watch.confirmers.len() >= config.confirmations;
    let limit = if confirmed {
        TimeSpan::from_millis(config.confirmed_ms)
    } else {
        TimeSpan::from_millis(config.suspicion_ms * patience)
    };
    let (suspect_since, lost_at) = (watch.suspect_since, watch.lost_at);
    if suspect_since.is_some_and(|since| now.since(since) >= limit) {
        state
            .members
            .change(host, |entry| entry.state = MemberState::Dead);
        state.detector.rumors.add(host.clone());
        note_dead(state, host);
    }
    let limit = TimeSpan::from_millis(state.config.membership.suspicion_ms);
    if lost_at.is_some_and(|since| now.since(since) >= limit) {
        state.members.change(host, |entry| entry.reachable = false);
        state.detector.watch(host).lost_at = None;
    }
    let watch = state.detector.watch(host);
    if watch.suspect_since.is_none() && watch.lost_at.is_none() {
        state.detector.pending.remove(host);
    }
}

fn note_dead(state: &mut CoreState, host: &HostName) {
    let now = state.now;
    let watch = state.detector.watch(host);
    watch.suspect_since = None;
    watch.confirmers.clear();
    watch.dead_since = Some(now);
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
                .watches
                .get(*host)
                .and_then(|watch| watch.dead_since);
            since.is_some_and(|since| now.since(since) >= limit)
        })
        .cloned()
        .collect();
    for host in old {
        state.members.remove(&host);
        state.detector.watches.remove(&host);
        state.detector.dead.remove(&host);
        state.detector.pending.remove(&host);
        if state.detector.wanted.remove(&host).is_some() {
            state.act(CoreAction::Disconnect { host });
        }
    }
}
