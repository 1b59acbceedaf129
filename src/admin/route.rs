//! Paths of the admin API.

use http::Method;

use crate::settings::LogLevel;
use crate::units::TeamName;

/// A route of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminRoute {
    /// `GET /health`: whether the control thread answers. No credential.
    Health,
    /// `GET /ready`: whether the balancer should send requests. No credential.
    Ready,
    /// `GET /metrics`: Prometheus text.
    Metrics,
    /// `GET /status`: the router and the fleet as it sees it.
    Status,
    /// `GET /teams`: all teams.
    Teams,
    /// `GET /teams/NAME`: one team, and why it waits.
    Team(TeamName),
    /// `GET /endpoints`: all endpoints.
    Endpoints,
    /// `GET /members`: all routers.
    Members,
    /// `GET /publication`: the publication in force, as it was published.
    Publication,
    /// `GET /history/answers`: counts of answers, for the burn report.
    AnswerHistory,
    /// `GET /history/samples`: samples, for the fairness report.
    SampleHistory,
    /// `POST /drain`: accept no new work and finish the requests in flight.
    Drain,
    /// `PUT /log-level/LEVEL`: set the least severe level that is logged.
    LogLevel(LogLevel),
}

/// Why a request matches no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFault {
    /// The path does not exist.
    NoPath,
    /// The path exists, but needs another method.
    OtherMethod,
}

impl AdminRoute {
    /// Returns the route of a method and a path.
    ///
    /// # Errors
    /// If no route matches.
    pub fn of(method: &Method, path: &str) -> Result<Self, RouteFault> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let (wanted, route) = match parts.as_slice() {
            ["health"] => (Method::GET, Self::Health),
            ["ready"] => (Method::GET, Self::Ready),
            ["metrics"] => (Method::GET, Self::Metrics),
            ["status"] => (Method::GET, Self::Status),
            ["teams"] => (Method::GET, Self::Teams),
            ["teams", name] => {
                let name = name.parse().map_err(|_| RouteFault::NoPath)?;
                (Method::GET, Self::Team(name))
            }
            ["endpoints"] => (Method::GET, Self::Endpoints),
            ["members"] => (Method::GET, Self::Members),
            ["publication"] => (Method::GET, Self::Publication),
            ["history", "answers"] => (Method::GET, Self::AnswerHistory),
            ["history", "samples"] => (Method::GET, Self::SampleHistory),
            ["drain"] => (Method::POST, Self::Drain),
            ["log-level", level] => {
                let level = level_named(level).ok_or(RouteFault::NoPath)?;
                (Method::PUT, Self::LogLevel(level))
            }
            _ => return Err(RouteFault::NoPath),
        };
        if wanted == *method {
            Ok(route)
        } else {
            Err(RouteFault::OtherMethod)
        }
    }

    /// True if the route needs no credential, because balancers have none.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Health | Self::Ready)
    }
}

fn level_named(name: &str) -> Option<LogLevel> {
    serde_json::from_value(name.into()).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_and_methods_make_routes() {
        let of = |method: Method, path| AdminRoute::of(&method, path);
        let level = AdminRoute::LogLevel(LogLevel::Debug);
        assert_eq!(of(Method::PUT, "/log-level/debug"), Ok(level));
        assert_eq!(of(Method::GET, "/drain"), Err(RouteFault::OtherMethod));
        assert_eq!(of(Method::GET, "/teams/a b"), Err(RouteFault::NoPath));
        assert_eq!(of(Method::GET, "/status/"), Err(RouteFault::NoPath));
    }
}
