//! Admission of a call: validates its key, path, kind, ticket and body, then passes it to the core.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::header;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::catalog::TeamEntry;
use crate::core::action::RefusalReason;
use crate::core::action::RunOutcome;
use crate::core::event::RequestFacts;
use crate::endpoint::attempt::AnswerShape;
use crate::units::ConfigRevision;
use crate::units::KindName;
use crate::units::PoolId;
use crate::units::TeamId;
use crate::units::TimeSpan;

use super::body::BodyTimeouts;
use super::body::StoredBody;
use super::body::bounded_rest;
use super::body::read_body;
use super::call::CallAnswer;
use super::call::CallBody;
use super::call::CallOrigin;
use super::call::IncomingCall;
use super::caller::CallerConnection;
use super::caller::CallerSide;
use super::catalog::EntryCatalog;
use super::context::EntryContext;
use super::headers;
use super::refusal::CallFault;
use super::route;
use super::route::PathTarget;
use super::task::BodySource;
use super::task::RequestTask;
use super::task::StoredCall;

/// Answers a call from a caller or a peer. Dropping the returned future or the answer's body means
/// that the caller has disconnected.
pub async fn answer(context: &Arc<EntryContext>, call: IncomingCall) -> CallAnswer {
    match admit(context, call).await {
        Ok(answer) => answer,
        Err(fault) => fault.into_answer(),
    }
}

async fn admit(context: &Arc<EntryContext>, call: IncomingCall) -> Result<CallAnswer, CallFault> {
    let catalog = Arc::clone(&context.control.catalog.borrow());
    if catalog.revision() == ConfigRevision(0) {
        return Err(CallFault::NotReady);
    }
    let left = CancellationToken::new();
    let guard = left.clone().drop_guard();
    let caller_connection = CallerConnection {
        left,
        abort: call.abort.clone(),
        idle: catalog.fleet.caller_limits.answer_idle.as_duration(),
    };
    let task = validate_call(context, &catalog, call).await?;
    let (sender, receiver) = oneshot::channel();
    let request = task.facts.request;
    context
        .tasks
        .spawn(task.run(CallerSide::new(sender, caller_connection)));
    // A task ends without an answer only when the whole process shuts down.
    let mut answer = receiver.await.map_err(|_| CallFault::Refused {
        reason: RefusalReason::Draining,
        outcome: RunOutcome::Unknown,
        retry_after: TimeSpan(0),
    })?;
    spdlog::trace!(
        "entry: request {request} answered with {}.",
        answer.status()
    );
    answer.body_mut().watch(guard);
    Ok(answer)
}

async fn validate_call(
    context: &Arc<EntryContext>,
    catalog: &Arc<EntryCatalog>,
    call: IncomingCall,
) -> Result<RequestTask, CallFault> {
    let path = call.target.path().to_owned();
    let (team_id, team) = team_of(catalog, &call.origin, &call.headers)?;
    let kind = kind_name(team, &call, &path)?;
    let entry = team.kinds.get(&kind).ok_or(CallFault::UnknownKind)?;
    let ticket = route::ticket_of(&context.signer, &call.headers)?;
    let repeat = route::repeat_rule(team, entry, &call.method, &path, ticket);
    let target = route::path_target(catalog, &call.method, &path)?;
    let taken = route_body(context, catalog, target, &call.headers, call.body).await?;
    let time_left = match &call.origin {
        CallOrigin::Caller => entry.deadline,
        CallOrigin::Peer(forwarded_facts) => forwarded_facts.time_left.min(entry.deadline),
    };
    let facts = RequestFacts {
        request: context.next_request(),
        team: team_id,
        kind,
        pool: taken.pool,
        repeat,
        deadline: context.control.clock.now() + time_left,
        fingerprint: route::fingerprint(team_id, &call.method, &path, taken.body.kept()),
        prefix: taken.prefix,
        forwarded: call.origin != CallOrigin::Caller,
        resumable: taken.shape == AnswerShape::Events,
    };
    Ok(RequestTask {
        context: Arc::clone(context),
        facts,
        call: StoredCall {
            method: call.method,
            target: call.target,
            headers: call.headers,
            body: taken.body,
            shape: taken.shape,
        },
    })
}

fn team_of<'a>(
    catalog: &'a EntryCatalog,
    origin: &CallOrigin,
    fields: &HeaderMap,
) -> Result<(TeamId, &'a TeamEntry), CallFault> {
    let team = match origin {
        CallOrigin::Peer(forwarded_facts) => Some(forwarded_facts.team),
        CallOrigin::Caller => bearer_key(fields).and_then(|key| catalog.team_of_key(key)),
    };
    let team = team.ok_or(CallFault::UnknownKey)?;
    let entry = catalog.fleet.teams.get(&team);
    entry
        .map(|entry| (team, entry))
        .ok_or(CallFault::UnknownKey)
}

fn bearer_key(fields: &HeaderMap) -> Option<&[u8]> {
    let value = fields.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked("Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then_some(key)
}

fn kind_name(team: &TeamEntry, call: &IncomingCall, path: &str) -> Result<KindName, CallFault> {
    match &call.origin {
        CallOrigin::Peer(forwarded_facts) => Ok(forwarded_facts.kind.clone()),
        CallOrigin::Caller => {
            route::kind_of(team, &call.method, path, &call.headers).map(|(name, _)| name.clone())
        }
    }
}

struct RoutedBody {
    pool: PoolId,
    body: BodySource,
    shape: AnswerShape,
    prefix: u64,
}

async fn route_body(
    context: &EntryContext,
    catalog: &EntryCatalog,
    target: PathTarget,
    fields: &HeaderMap,
    body: CallBody,
) -> Result<RoutedBody, CallFault> {
    let config = &context.config;
    let limits = &catalog.fleet.caller_limits;
    let time = BodyTimeouts {
        pause: limits.body_idle.as_duration(),
        whole: Duration::from_millis(config.body_ms),
    };
    let length = content_length(fields);
    match target {
        PathTarget::Completion => {
            let limit = config.engine_body_bytes.min(to_size(limits.body_bytes));
            let too_large = CallFault::BodyTooLarge(limit as u64);
            if length.is_some_and(|bytes| bytes > limit as u64) {
                return Err(too_large);
            }
            let StoredBody { kept, rest: None } = read_body(body, limit, time).await? else {
                return Err(too_large);
            };
            let completion = route::completion_route(catalog, &kept)?;
            Ok(RoutedBody {
                pool: completion.pool,
                body: BodySource::Kept(kept),
                shape: if completion.streamed {
                    AnswerShape::Events
                } else {
                    AnswerShape::Json
                },
                prefix: completion.prefix,
            })
        }
        PathTarget::Plain(pool) => {
            let limit = limits.body_bytes;
            if length.is_some_and(|bytes| bytes > limit) {
                return Err(CallFault::BodyTooLarge(limit));
            }
            let kept = config.kept_body_bytes.min(to_size(limit));
            let read = read_body(body, kept, time).await?;
            let body = match read.rest {
                None => BodySource::Kept(read.kept),
                Some(rest) => {
                    let left = limit.saturating_sub(read.kept.len() as u64);
                    let rest = bounded_rest(rest, left, time.pause);
                    BodySource::streamed(read.kept, rest, length)
                }
            };
            Ok(RoutedBody {
                pool,
                body,
                shape: AnswerShape::Plain,
                prefix: 0,
            })
        }
    }
}

fn to_size(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

fn content_length(fields: &HeaderMap) -> Option<u64> {
    fields
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the caller's headers that are sent to an endpoint.
#[must_use]
pub fn endpoint_headers(fields: &HeaderMap) -> HeaderMap {
    let mut passed = headers::for_endpoint(fields);
    passed.remove(header::CONTENT_LENGTH);
    passed
}
