//! The queue of one team in one pool at one router.

use std::collections::VecDeque;

use crate::catalog::UrgencyClass;
use crate::units::RequestId;

/// A queue with two lanes, each in order of arrival. Interactive requests are taken before batch
/// requests.
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

    /// Appends a request to the back of its lane.
    pub fn push(&mut self, request: RequestId, urgency: UrgencyClass) {
        self.lane(urgency).push_back(request);
    }

    /// Returns a request to the front of its lane.
    pub fn push_front(&mut self, request: RequestId, urgency: UrgencyClass) {
        self.lane(urgency).push_front(request);
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.interactive
            .pop_front()
            .or_else(|| self.batch.pop_front())
    }

    /// Removes a request from any position; returns true if it was queued.
    pub fn remove(&mut self, request: RequestId, urgency: UrgencyClass) -> bool {
        let lane = self.lane(urgency);
        let Some(place) = lane.iter().position(|waiting| *waiting == request) else {
            return false;
        };
        lane.remove(place);
        true
    }

    /// Number of requests that would be taken before a new one.
    #[must_use]
    pub fn ahead_of(&self, urgency: UrgencyClass) -> usize {
        match urgency {
            UrgencyClass::Interactive => self.interactive.len(),
            UrgencyClass::Batch => self.len(),
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.interactive.len() + self.batch.len()
    }

    /// True if no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.interactive.is_empty() && self.batch.is_empty()
    }

    /// True if an interactive request is waiting.
    #[must_use]
    pub fn has_interactive(&self) -> bool {
        !self.interactive.is_empty()
    }
}
