//! Retry budgets: each team earns retries in proportion to its first attempts.

use std::collections::BTreeMap;

use crate::configs::attempts::AttemptsConfig;
use crate::units::TeamId;

/// Cost of one retry, in hundredths of a retry; a first attempt earns `retry_percent` of these.
const RETRY_COST: u32 = 100;

/// Retry budget per team, a token bucket filled by first attempts.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: BTreeMap<TeamId, u32>,
}

impl RetryBudgets {
    fn balance(&mut self, team: TeamId, config: &AttemptsConfig) -> &mut u32 {
        let full = config.retry_burst * RETRY_COST;
        self.saved.entry(team).or_insert(full)
    }

    /// Credits a team for a first attempt.
    pub fn earn(&mut self, team: TeamId, config: &AttemptsConfig) {
        let full = config.retry_burst * RETRY_COST;
        let balance = self.balance(team, config);
        *balance = (*balance + config.retry_percent).min(full);
    }

    /// Spends one retry; returns false if the budget is used up.
    pub fn spend(&mut self, team: TeamId, config: &AttemptsConfig) -> bool {
        let balance = self.balance(team, config);
        if *balance < RETRY_COST {
            return false;
        }
        *balance -= RETRY_COST;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_a_tenth_of_first_attempts_in_the_long_run() {
        let config = AttemptsConfig::default();
        let mut budgets = RetryBudgets::default();
        let team = TeamId(1);
        let mut spent = 0;
        for _ in 0..1_000 {
            budgets.earn(team, &config);
            if budgets.spend(team, &config) {
                spent += 1;
            }
        }
        assert!(spent <= 100 + config.retry_burst);
    }
}
