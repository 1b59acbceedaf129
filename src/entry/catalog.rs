//! Indexes over the publication for the entry side's lookups.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::catalog::FleetCatalog;
use crate::catalog::PoolProtocol;
use crate::units::ConfigRevision;
use crate::units::PoolId;
use crate::units::TeamId;

const INDEX_BYTES: usize = 8;

/// A publication with indexes of keys and path prefixes.
#[derive(Debug, Default)]
pub struct EntryCatalog {
    /// The publication.
    pub fleet: Arc<FleetCatalog>,
    keys: BTreeMap<[u8; INDEX_BYTES], Vec<([u8; 32], TeamId)>>,
    prefixes: Vec<(SmolStr, PoolId)>,
}

impl EntryCatalog {
    /// Builds the indexes of a publication.
    #[must_use]
    pub fn new(fleet: Arc<FleetCatalog>) -> Self {
        let mut keys: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (team, entry) in &fleet.teams {
            for hash in &entry.key_hashes {
                keys.entry(index_of(hash)).or_default().push((*hash, *team));
            }
        }
        let mut prefixes: Vec<_> = fleet
            .pools
            .iter()
            .filter_map(|(pool, entry)| match &entry.protocol {
                PoolProtocol::Engine => None,
                PoolProtocol::Plain { prefix } => Some((prefix.clone(), *pool)),
            })
            .collect();
        prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        Self {
            fleet,
            keys,
            prefixes,
        }
    }

    /// Returns the publication's revision at its source.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        self.fleet.revision
    }

    /// Returns the team that a key belongs to.
    ///
    /// Guards against timing attacks, in which a caller measures how long a refusal takes to find
    /// a key byte by byte. Only hashes are compared, in full and in constant time; the index
    /// reveals at most the first bytes of a hash, from which no key can be derived.
    #[must_use]
    pub fn team_of_key(&self, key: &[u8]) -> Option<TeamId> {
        let hash: [u8; 32] = Sha256::digest(key).into();
        let candidates = self.keys.get(&index_of(&hash))?;
        candidates
            .iter()
            .find(|(known, _)| bool::from(known.ct_eq(&hash)))
            .map(|(_, team)| *team)
    }

    /// Returns the plain service with the longest prefix that matches `path`.
    #[must_use]
    pub fn plain_pool(&self, path: &str) -> Option<PoolId> {
        self.prefixes
            .iter()
            .find(|(prefix, _)| matches_prefix(path, prefix))
            .map(|(_, pool)| *pool)
    }
}

fn index_of(hash: &[u8; 32]) -> [u8; INDEX_BYTES] {
    let mut index = [0; INDEX_BYTES];
    index.copy_from_slice(&hash[..INDEX_BYTES]);
    index
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Returns the hash of a key as it is published: lower-case hexadecimal SHA-256.
#[must_use]
pub fn key_hash_text(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_prefix_ends_at_a_path_segment() {
        assert!(matches_prefix("/portal", "/portal"));
        assert!(matches_prefix("/portal/night", "/portal"));
        assert!(!matches_prefix("/portals", "/portal"));
    }
}
