//! Routing of a call: its pool, its kind and whether it may be repeated.

use http::HeaderMap;
use http::Method;
use serde::Deserialize;
use serde::de::IgnoredAny;
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::KindEntry;
use crate::catalog::PoolProtocol;
use crate::catalog::TeamEntry;
use crate::core::event::RepeatRule;
use crate::core::event::TicketName;
use crate::tickets::TicketSigner;
use crate::tickets::TicketText;
use crate::units::KindName;
use crate::units::PoolId;
use crate::units::PoolName;
use crate::units::RequestFingerprint;
use crate::units::TeamId;

use super::catalog::EntryCatalog;
use super::headers;
use super::refusal::CallFault;

const COMPLETIONS: &str = "/v1/completions";
const CHAT_COMPLETIONS: &str = "/v1/chat/completions";
/// Bytes at the start of a prompt that are hashed as its prefix.
const PREFIX_BYTES: usize = 512;

/// The target that a path selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathTarget {
    /// The completion API; the body names the model.
    Completion,
    /// A plain service.
    Plain(PoolId),
}

/// The fields of a completion call's body that routing needs.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: SmolStr,
    #[serde(default)]
    stream: bool,
    #[serde(default, rename = "prompt")]
    _prompt: Option<IgnoredAny>,
}

/// The route of a completion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletionRoute {
    /// The model's pool.
    pub pool: PoolId,
    /// True if the caller asks for a streamed answer.
    pub streamed: bool,
    /// Hash of the prompt's prefix; never 0.
    pub prefix: u64,
}

/// Returns the target that a method and path select.
///
/// # Errors
/// [`CallFault::UnknownPath`] if nothing is published under the path.
pub fn path_target(
    catalog: &EntryCatalog,
    method: &Method,
    path: &str,
) -> Result<PathTarget, CallFault> {
    if matches!(path, COMPLETIONS | CHAT_COMPLETIONS) && method == Method::POST {
        return Ok(PathTarget::Completion);
    }
    catalog
        .plain_pool(path)
        .map(PathTarget::Plain)
        .ok_or(CallFault::UnknownPath)
}

/// Parses a completion call's body and returns its route.
///
/// # Errors
/// [`CallFault::BadBody`] if the body can't be parsed, [`CallFault::UnknownModel`] if its model is
/// not published.
pub fn completion_route(catalog: &EntryCatalog, body: &[u8]) -> Result<CompletionRoute, CallFault> {
    let parsed: CompletionBody = serde_json::from_slice(body).map_err(|_| CallFault::BadBody)?;
    let name: PoolName = parsed.model.parse().map_err(|_| CallFault::UnknownModel)?;
    let pool = PoolId::from(&name);
    let known = catalog
        .fleet
        .pools
        .get(&pool)
        .is_some_and(|entry| entry.protocol == PoolProtocol::Engine && entry.name == name);
    if !known {
        return Err(CallFault::UnknownModel);
    }
    Ok(CompletionRoute {
        pool,
        streamed: parsed.stream,
        prefix: prefix_of(body),
    })
}

/// Returns the hash of the prompt's prefix. Engines cache prompts by prefix; the JSON text before
/// the prompt differs between callers and is left out.
fn prefix_of(body: &[u8]) -> u64 {
    let start = ["\"messages\"", "\"prompt\""]
        .iter()
        .find_map(|key| find(body, key.as_bytes()))
        .unwrap_or(0);
    let end = body.len().min(start + PREFIX_BYTES);
    xxh3_64(&body[start..end]).max(1)
}

fn find(body: &[u8], wanted: &[u8]) -> Option<usize> {
    body.windows(wanted.len()).position(|part| part == wanted)
}

/// Returns the kind of a call: the one that its header names, else the first whose method and path
/// match, else the team's default.
///
/// # Errors
/// [`CallFault::UnknownKind`] if the header names none of the team's kinds.
pub fn kind_of<'a>(
    team: &'a TeamEntry,
    method: &Method,
    path: &str,
    fields: &HeaderMap,
) -> Result<(&'a KindName, &'a KindEntry), CallFault> {
    let name = match fields.get(headers::KIND) {
        Some(value) => value
            .to_str()
            .ok()
            .and_then(|text| text.parse().ok())
            .ok_or(CallFault::UnknownKind)?,
        None => matching_kind(team, method, path).unwrap_or_else(|| team.default_kind.clone()),
    };
    team.kinds
        .get_key_value(&name)
        .ok_or(CallFault::UnknownKind)
}

fn matching_kind(team: &TeamEntry, method: &Method, path: &str) -> Option<KindName> {
    team.kinds
        .iter()
        .find(|(_, kind)| matches_call(kind, method, path))
        .map(|(name, _)| name.clone())
}

fn matches_call(kind: &KindEntry, method: &Method, path: &str) -> bool {
    let has_rule = kind.method.is_some() || kind.path_prefix.is_some();
    let method_fits = kind
        .method
        .as_ref()
        .is_none_or(|wanted| wanted.as_str() == method.as_str());
    let path_fits = kind
        .path_prefix
        .as_ref()
        .is_none_or(|wanted| path.starts_with(wanted.as_str()));
    has_rule && method_fits && path_fits
}

/// Returns whether a call may be repeated. A call that matches an unrepeatable kind by method and
/// path is unrepeatable even if its header names another kind, so that a wrong header can't cause
/// a write to be executed twice.
#[must_use]
pub fn repeat_rule(
    team: &TeamEntry,
    kind: &KindEntry,
    method: &Method,
    path: &str,
    ticket: Option<TicketName>,
) -> RepeatRule {
    let matches_unrepeatable_kind = team
        .kinds
        .values()
        .any(|other| other.unrepeatable && matches_call(other, method, path));
    if kind.unrepeatable || matches_unrepeatable_kind || ticket.is_some() {
        return RepeatRule::Unrepeatable(ticket);
    }
    RepeatRule::Repeatable
}

/// Returns the ticket that a call carries.
///
/// # Errors
/// [`CallFault::BadTicket`] if it is malformed or forged.
pub fn ticket_of(
    signer: &TicketSigner,
    fields: &HeaderMap,
) -> Result<Option<TicketName>, CallFault> {
    let Some(value) = fields.get(headers::TICKET) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| CallFault::BadTicket)?;
    let ticket: TicketText = text.parse().map_err(|_| CallFault::BadTicket)?;
    signer
        .check(&ticket)
        .map(Some)
        .map_err(|_| CallFault::BadTicket)
}

/// Returns the fingerprint that identifies resends of a request: a hash of team, method, path and
/// the buffered part of the body.
#[must_use]
pub fn fingerprint(team: TeamId, method: &Method, path: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = Xxh3::new();
    hasher.update(&team.0.to_le_bytes());
    hasher.update(method.as_str().as_bytes());
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    RequestFingerprint(hasher.digest())
}
