//! Waiting requests of one team in one pool at one router.

use std::collections::VecDeque;

use crate::catalog::UrgencyClass;
use crate::units::RequestId;

/// Interactive requests go before batch ones of the same team, each in order of arrival.
#[derive(Debug, Default)]
pub struct TeamQueue {
    interactive: VecDeque<RequestId>,
    batch: VecDeque<RequestId>,
}

impl TeamQueue {
    fn lane(&mut self, urgency: UrgencyClass) -> &mut VecDeque<RequestId> {
        match urgency {
            UrgencyClass::Interactive => &mut self.interactive,
            UrgencyClass::Batch => &mut self.batch,
        }
    }

    /// Adds a request at the back of its lane.
    pub fn push(&mut self, request: RequestId, urgency: UrgencyClass) {
        self.lane(urgency).push_back(request);
    }

    /// Puts a request that came back in front of its lane.
    pub fn push_front(&mut self, request: RequestId, urgency: UrgencyClass) {
        self.lane(urgency).push_front(request);
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.interactive
            .pop_front()
            .or_else(|| self.batch.pop_front())
    }

    /// Takes a given request out, wherever it stands.
    pub fn remove(&mut self, request: RequestId, urgency: UrgencyClass) -> bool {
        let lane = self.lane(urgency);
        let Some(place) = lane.iter().position(|waiting| *waiting == request) else {
            return false;
        };
        lane.remove(place);
        true
    }

    /// How many would go before a new request.
    #[must_use]
    pub fn ahead_of(&self, urgency: UrgencyClass) -> usize {
        match urgency {
            UrgencyClass::Interactive => self.interactive.len(),
            UrgencyClass::Batch => self.len(),
        }
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// True if none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.interactive.is_empty() && self.batch.is_empty()
    }

    /// True if an interactive request waits.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        !self.interactive.is_empty()
    }
}
