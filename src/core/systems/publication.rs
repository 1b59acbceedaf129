//! Keeps the newest publication that any router has in force, and never goes back to an older one.
//!
//! Only a few routers, the readers, watch the configuration service, which provides publications:
//! by default, in each failure domain, the two live routers of highest rendezvous rank. Pings
//! contain the sender's revision; a router that learns of a higher one fetches the publication from
//! that peer.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::action::CoreAction;
use crate::core::event::CoreEvent;
use crate::core::state::CoreState;
use crate::core::systems::probing;
use crate::core::tables::members::MemberTable;
use crate::core::tables::publication_sync::ConfigKnowledge;
use crate::core::tables::publication_sync::PublicationFetch;
use crate::units::ConfigRevision;
use crate::units::DomainName;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::TimeSpan;
use crate::wire::PeerBody;
use crate::wire::gossip::GossipPing;
use crate::wire::publication::PublicationOffer;
use crate::wire::publication::PublicationRequest;

/// Seed of the hash that ranks the routers of a domain as readers; the bytes spell "read" in ASCII.
const READER_SEED: u64 = 0x7265_6164;

/// Handles publications and peers' revisions, fetches newer publications, decides whether this
/// router watches the configuration service, and updates readiness.
pub fn run(state: &mut CoreState, event: &CoreEvent) {
    let now = state.now;
    state.publication_sync.started.get_or_insert(now);
    match event {
        CoreEvent::Published { .. } => take_published(state, event),
        CoreEvent::PublicationRefused { revision } => refused(state, *revision),
        CoreEvent::SourceAnswered(true) => state.publication_sync.service_seen = Some(now),
        CoreEvent::HostsListed { .. } => state.publication_sync.listed = true,
        CoreEvent::PeerClosed { host } => peer_closed(state, host),
        CoreEvent::Message { from, message, .. } => match &message.body {
            Some(PeerBody::Gossip(ping)) => take_ping(state, from, ping),
            Some(PeerBody::PublicationWanted(request)) => answer(state, from, request),
            Some(PeerBody::Publication(offer)) => take_offer(state, from, offer),
            _ => {}
        },
        CoreEvent::Tick => {
            choose_readers(state);
            retry_fetch(state);
        }
        _ => {}
    }
    update_readiness(state);
}

/// Returns how current this router's publication is known to be, for status and logs.
#[must_use]
pub fn knowledge(state: &CoreState) -> ConfigKnowledge {
    let sync = &state.publication_sync;
    let limit = TimeSpan::from_millis(state.config.publication.certain_ms);
    if state.catalog.revision == ConfigRevision(0) {
        return ConfigKnowledge::Nothing;
    }
    if sync.newest_peer_revision(state.catalog.revision).is_some() {
        return ConfigKnowledge::Behind;
    }
    let certain = sync
        .service_seen
        .is_some_and(|seen| state.now.since(seen) <= limit);
    if certain {
        ConfigKnowledge::Current
    } else {
        ConfigKnowledge::Uncertain
    }
}

/// Returns the milliseconds since the configuration service last answered any router, as far as
/// this one knows, plus one; 0 if it never did. Pings contain it, so that routers that don't watch
/// the service know how old their information is.
#[must_use]
pub fn service_age(state: &CoreState) -> u64 {
    state
        .publication_sync
        .service_seen
        .map_or(0, |seen| state.now.since(seen).as_millis() + 1)
}

/// Returns the routers that watch the configuration service for a domain: its `count` live routers
/// of highest rendezvous rank.
#[must_use]
pub fn readers_of(members: &MemberTable, domain: &DomainName, count: usize) -> Vec<HostName> {
    let seed = xxh3_64_with_seed(domain.as_str().as_bytes(), READER_SEED);
    let mut ranked: Vec<(u64, &HostName)> = members
        .iter()
        .filter(|(host, row)| row.domain == *domain && members.is_live(host))
        .map(|(host, _)| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), host))
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .rev()
        .take(count)
        .map(|(_, host)| host.clone())
        .collect()
}

fn choose_readers(state: &mut CoreState) {
    let version = state.members.version();
    if state.publication_sync.watch_version == version {
        return;
    }
    state.publication_sync.watch_version = version;
    let count = state.config.publication.readers;
    let readers = readers_of(&state.members, &state.identity.domain, count);
    let watches = readers.contains(&state.identity.host);
    if state.publication_sync.watching != Some(watches) {
        state.publication_sync.watching = Some(watches);
        state.act(CoreAction::WatchSource(watches));
    }
}

fn take_published(state: &mut CoreState, event: &CoreEvent) {
    let CoreEvent::Published { catalog, text } = event else {
        return;
    };
    let fetch = &state.publication_sync.fetch;
    if fetch
        .as_ref()
        .is_some_and(|fetch| fetch.revision <= catalog.revision)
    {
        state.publication_sync.fetch = None;
    }
    // A lagging configuration service may deliver an old revision after a newer one, which would
    // revert shares and other published values. Revisions only increase, so ignoring one that is
    // not higher is always safe.
    if catalog.revision <= state.catalog.revision {
        return;
    }
    state.catalog = Arc::clone(catalog);
    state.publication_text = text.clone();
    for pool in state.catalog.pools.keys() {
        state.entry_pools.entry(*pool).or_default();
        state.changed_pools.insert(*pool);
    }
    probing::push(state);
    fetch_if_behind(state);
}

/// Marks an invalid publication as refused as a whole; the last valid one stays in force.
fn refused(state: &mut CoreState, revision: ConfigRevision) {
    state.publication_sync.refuse(revision);
    let fetch = &state.publication_sync.fetch;
    if fetch
        .as_ref()
        .is_some_and(|fetch| fetch.revision == revision)
    {
        state.publication_sync.fetch = None;
    }
    fetch_if_behind(state);
}

fn peer_closed(state: &mut CoreState, host: &HostName) {
    state.publication_sync.peer_revisions.remove(host);
    let fetch = &state.publication_sync.fetch;
    if fetch.as_ref().is_some_and(|fetch| fetch.host == *host) {
        state.publication_sync.fetch = None;
        fetch_if_behind(state);
    }
}

fn take_ping(state: &mut CoreState, from: &HostName, ping: &GossipPing) {
    let revision = ConfigRevision(ping.revision);
    state
        .publication_sync
        .peer_revisions
        .insert(from.clone(), revision);
    if let Some(age) = ping.service_age.checked_sub(1) {
        let age = TimeSpan::from_millis(age.min(u64::from(u32::MAX)));
        let seen = Moment(state.now.0.saturating_sub(age.0));
        let known = state.publication_sync.service_seen;
        state.publication_sync.service_seen = known.max(Some(seen));
    }
    fetch_if_behind(state);
}

/// Requests a newer publication from one peer, unless a request is pending. Publications are large:
/// if every router requested them from every peer, one change would overload the links.
fn fetch_if_behind(state: &mut CoreState) {
    if state.publication_sync.fetch.is_some() {
        return;
    }
    let current = state.catalog.revision;
    let Some((host, revision)) = state.publication_sync.newest_peer_revision(current) else {
        return;
    };
    state.publication_sync.fetch = Some(PublicationFetch {
        host: host.clone(),
        revision,
        requested_at: state.now,
    });
    let request = PublicationRequest {
        revision: current.0,
    };
    state.send(&host, PeerBody::PublicationWanted(request));
}

/// Gives up a fetch that timed out. That peer is not asked again until it announces its revision
/// again.
fn retry_fetch(state: &mut CoreState) {
    let limit = TimeSpan::from_millis(state.config.publication.fetch_ms);
    let Some(fetch) = &state.publication_sync.fetch else {
        return;
    };
    if state.now.since(fetch.requested_at) < limit {
        return;
    }
    let host = fetch.host.clone();
    state.publication_sync.fetch = None;
    state.publication_sync.peer_revisions.remove(&host);
    fetch_if_behind(state);
}

fn answer(state: &mut CoreState, from: &HostName, request: &PublicationRequest) {
    let newer = state.catalog.revision.0 > request.revision;
    let text = if newer {
        state.publication_text.clone()
    } else {
        bytes::Bytes::new()
    };
    let offer = PublicationOffer {
        revision: state.catalog.revision.0,
        text,
    };
    state.send(from, PeerBody::Publication(offer));
}

fn take_offer(state: &mut CoreState, from: &HostName, offer: &PublicationOffer) {
    let revision = ConfigRevision(offer.revision);
    let sync = &mut state.publication_sync;
    // Only the answer to a pending fetch is accepted, so that a peer can't push unsolicited
    // publications and a duplicate answer is not parsed twice.
    let Some(fetch) = sync.fetch.as_mut().filter(|fetch| fetch.host == *from) else {
        return;
    };
    fetch.revision = revision;
    let wanted = revision > state.catalog.revision && !sync.refused.contains(&revision);
    if !wanted || offer.text.is_empty() {
        sync.fetch = None;
        sync.peer_revisions.remove(from);
        return;
    }
    sync.peer_revisions.insert(from.clone(), revision);
    state.act(CoreAction::AdoptText {
        revision,
        text: offer.text.clone(),
    });
}

/// Marks this router, once it has a publication, as ready in either of two cases:
///
/// - `ready_ms` have passed since the start.
/// - The host list has been read; every other router that is connected, or whose incarnation is not
///   known yet, has announced its revision; and none of these is higher than that in force.
///
/// Without this, a router that restarts without state could serve with an old revision
/// from a lagging configuration service.
fn update_readiness(state: &mut CoreState) {
    if state.publication_sync.ready || state.catalog.revision == ConfigRevision(0) {
        return;
    }
    let sync = &state.publication_sync;
    let limit = TimeSpan::from_millis(state.config.publication.ready_ms);
    let late = sync
        .started
        .is_some_and(|started| state.now.since(started) >= limit);
    let behind = sync.newest_peer_revision(state.catalog.revision).is_some();
    let asked_all = sync.listed
        && state.members.iter().all(|(host, row)| {
            let silent = *host != state.identity.host && !sync.peer_revisions.contains_key(host);
            !(silent && (row.connected || row.incarnation.is_none()))
        });
    state.publication_sync.ready = late || (asked_all && !behind);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::RouterIdentity;
    use crate::core::tables::members::MemberEntry;
    use crate::core::tables::members::MemberState;
    use crate::units::RouterIncarnation;

    /// Default duration of a watch on the configuration service, in seconds.
    const WATCH_S: usize = 30;

    fn members(routers: usize, domains: usize) -> MemberTable {
        let domain = |number: usize| format!("domain-{}", number % domains).parse().unwrap();
        let mut table = MemberTable::new(&RouterIdentity {
            host: "host-0".parse().unwrap(),
            incarnation: RouterIncarnation(1),
            domain: domain(0),
            address: "127.0.0.1:9".into(),
        });
        for number in 1..routers {
            let entry = MemberEntry {
                incarnation: Some(RouterIncarnation(1)),
                state: MemberState::Alive,
                refutation: 0,
                address: "127.0.0.1:9".into(),
                domain: domain(number),
                connected: true,
                reachable: true,
            };
            table.insert(format!("host-{number}").parse().unwrap(), entry);
        }
        table
    }

    fn reader_count(routers: usize, domains: usize) -> usize {
        let table = members(routers, domains);
        let domain = |number| format!("domain-{number}").parse().unwrap();
        (0..domains)
            .map(|number| readers_of(&table, &domain(number), 2).len())
            .sum()
    }

    #[test]
    fn reads_grow_with_domains_and_not_with_routers() {
        assert_eq!(reader_count(8, 3), 6);
        assert_eq!(reader_count(8, 4), 8);
        assert_eq!(reader_count(1_300, 21), 42);
        // A long-poll watch counts as one read and ends after 30 s, and each of 8,800 changes a day
        // ends every watch once more: 5.7 reads/s for the large fleet, out of 2,000 reads/s.
        let reads_per_day = |readers: usize| readers * (86_400 / WATCH_S + 8_800);
        assert!(reads_per_day(reader_count(8, 4)) < 2 * 86_400);
        assert!(reads_per_day(reader_count(1_300, 21)) < 6 * 86_400);
    }

    #[test]
    fn a_dead_reader_is_replaced_by_another_of_its_domain() {
        let mut table = members(9, 3);
        let domain = "domain-1".parse().unwrap();
        let before = readers_of(&table, &domain, 2);
        table.change(&before[0], |row| row.state = MemberState::Dead);
        let after = readers_of(&table, &domain, 2);
        assert_eq!(after.len(), 2);
        assert_eq!(after[0], before[1]);
        assert!(!after.contains(&before[0]));
    }
}
