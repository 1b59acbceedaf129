//! Retries that teams have earned by first attempts.

use std::collections::BTreeMap;

use crate::configs::attempts::AttemptsConfig;
use crate::units::TeamId;

/// Hundredths of a retry: one first attempt earns `retry_percent` of them.
const ONE_RETRY: u32 = 100;

/// Saved-up retries per team.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    saved: BTreeMap<TeamId, u32>,
}

impl RetryBudgets {
    fn balance(&mut self, team: TeamId, config: &AttemptsConfig) -> &mut u32 {
        let full = config.retry_burst * ONE_RETRY;
        self.saved.entry(team).or_insert(full)
    }

    /// Counts a first attempt.
    pub fn earn(&mut self, team: TeamId, config: &AttemptsConfig) {
        let full = config.retry_burst * ONE_RETRY;
        let balance = self.balance(team, config);
        *balance = (*balance + config.retry_percent).min(full);
    }

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self, team: TeamId, config: &AttemptsConfig) -> bool {
        let balance = self.balance(team, config);
        if *balance < ONE_RETRY {
            return false;
        }
        *balance -= ONE_RETRY;
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
