//! The routers of the fleet as this router sees them.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::RouterIdentity;
use crate::units::DomainName;
use crate::units::HostName;
use crate::units::PoolId;
use crate::units::RequestFingerprint;
use crate::units::RouterIncarnation;

/// What a router is taken to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer lately; it still counts as a member.
    Suspect,
    /// It drains: no new work goes to it and it owns nothing.
    Leaving,
    /// It is gone.
    Dead,
}

/// One router.
#[derive(Debug, Clone)]
pub struct MemberEntry {
    /// Its life; `None` until a handshake or gossip named it.
    pub incarnation: Option<RouterIncarnation>,
    /// What it is taken to be.
    pub state: MemberState,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
    /// IP number and port of its peer listener.
    pub address: SmolStr,
    /// Its failure domain.
    pub domain: DomainName,
    /// True while a connection to it is open.
    pub connected: bool,
    /// False once this router could not connect to it for the time of a suspicion. Others may
    /// still reach it; for this router it owns nothing.
    pub reachable: bool,
}

/// What a piece of news says of a router, in the order in which news outdoes news: a later
/// incarnation, then a later refutation, then the worse state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberRank {
    /// The life that it is about.
    pub incarnation: RouterIncarnation,
    /// That life's refutation count.
    pub refutation: u32,
    /// What it says.
    pub state: MemberState,
}

impl MemberEntry {
    /// What is known, as news; `None` for a router that only the host list named.
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
    /// What is known after two pieces of news, in whatever order and however often they come.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        self.max(other)
    }
}

/// All routers that were heard of, this one included.
#[derive(Debug)]
pub struct MemberTable {
    rows: BTreeMap<HostName, MemberEntry>,
    version: u64,
}

impl MemberTable {
    /// A table that holds only this router.
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

    /// Changes a row through `change` and counts a new version if that row differs afterwards
    /// in what decides ownership.
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

    /// Adds a router, or replaces what was known of it.
    pub fn insert(&mut self, host: HostName, entry: MemberEntry) {
        self.rows.insert(host, entry);
        self.version += 1;
    }

    /// Forgets a router.
    pub fn remove(&mut self, host: &HostName) {
        if self.rows.remove(host).is_some() {
            self.version += 1;
        }
    }

    /// Routers that were heard of, this one and dead ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if no router is known; never so, since this one is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// A router.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&MemberEntry> {
        self.rows.get(host)
    }

    /// All routers in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, &MemberEntry)> {
        self.rows.iter()
    }

    /// Grows whenever ownership may change.
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

    /// The owner of a pool: the live router of the highest hash (rendezvous hashing). While no
    /// router is live, a leaving one owns, so that what still waits there is served.
    #[must_use]
    pub fn owner_of(&self, pool: PoolId) -> Option<&HostName> {
        self.first_for(u64::from(pool.0))
    }

    /// The router that lends the right to run copies of a request apart, one at a time.
    #[must_use]
    pub fn home_of(&self, fingerprint: RequestFingerprint) -> Option<&HostName> {
        self.first_for(fingerprint.0)
    }

    fn first_for(&self, key: u64) -> Option<&HostName> {
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
