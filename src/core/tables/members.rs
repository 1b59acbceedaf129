//! This router's view of the routers in the fleet.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::RouterIdentity;
use crate::units::DomainName;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RequestFingerprint;
use crate::units::RouterIncarnation;

/// Membership state of a router. The order is used to merge gossip: a later variant takes
/// precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It responds.
    Alive,
    /// It failed to respond recently but still counts as a member.
    Suspect,
    /// It is draining: it gets no new work, and owns no pools as long as there is a live router.
    Leaving,
    /// It was declared dead by the failure detector, or it is only known from the host list and was
    /// never connected. Only in the former case is it in `DetectorTable::dead`.
    Dead,
}

/// A router as known to this one.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// Its incarnation; `None` until known from a handshake or gossip.
    pub incarnation: Option<RouterIncarnation>,
    /// Its membership state.
    pub state: MemberState,
    /// Incremented by the member itself to refute a suspicion.
    pub refutation: u32,
    /// IP address and port of its peer listener.
    pub address: SmolStr,
    /// Its host's failure domain.
    pub domain: DomainName,
    /// True while a connection to it is open.
    pub connected: bool,
    /// False once this router has been unable to connect to it for the suspicion timeout. Others
    /// may still reach it, but this router no longer treats it as an owner of pools.
    pub reachable: bool,
}

/// A router's state as gossiped. The greater value takes precedence: a higher incarnation first,
/// then a higher refutation count, then the worse state. An incarnation contains the time of
/// the start, so that a later process has a higher one; a handshake overrides gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberRank {
    /// The incarnation that has the state.
    pub incarnation: RouterIncarnation,
    /// Refutation count of that incarnation.
    pub refutation: u32,
    /// The state.
    pub state: MemberState,
}

impl MemberEntry {
    /// The known state in the form used for gossip; `None` for a router known only from the host
    /// list.
    #[must_use]
    pub fn rank(&self) -> Option<MemberRank> {
        Some(MemberRank {
            incarnation: self.incarnation?,
            refutation: self.refutation,
            state: self.state,
        })
    }
}

impl MemberRank {
    /// Merges two states of a router. Commutative, associative and idempotent, so the order and
    /// repetition of gossip do not matter.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }
}

/// All known routers, including this one.
#[derive(Debug)]
pub struct MemberTable {
    rows: BTreeMap<HostName, MemberEntry>,
    version: u64,
}

impl MemberTable {
    /// Creates a table that holds only this router.
    #[must_use]
    pub fn new(identity: &RouterIdentity) -> Self {
        let entry = MemberEntry {
            incarnation: Some(identity.incarnation),
            state: MemberState::Alive,
            refutation: 0,
            address: identity.address.clone(),
            domain: identity.domain.clone(),
            connected: true,
            reachable: true,
        };
        Self {
            rows: BTreeMap::from([(identity.host.clone(), entry)]),
            version: 1,
        }
    }

    /// Applies `change` to a row and increments the version if the state, the incarnation or
    /// reachability has changed. Those decide which router owns a pool and the owner's epoch.
    pub fn change(&mut self, host: &HostName, change: impl FnOnce(&mut MemberEntry)) {
        let Some(row) = self.rows.get_mut(host) else {
            return;
        };
        let before = (row.state, row.incarnation, row.reachable);
        change(row);
        if before != (row.state, row.incarnation, row.reachable) {
            self.version += 1;
        }
    }

    /// Adds a router, or replaces its row.
    pub fn insert(&mut self, host: HostName, entry: MemberEntry) {
        self.rows.insert(host, entry);
        self.version += 1;
    }

    /// Removes a router.
    pub fn remove(&mut self, host: &HostName) {
        if self.rows.remove(host).is_some() {
            self.version += 1;
        }
    }

    /// Number of known routers, including this one and dead ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if no router is known. Always false, because this router is in the table.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The row of a router, if known.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&MemberEntry> {
        self.rows.get(host)
    }

    /// All routers in order of host name.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, &MemberEntry)> {
        self.rows.iter()
    }

    /// Version of the table; increases whenever ownership may have changed.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// True if the router can own pools and take work.
    #[must_use]
    pub fn is_live(&self, host: &HostName) -> bool {
        self.rows
            .get(host)
            .is_some_and(|row| row.reachable && row.state <= MemberState::Suspect)
    }

    /// The owner of a pool: the live router with the highest hash (rendezvous hashing). If no
    /// router is live, a leaving one is the owner, so that requests still waiting there are served.
    #[must_use]
    pub fn owner_of(&self, pool: PoolId) -> Option<&HostName> {
        self.rendezvous_pick(u64::from(pool.0))
    }

    /// The router that grants leases for isolated runs of a request, one copy at a time. Chosen by
    /// rendezvous hashing.
    #[must_use]
    pub fn home_of(&self, fingerprint: RequestFingerprint) -> Option<&HostName> {
        self.rendezvous_pick(fingerprint.0)
    }

    fn rendezvous_pick(&self, key: u64) -> Option<&HostName> {
        self.rows
            .iter()
            .filter(|(_, row)| row.reachable && row.state != MemberState::Dead)
            .max_by_key(|(host, row)| {
                let rank = xxh3_64_with_seed(host.as_str().as_bytes(), key);
                (row.state != MemberState::Leaving, rank)
            })
            .map(|(host, _)| host)
    }
}
