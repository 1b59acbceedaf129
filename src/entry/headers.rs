//! Names of the headers that the system reads and writes, and filters for the headers passed on.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::core::action::RunOutcome;

/// From callers: the request's kind.
pub const KIND: HeaderName = HeaderName::from_static("verbenaturn-kind");
/// From and to callers: the ticket of an unrepeatable request.
pub const TICKET: HeaderName = HeaderName::from_static("verbenaturn-ticket");
/// To callers, on every error: whether the request ran, as `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("verbenaturn-outcome");
/// To endpoints: router incarnation, request and attempt.
pub const REQUEST: HeaderName = HeaderName::from_static("verbenaturn-request");
/// To endpoints: how many events of the answer the caller already has.
pub const RESUME_AT: HeaderName = HeaderName::from_static("verbenaturn-resume-at");
/// From endpoints, on a streamed answer: index of its first event. An endpoint that doesn't send
/// this header can't resume.
pub const RESUMED_AT: HeaderName = HeaderName::from_static("verbenaturn-resumed-at");

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const PER_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes the headers that apply to one connection only, including those that `Connection` names.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    for name in PER_CONNECTION {
        headers.remove(name);
    }
}

/// Returns the headers of a caller that an endpoint may see: without the key, the ticket, the
/// headers of the connection and this system's own headers.
#[must_use]
pub fn for_endpoint(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    strip_connection(&mut passed);
    for name in [
        header::AUTHORIZATION,
        TICKET,
        KIND,
        OUTCOME,
        REQUEST,
        RESUME_AT,
    ] {
        passed.remove(name);
    }
    passed
}

/// The outcome as a header value.
#[must_use]
pub fn outcome_value(outcome: RunOutcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        RunOutcome::Ran => "ran",
        RunOutcome::NotRun => "not-run",
        RunOutcome::Unknown => "unknown",
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_and_connection_headers_are_not_passed_on() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("authorization", "Bearer k"),
            ("connection", "close, x-hop"),
            ("x-hop", "1"),
            ("keep-alive", "5"),
            ("content-type", "text/plain"),
        ] {
            headers.insert(
                name.parse::<HeaderName>().unwrap(),
                HeaderValue::from_static(value),
            );
        }
        let passed = for_endpoint(&headers);
        assert_eq!(passed.len(), 1);
        assert!(passed.contains_key("content-type"));
    }
}
