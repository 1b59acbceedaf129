//! Notices that a router can't get the newer state that other routers have.
//!
//! Load pattern: a few routers read the store, and all others fetch from them. If these transfers fail
//! for whatever reason, such as a state too large for them, the others would keep the former routes and
//! endpoints for good. Such a router then reads the store itself.

use crate::units::Moment;
use crate::units::TimeSpan;

/// For how long one part of the state has been older than that of another router.
#[derive(Debug, Clone, Copy, Default)]
struct PartLag {
    own: u64,
    behind_since: Option<Moment>,
}

impl PartLag {
    /// Records this router's version and the newest one of the others. Returns for how long this router
    /// has kept a version that is older than another one.
    fn record(&mut self, now: Moment, own: u64, newest: u64) -> TimeSpan {
        if own != self.own || newest <= own {
            self.behind_since = None;
        }
        self.own = own;
        if newest <= own {
            return TimeSpan(0);
        }
        now.since(*self.behind_since.get_or_insert(now))
    }
}

/// Versions of the routes and of the endpoint list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateVersions {
    /// The version of the routes; 0 for none.
    pub routes: u64,
    /// The revision of the endpoint list.
    pub endpoints: u64,
}

/// Whether this router follows the state of the others.
#[derive(Debug, Default)]
pub struct CatchUp {
    routes: PartLag,
    endpoints: PartLag,
}

impl CatchUp {
    /// Returns true if for longer than `limit` another router has had newer routes or endpoints, and
    /// this router has got no newer ones meanwhile.
    pub fn is_stuck(
        &mut self,
        now: Moment,
        own: StateVersions,
        newest: StateVersions,
        limit: TimeSpan,
    ) -> bool {
        let routes = self.routes.record(now, own.routes, newest.routes);
        let endpoints = self.endpoints.record(now, own.endpoints, newest.endpoints);
        routes.max(endpoints) > limit
    }
}
