//! What requests of a kind cost, learnt from what they did cost. Callers' hints are not used:
//! a team whose hints lie gains nothing.

use std::collections::BTreeMap;

use crate::units::KindName;
use crate::units::ServiceUnits;
use crate::units::TeamId;

/// Each new cost moves the estimate by one part in this many.
const SMOOTHING: i64 = 8;

/// Mean costs per team and kind.
#[derive(Debug, Default)]
pub struct CostEstimates {
    means: BTreeMap<TeamId, BTreeMap<KindName, i64>>,
}

impl CostEstimates {
    /// The expected cost of one request.
    #[must_use]
    pub fn expected(&self, team: TeamId, kind: &KindName, first: ServiceUnits) -> i64 {
        self.means
            .get(&team)
            .and_then(|kinds| kinds.get(kind))
            .copied()
            .unwrap_or_else(|| i64::try_from(first.0).unwrap_or(i64::MAX))
    }

    /// Learns from one finished request.
    pub fn learn(&mut self, team: TeamId, kind: &KindName, cost: i64) {
        let kinds = self.means.entry(team).or_default();
        let Some(mean) = kinds.get_mut(kind) else {
            kinds.insert(kind.clone(), cost);
            return;
        };
        *mean += (cost - *mean) / SMOOTHING;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_mean_moves_towards_what_was_seen() {
        let mut estimates = CostEstimates::default();
        let kind: KindName = "review".parse().unwrap();
        let team = TeamId(1);
        assert_eq!(estimates.expected(team, &kind, ServiceUnits(7)), 7);
        estimates.learn(team, &kind, 800);
        estimates.learn(team, &kind, 1_600);
        assert_eq!(estimates.expected(team, &kind, ServiceUnits(7)), 900);
    }
}
