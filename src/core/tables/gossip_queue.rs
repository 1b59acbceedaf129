//! Queue of gossip updates. Each update is sent a bounded number of times, the least sent first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Subjects with an update that has not been sent often enough. The update itself is read from
/// the tables when it is sent, so that only the latest state is transmitted.
#[derive(Debug)]
pub struct GossipQueue<K> {
    sent_counts: BTreeMap<K, u32>,
    order: BTreeSet<(u32, K)>,
}

impl<K: Ord> Default for GossipQueue<K> {
    fn default() -> Self {
        Self {
            sent_counts: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }
}

impl<K: Ord + Clone> GossipQueue<K> {
    /// Queues an update about a subject and resets the number of times it was sent.
    pub fn add(&mut self, subject: K) {
        if let Some(times) = self.sent_counts.insert(subject.clone(), 0) {
            self.order.remove(&(times, subject.clone()));
        }
        self.order.insert((0, subject));
    }

    /// Takes at most `most` subjects for one message. A subject is dropped from the queue after it
    /// was taken `limit` times.
    pub fn take(&mut self, most: usize, limit: u32) -> Vec<K> {
        let mut taken = Vec::new();
        while taken.len() < most
            && let Some((times, subject)) = self.order.pop_first()
        {
            taken.push((times + 1, subject));
        }
        for (times, subject) in &taken {
            if *times < limit {
                self.sent_counts.insert(subject.clone(), *times);
                self.order.insert((*times, subject.clone()));
            } else {
                self.sent_counts.remove(subject);
            }
        }
        taken.into_iter().map(|(_, subject)| subject).collect()
    }

    /// True if no update is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent_counts.is_empty()
    }
}

/// How many times a router sends an update in a fleet of this size: `spread` times the bit length
/// of `routers`, so that it grows with the logarithm of the fleet size.
#[must_use]
pub fn retransmit_limit(routers: usize, spread: u32) -> u32 {
    spread * (usize::BITS - routers.leading_zeros()).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn updates_are_sent_a_bounded_number_of_times_and_the_least_sent_first() {
        let mut queue = GossipQueue::default();
        queue.add("a");
        assert_eq!(queue.take(1, 2), ["a"]);
        queue.add("b");
        assert_eq!(queue.take(1, 2), ["b"]);
        assert_eq!(queue.take(5, 2), ["a", "b"]);
        assert!(queue.is_empty());
        queue.add("a");
        queue.add("a");
        assert_eq!(queue.take(5, 2), ["a"]);
    }

    #[test]
    fn the_limit_grows_with_the_logarithm() {
        assert_eq!(retransmit_limit(1, 3), 3);
        assert_eq!(retransmit_limit(8, 3), 12);
        assert_eq!(retransmit_limit(1_300, 3), 33);
    }
}
