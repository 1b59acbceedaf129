//! Eviction order of items of many teams that share one bound. Items of the team with the greatest
//! total weight are evicted first, so that a flood by one team evicts only its own items.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::units::TeamId;

/// Numbered items per team, each with a weight in a unit that the user of the index chooses.
#[derive(Debug, Default)]
pub struct TeamEvictionIndex {
    items: BTreeMap<TeamId, BTreeMap<u64, u64>>,
    totals: BTreeMap<TeamId, u64>,
    heaviest: BTreeSet<(u64, TeamId)>,
    weight: u64,
    count: usize,
}

impl TeamEvictionIndex {
    /// Adds an item, or changes its weight.
    pub fn put(&mut self, team: TeamId, number: u64, weight: u64) {
        self.take(team, number);
        self.items.entry(team).or_default().insert(number, weight);
        self.add_weight(team, weight);
        self.count += 1;
    }

    /// Removes an item; returns true if it was present.
    pub fn take(&mut self, team: TeamId, number: u64) -> bool {
        let Some(items) = self.items.get_mut(&team) else {
            return false;
        };
        let Some(weight) = items.remove(&number) else {
            return false;
        };
        if items.is_empty() {
            self.items.remove(&team);
        }
        self.count -= 1;
        self.remove_weight(team, weight);
        true
    }

    /// The item to evict next: the oldest (lowest number) of the team with the greatest weight.
    #[must_use]
    pub fn eviction_candidate(&self) -> Option<(TeamId, u64)> {
        let (_, team) = self.heaviest.last()?;
        let (number, _) = self.items.get(team)?.first_key_value()?;
        Some((*team, *number))
    }

    /// Total weight of all items.
    #[must_use]
    pub fn weight(&self) -> u64 {
        self.weight
    }

    /// Number of items.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    fn add_weight(&mut self, team: TeamId, weight: u64) {
        let total = self.totals.entry(team).or_default();
        self.heaviest.remove(&(*total, team));
        *total += weight;
        self.heaviest.insert((*total, team));
        self.weight += weight;
    }

    fn remove_weight(&mut self, team: TeamId, weight: u64) {
        let Some(total) = self.totals.get_mut(&team) else {
            return;
        };
        self.heaviest.remove(&(*total, team));
        *total -= weight;
        self.weight -= weight;
        if self.items.contains_key(&team) {
            self.heaviest.insert((*total, team));
        } else {
            self.totals.remove(&team);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_team_with_the_greatest_weight_is_evicted_first() {
        let mut index = TeamEvictionIndex::default();
        index.put(TeamId(1), 1, 10);
        index.put(TeamId(2), 2, 6);
        index.put(TeamId(2), 3, 6);
        assert_eq!(index.eviction_candidate(), Some((TeamId(2), 2)));
        assert!(index.take(TeamId(2), 2));
        assert!(!index.take(TeamId(2), 2));
        assert_eq!(index.eviction_candidate(), Some((TeamId(1), 1)));
        assert_eq!((index.weight(), index.count()), (16, 2));
    }
}
