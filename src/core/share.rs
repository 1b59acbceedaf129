//! Weighted max-min fair division of slots, as pure functions.

/// One participant in a division of slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareClaim {
    /// Its weight; more than 0.
    pub weight: f64,
    /// The most it can use.
    pub demand: f64,
}

/// Computes weighted max-min fair shares of `total`: no claim gets more than its demand, and the
/// unused part goes to the others in proportion to their weights. Returns one share per claim.
///
/// Takes `O(n log n)` time for `n` claims.
#[must_use]
pub fn water_fill(total: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // Claims that are satisfied at the lowest share per weight come first.
    let demand_per_weight = |index: usize| claims[index].demand / claims[index].weight;
    order.sort_by(|left, right| demand_per_weight(*left).total_cmp(&demand_per_weight(*right)));
    let mut shares = vec![0.0; claims.len()];
    let mut left_total = total;
    let mut left_weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for index in order {
        let claim = claims[index];
        let fair = left_total * claim.weight / left_weight;
        let share = fair.min(claim.demand).max(0.0);
        shares[index] = share;
        left_total -= share;
        left_weight -= claim.weight;
    }
    shares
}

/// Rounds `shares` to whole numbers by the largest remainder method. They add up to the rounded sum
/// of `shares`, at most to `total`. The sum of `shares` must not exceed `total` by more than a
/// rounding error.
#[must_use]
pub fn round_shares(total: u32, shares: &[f64]) -> Vec<u32> {
    let mut whole: Vec<u32> = shares.iter().map(|share| floor_to_u32(*share)).collect();
    let wanted = floor_to_u32(shares.iter().sum::<f64>() + 0.5).min(total);
    let given: u32 = whole.iter().sum();
    let mut order: Vec<usize> = (0..shares.len()).collect();
    let fraction = |index: usize| shares[index] - shares[index].floor();
    order.sort_by(|left, right| fraction(*right).total_cmp(&fraction(*left)));
    let rest = wanted.saturating_sub(given);
    for index in order.into_iter().take(rest as usize) {
        whole[index] += 1;
    }
    whole
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor_to_u32(value: f64) -> u32 {
    value.max(0.0).floor() as u32
}

/// Rounds a share of slots up to a whole number; 0 if negative.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn ceil_to_u32(value: f64) -> u32 {
    value.max(0.0).ceil() as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    fn claim(weight: f64, demand: f64) -> ShareClaim {
        ShareClaim { weight, demand }
    }

    #[test]
    fn shares_follow_weights_when_all_want_more() {
        let shares = water_fill(40.0, &[claim(3.0, 100.0), claim(1.0, 100.0)]);
        assert_eq!(shares, vec![30.0, 10.0]);
    }

    #[test]
    fn unused_share_goes_to_the_others() {
        let shares = water_fill(
            40.0,
            &[claim(3.0, 6.0), claim(1.0, 100.0), claim(1.0, 100.0)],
        );
        assert_eq!(shares, vec![6.0, 17.0, 17.0]);
    }

    #[test]
    fn rounding_keeps_the_sum() {
        assert_eq!(round_shares(10, &[3.3, 3.3, 3.4]).iter().sum::<u32>(), 10);
        assert_eq!(round_shares(10, &[]), Vec::<u32>::new());
    }
}
