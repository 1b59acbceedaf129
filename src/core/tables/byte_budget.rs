//! A budget of bytes for control messages that are not sent at fixed intervals.

use crate::units::Moment;

/// Bytes of framing around a control message, reckoned in the budget.
const FRAME_BYTES: i64 = 8;

/// Bytes that may still be sent; filled up at a fixed rate, to one second's worth at most.
///
/// A message may overdraw the budget; the debt is paid off before the next one, but for what is
/// beyond one second's worth. Without the debt a budget that is filled by a few bytes a tick would let
/// a whole message through every tick; with all of it, messages that go out whatever the budget says
/// would close it for good.
#[derive(Debug, Clone, Copy, Default)]
pub struct ByteBudget {
    left: i64,
    filled_at: Moment,
}

impl ByteBudget {
    /// Adds what was earned since the last call.
    pub fn fill(&mut self, now: Moment, bytes_per_s: u64) {
        let earned = bytes_per_s.saturating_mul(now.since(self.filled_at).0) / 1_000_000;
        if earned == 0 {
            return;
        }
        let most = i64::try_from(bytes_per_s).unwrap_or(i64::MAX);
        let earned = i64::try_from(earned).unwrap_or(i64::MAX);
        self.left = self.left.max(-most).saturating_add(earned).min(most);
        self.filled_at = now;
    }

    /// Counts a message of this encoded length.
    pub fn spend(&mut self, encoded: usize) {
        let bytes = i64::try_from(encoded).unwrap_or(i64::MAX);
        self.left = self.left.saturating_sub(bytes.saturating_add(FRAME_BYTES));
    }

    /// True if a message may be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.left > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_keeps_to_its_rate() {
        let mut budget = ByteBudget::default();
        let mut sent = 0;
        for millis in 0..10_000 {
            budget.fill(Moment(millis * 1_000), 2_000);
            if budget.is_open() {
                budget.spend(92);
                sent += 100;
            }
        }
        assert!((19_000..=22_100).contains(&sent), "{sent}");
    }
}
