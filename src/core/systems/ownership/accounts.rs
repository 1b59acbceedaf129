//! Each team's virtual time relative to its pool's clock, and the weight derived from it.

use std::collections::BTreeMap;

use crate::core::state::CoreState;
use crate::core::tables::entry_pool::virtual_time;
use crate::core::tables::owned_pool::OwnedPool;
use crate::core::tables::owned_pool::TeamDemand;
use crate::units::TeamId;
use crate::units::TimeSpan;

/// Seconds over which the speed of a pool's clock is smoothed.
const CLOCK_SMOOTHING_S: f64 = 5.0;
/// Time for which a team must have waited to count for the pool's clock.
const BACKLOGGED_AFTER: TimeSpan = TimeSpan::from_millis(1_000);
/// Smallest factor by which a lead reduces a team's share.
const MIN_WEIGHT_FACTOR: f64 = 0.25;
/// Largest factor by which a lag increases a team's share.
const MAX_WEIGHT_FACTOR: f64 = 2.0;

/// Advances the pool's clock to the mean virtual time, weighted by share, of the teams that have
/// waited for at least `BACKLOGGED_AFTER`. Teams that wait only for moments would hold it back:
/// they are served at once and their virtual time grows little.
#[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
pub(super) fn advance_clock(state: &CoreState, pool: &mut OwnedPool, passed: TimeSpan) {
    let now = state.now;
    let mut shares = 0.0;
    let mut times = 0.0;
    for (team, account) in &pool.accounts {
        let lasts = account
            .waits_since
            .is_some_and(|since| now.since(since) >= BACKLOGGED_AFTER);
        if lasts {
            let share = f64::from(state.catalog.share_of(*team).0);
            shares += share;
            times += share * (account.time - pool.clock) as f64;
        }
    }
    if shares == 0.0 || passed.0 == 0 {
        return;
    }
    let step = (times / shares).max(0.0);
    pool.clock += step as i64;
    let seconds = passed.0 as f64 / 1e6;
    let part = (seconds / CLOCK_SMOOTHING_S).min(1.0);
    pool.clock_rate += (step / seconds - pool.clock_rate) * part;
}

/// Raises the virtual time of teams that begin to wait to the clock, and clamps leads and lags.
pub(super) fn update_accounts(
    state: &CoreState,
    pool: &mut OwnedPool,
    demands: &BTreeMap<TeamId, TeamDemand>,
) {
    // While no team waits, no team is owed service: all are reset to the clock.
    let none_waiting = demands.values().all(|demand| demand.waiting == 0);
    let (now, clock) = (state.now, pool.clock);
    let max_lead = i64::try_from(state.config.ownership.debt_units).unwrap_or(i64::MAX);
    for (team, demand) in demands {
        let account = pool.accounts.entry(*team).or_default();
        let waits = demand.waiting > 0;
        let waited = account.waits_since.is_some();
        // Idle time earns no credit: a team that begins to wait starts at the clock.
        if waits && !waited {
            account.time = account.time.max(clock);
        }
        if none_waiting {
            account.time = clock;
        }
        // After a partition, an unbounded lead would starve its team, and an unbounded lag would
        // starve the other teams; both are clamped to `debt_units`.
        let most = virtual_time(max_lead, state.catalog.share_of(*team));
        account.time = account.time.clamp(clock - most, clock + most);
        account.waits_since = waits.then(|| account.waits_since.unwrap_or(now));
    }
}

/// Returns a team's share, reduced if the team is ahead of the clock and increased if it is behind,
/// so that it would reach the clock after `correction_ms`. The divisor is at least 1 unit of
/// virtual time.
#[allow(clippy::cast_precision_loss)]
pub(super) fn team_weight(state: &CoreState, pool: &OwnedPool, team: TeamId) -> f64 {
    let share = f64::from(state.catalog.share_of(team).0.max(1));
    let time = pool.accounts.get(&team).map_or(pool.clock, |row| row.time);
    let lead = (time - pool.clock) as f64;
    let correction = state.config.ownership.correction_ms as f64 / 1e3;
    let ahead = lead / (pool.clock_rate * correction).max(1.0);
    share * (1.0 - ahead).clamp(MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR)
}
