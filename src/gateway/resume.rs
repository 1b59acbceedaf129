//! Finds out where a stream began that a caller resumes, before the first attempt of its call.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use super::call_state::CallState;
use super::call_state::StreamOrigin;
use super::decide::stream_origins::AskedAnswers;
use super::decide::stream_origins::ListStatus;
use super::decide::stream_origins::Location;
use super::decide::stream_origins::StreamNumber;
use super::decide::stream_origins::StreamOrigins;
use super::decide::stream_origins::StreamStart;
use super::decide::version_history::ServiceNumber;
use super::follow::WATCH_SLACK;
use super::freshness;
use super::front::TrafficState;
use super::protocol::CallProtocol;

/// Time in addition to a gossip round until what a router tells in it has arrived.
const TELLING_TIME: Duration = Duration::from_millis(20);

/// Returns the number under which the stream of a call is recorded: that of the call that brought its
/// first event.
#[must_use]
pub fn stream_number(call: &CallState) -> StreamNumber {
    let begun_by = call.facts.resumes.as_ref().unwrap_or(&call.facts.call_id);
    StreamNumber::of(begun_by, call.team.as_ref())
}

/// Sets the origin of a call's stream, and the service at which it began if the route still names it.
/// Other routers are asked if this one can't know it.
pub async fn find_origin<P: CallProtocol>(traffic: &TrafficState<P>, call: &mut CallState) {
    let Some(last_event) = call.facts.last_event.filter(|_| call.route.streams) else {
        return;
    };
    let asked = Instant::now();
    let stream = call.facts.resumes.is_some().then(|| stream_number(call));
    let (location, source) = match (locate(traffic, call, stream), stream) {
        (Location::Ask, Some(stream)) => (locate_asked(traffic, call, stream).await, "routers"),
        (Location::OnlyVersion(_), Some(stream)) => {
            let location = confirm_only_version(traffic, call, stream).await;
            (location, "routers")
        }
        (location, _) => (location, "here"),
    };
    let known_by = known_by(&location, source);
    call.origin = match location {
        Location::Recorded(start) => recorded_origin(call, start),
        Location::OnlyVersion(software) | Location::Computed(software) => {
            StreamOrigin::At(software)
        }
        Location::Ask | Location::Unknown => StreamOrigin::Unknown,
    };
    spdlog::info!(
        "calls: id={} takes up resumes={} last_event={last_event} began_at={} known_by={known_by} \
         after_ms={}",
        call.facts.call_id,
        call.facts.resumes.as_deref().unwrap_or("-"),
        call.origin,
        asked.elapsed().as_millis(),
    );
}

fn known_by(location: &Location, source: &'static str) -> &'static str {
    match (location, source) {
        (Location::Recorded(_), "routers") => "routers",
        (Location::Recorded(_), _) => "record",
        (Location::OnlyVersion(_), _) => "only_version",
        (Location::Computed(_), _) => "computed",
        (Location::Ask | Location::Unknown, _) => "nobody",
    }
}

/// Returns the version that follows from the stream's number. A route with several services says
/// nothing of the service at which the stream began.
fn compute<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    stream: StreamNumber,
) -> Location {
    let shared = &traffic.shared;
    if call.route.split.len() != 1 || shared.list_status() != ListStatus::Latest {
        return Location::Unknown;
    }
    let now = shared.clock.now();
    let version = shared.core().ranges.version_of(now, &call.service, stream);
    version.map_or(Location::Unknown, Location::Computed)
}

fn locate<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    stream: Option<StreamNumber>,
) -> Location {
    let shared = &traffic.shared;
    let (now, list) = (shared.clock.now(), shared.list_status());
    let core = shared.core();
    core.origins
        .locate(now, &core.versions, &call.service, stream, list)
}

async fn locate_asked<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    stream: StreamNumber,
) -> Location {
    let (location, _) = ask_once(traffic, call, stream).await;
    if location != Location::Unknown {
        return location;
    }
    // The caller may come back sooner than the router at which its stream began has told others.
    sleep(telling_time(traffic)).await;
    let (location, is_answered) = ask_once(traffic, call, stream).await;
    if location != Location::Unknown {
        return location;
    }
    let location = compute(traffic, call, stream);
    if location == Location::Unknown || is_answered {
        return location;
    }
    if !is_list_confirmed(traffic).await {
        return Location::Unknown;
    }
    // The store's answer may have changed the list.
    compute(traffic, call, stream)
}

/// Asks the others before a stream without a record is taken for one of the only version that this
/// router knows: one with a newer list may have begun it at another version. Asks once more after a
/// round, in which a new list reaches all routers.
///
/// Guards against silence that is taken for the word that nobody has a record: a router that was cut off
/// a moment ago doesn't know it yet. If nobody answers, the store has to.
async fn confirm_only_version<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    stream: StreamNumber,
) -> Location {
    let lookups = &traffic.shared.lookups;
    let mut answers = lookups.ask(stream).await;
    // A router without others gets no answer.
    if is_answer(&answers) {
        sleep(telling_time(traffic)).await;
        answers = lookups.ask(stream).await;
    }
    if let AskedAnswers::Recorded(start) = answers {
        return Location::Recorded(start);
    }
    if !is_answer(&answers) && !is_list_confirmed(traffic).await {
        return Location::Unknown;
    }
    match locate(traffic, call, Some(stream)) {
        Location::Ask => locate_asked(traffic, call, stream).await,
        location => location,
    }
}

/// Returns true if another router has answered, and has no record.
fn is_answer(answers: &AskedAnswers) -> bool {
    matches!(answers, AskedAnswers::NoRecord(1..))
}

/// Returns true if the endpoint list is the store's of now, or there never was another router. A router
/// that doesn't read the store begins to meanwhile if it hears nobody.
async fn is_list_confirmed<P>(traffic: &TrafficState<P>) -> bool {
    let shared = &traffic.shared;
    let limit = freshness::watch_wait(&shared.config) + WATCH_SLACK;
    !shared.has_met_others() || shared.check_list(limit).await
}

/// Returns the time until what a router tells in a gossip round has arrived.
fn telling_time<P>(traffic: &TrafficState<P>) -> Duration {
    Duration::from_millis(traffic.shared.config.gossip_ms) + TELLING_TIME
}

/// Asks the others once. Returns what is known then, and whether any of them answered.
async fn ask_once<P: CallProtocol>(
    traffic: &TrafficState<P>,
    call: &CallState,
    stream: StreamNumber,
) -> (Location, bool) {
    let shared = &traffic.shared;
    let answers = shared.lookups.ask(stream).await;
    let is_answered = is_answer(&answers);
    let now = shared.clock.now();
    let core = shared.core();
    let location = StreamOrigins::locate_asked(now, &core.versions, &call.service, answers);
    (location, is_answered)
}

/// Returns the origin of a recorded stream and sets the call's service to the one at which it began.
/// If the route doesn't name that service any more, the stream doesn't go on anywhere.
fn recorded_origin(call: &mut CallState, start: StreamStart) -> StreamOrigin {
    let mut services = call.route.split.iter().map(|(service, _)| service);
    let Some(service) = services.find(|service| ServiceNumber::of(service) == start.service) else {
        return StreamOrigin::Unknown;
    };
    call.service = service.clone();
    StreamOrigin::At(start.software)
}
