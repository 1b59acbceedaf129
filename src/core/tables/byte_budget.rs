//! Byte budget (token bucket) for control messages that are not sent at fixed intervals.

use crate::units::Moment;

/// Framing overhead of a control message in bytes, charged to the budget.
const FRAME_BYTES: i64 = 8;

/// A token bucket in bytes, refilled at a fixed rate up to one second's worth.
///
/// A message may overdraw the bucket; the debt must be paid off before the next message. Without
/// the debt, a bucket refilled by a few bytes per tick would let a whole message through every
/// tick. At each refill the debt is capped at one second's worth, because messages that are sent
/// regardless of the budget would otherwise keep it closed forever.
#[derive(Debug, Clone, Copy, Default)]
pub struct ByteBudget {
    left: i64,
    filled_at: Moment,
}

impl ByteBudget {
    /// Refills the bucket for the time since the last call.
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

    /// Charges a message of this encoded length in bytes, plus framing.
    pub fn spend(&mut self, encoded: usize) {
        let bytes = i64::try_from(encoded).unwrap_or(i64::MAX);
        self.left = self.left.saturating_sub(bytes.saturating_add(FRAME_BYTES));
    }

    /// True if a message may be sent now.
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
                // 92 bytes and 8 of framing make 100.
                budget.spend(92);
                sent += 100;
            }
        }
        assert!((19_000..=22_100).contains(&sent), "{sent}");
    }
}
