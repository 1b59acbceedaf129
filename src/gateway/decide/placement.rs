//! Selection of the endpoint that is tried next for a request.
//!
//! Load pattern: prompts of very different length that share long parts. The time to a first token
//! is the prefill work queued at the engine plus the request's own, so endpoints are compared by
//! that work and not by their number of requests. A shared part in an endpoint's prefix cache costs
//! nothing there. Every router ranks endpoints for a part in the same way (rendezvous hashing), so
//! that the part stays in few caches without coordination between routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::Moment;
use crate::units::TimeSpan;

use super::super::protocol::PartId;
use super::super::protocol::PromptShape;
use super::super::routes::EndpointKey;
use super::super::routes::EngineShape;
use super::super::routes::SoftwareVersion;
use super::endpoints::EndpointRow;

/// Assumed probability that the first and second endpoint in a part's rendezvous order, its
/// *homes*, have it cached. The second gets requests for which the first has no room.
const HOME_PROBABILITIES: [f64; 2] = [1.0, 0.5];

/// Extra cost of prefilling a shared part that is not cached, in multiples of the time that it
/// takes: every request queued at the engine waits for it too.
const REREAD_WEIGHT: f64 = 4.0;

/// Time for which an endpoint is assumed to cache a part that this router sent there.
const PART_CACHED_FOR: TimeSpan = TimeSpan::from_millis(8_000);

/// Time to a first token on an idle engine in addition to prefilling the prompt, in ms: connection,
/// one batch step and the response's way back.
const IDLE_FIRST_TOKEN_MS: f64 = 12.0;

/// Extra cost of a request to another failure domain, in ms: longer network path, and the price of
/// traffic between domains.
const DOMAIN_PENALTY_MS: f64 = 4.0;

/// Extra cost of fetching a shared part from another engine, in multiples of the time that it
/// takes: the transfer occupies two links and delays later fetches.
const FETCH_WEIGHT: f64 = 1.0;

/// Fixed time of a fetch in addition to the transfer, in ms: one round trip between the engines and
/// the set-up.
const FETCH_START_MS: f64 = 5.0;

/// Factor by which a fetch from another failure domain takes longer.
const CROSS_DOMAIN_FETCH_FACTOR: f64 = 2.0;

/// Smallest number of shared tokens that is fetched; prefilling fewer takes about as long as a
/// fetch.
const LEAST_FETCH: f64 = 256.0;

/// Extra cost of an endpoint at a failure rate of one, in ms: a failed attempt costs the caller
/// about as much as a late answer.
const FAILURE_PENALTY_MS: f64 = 1_500.0;

/// Difference to the lowest failure rate among the endpoints up to which a failure rate costs
/// nothing. Up to one in seven requests fail regardless of the endpoint. Since all routers add up
/// the same reports, with a smaller tolerance all of them would send their work to the endpoint
/// with the fewest recent failures.
const FAILURE_TOLERANCE: f64 = 0.15;

/// Parameters of the engine model that predicts waiting times.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Prompt tokens that an engine prefills per ms while it also generates.
    pub tokens_per_ms: f64,
    /// Time for which a request is taken to occupy an engine slot, in ms. The router passes the
    /// mean time from the placement to the end of an answer, which includes a wait for a slot.
    pub hold_ms: f64,
}

/// Extra cost of a full batch in addition to its queue, in ms. Each token takes longer the more
/// requests run, so of two engines without a queue the emptier one is better.
const FULL_BATCH_MS: f64 = 2.0;

/// Input of a placement.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// The prompt, for model engines.
    pub prompt: Option<&'a PromptShape>,
    /// The engine's published shape.
    pub engine: Option<EngineShape>,
    /// Endpoints that were already tried.
    pub tried: &'a [EndpointKey],
    /// The router's own failure domain.
    pub domain: &'a SmolStr,
}

/// The endpoint selected for a request, and the times and the prefill work predicted there.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Predicted time to the first output, in ms; without a prompt only the wait for a slot.
    pub first_ms: f64,
    /// Predicted time to the first output if the engine were idle, in ms; only used with a prompt.
    /// Unlike `first_ms`, it does not include the endpoint's slowness.
    pub unqueued_ms: f64,
    /// Prompt tokens that the endpoint must prefill.
    pub uncached: f64,
    /// The subset of `uncached` in parts that other requests share.
    pub reread: f64,
    /// The engine from which missing shared parts are fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// Returns the endpoint's hash for a part; the largest comes first in the rendezvous order.
fn rank_of(row: &EndpointRow, part: PartId) -> u64 {
    xxh3_64_with_seed(&row.hash.to_le_bytes(), part.0)
}

/// The first endpoints in a part's rendezvous order, by rank.
struct HomeRanks {
    part: PartId,
    best: [u64; HOME_PROBABILITIES.len()],
}

impl HomeRanks {
    fn of(rows: &[&EndpointRow], part: PartId) -> Self {
        let mut best = [0; HOME_PROBABILITIES.len()];
        for row in rows {
            let mut rank = rank_of(row, part);
            for entry in &mut best {
                if rank > *entry {
                    std::mem::swap(entry, &mut rank);
                }
            }
        }
        Self { part, best }
    }

    /// Assumed probability that the endpoint has the part cached, from 0 to 1.
    fn probability(&self, row: &EndpointRow) -> f64 {
        let rank = rank_of(row, self.part);
        let place = self.best.iter().position(|best| *best == rank);
        place.map_or(0.0, |place| HOME_PROBABILITIES[place])
    }
}

/// Prompt tokens that an endpoint is expected to prefill, and those that it has cached.
#[derive(Debug, Clone, Copy, Default)]
struct PrefillWork {
    /// All tokens to prefill.
    tokens: f64,
    /// Tokens to prefill in shared parts.
    shared: f64,
    /// Tokens of shared parts that are expected to be cached.
    cached: f64,
}

/// Returns the prefill work of a prompt at one endpoint. A part is assumed to be cached there, with
/// all parts before it, if the endpoint is among the first in the part's rendezvous order or this
/// router sent it there within [`PART_CACHED_FOR`].
fn prefill_work(
    row: &EndpointRow,
    prompt: &PromptShape,
    homes: &[HomeRanks],
    now: Moment,
) -> PrefillWork {
    let mut shared = 0.0;
    let mut cached = 0.0_f64;
    for (part, home) in prompt.parts.iter().zip(homes) {
        shared += f64::from(part.tokens);
        let seen = row.parts.get(&part.id);
        let recent = seen.is_some_and(|at| now.since(*at) < PART_CACHED_FOR);
        let probability = if recent { 1.0 } else { home.probability(row) };
        cached = cached.max(shared * probability);
    }
    let total = f64::from(prompt.prompt_tokens).max(shared);
    PrefillWork {
        tokens: total - cached,
        shared: shared - cached,
        cached,
    }
}

/// The engine of a software version that is expected to cache most tokens of a prompt's shared parts.
///
/// Another engine can fetch a part from there in the time of the transfer, a seventh of the time to
/// prefill it, so that a request can go to the engine with the shortest queue wherever its parts
/// are cached.
#[derive(Debug, Clone, Copy)]
struct PartHolder<'a> {
    row: &'a EndpointRow,
    cached: f64,
    /// Time to transfer one token's cache entries to another engine, in ms.
    ms_per_token: f64,
}

impl<'a> PartHolder<'a> {
    /// Returns the holder among the engines of each software version.
    ///
    /// Guards against an engine that goes on from the memory of another version: what two versions
    /// write doesn't fit together, and engines don't check it.
    fn by_version(
        rows: &[(&'a EndpointRow, PrefillWork)],
        engine: Option<EngineShape>,
    ) -> BTreeMap<&'a SoftwareVersion, Self> {
        let mut holders: BTreeMap<&SoftwareVersion, Self> = BTreeMap::new();
        let Some(ms_per_token) = engine.and_then(|shape| shape.fetch_ms_per_token()) else {
            return holders;
        };
        for (row, PrefillWork { cached, .. }) in rows {
            let holder = Self {
                row,
                cached: *cached,
                ms_per_token,
            };
            let known = holders.entry(&row.entry.software).or_insert(holder);
            if holder.cached >= known.cached {
                *known = holder;
            }
        }
        holders.retain(|_, holder| holder.cached >= LEAST_FETCH);
        holders
    }

    /// Returns what an engine with this prefill work would fetch; `None` if a fetch is not worth
    /// it.
    fn fetch(&self, row: &EndpointRow, work: PrefillWork) -> Option<PartFetch> {
        let tokens = self.cached - work.cached;
        if tokens < LEAST_FETCH || row.entry.key == self.row.entry.key {
            return None;
        }
        let crosses_domain = row.entry.domain != self.row.entry.domain;
        let factor = if crosses_domain {
            CROSS_DOMAIN_FETCH_FACTOR
        } else {
            1.0
        };
        Some(PartFetch {
            from: self.row.entry.address,
            tokens,
            ms: FETCH_START_MS + tokens * self.ms_per_token * factor,
        })
    }
}

/// Fetch of shared parts from another engine, which replaces prefilling them.
#[derive(Debug, Clone, Copy)]
struct PartFetch {
    from: SocketAddr,
    tokens: f64,
    ms: f64,
}

/// Predicted time that a request waits for a slot, in ms.
fn slot_wait(row: &EndpointRow, slots: u32, hold_ms: f64) -> f64 {
    let active = row.total_active();
    if active < slots {
        return 0.0;
    }
    f64::from(active - slots + 1) * hold_ms / f64::from(slots.max(1))
}

fn predicted_ms(
    row: &EndpointRow,
    request: &PlacementRequest<'_>,
    model: &EngineModel,
    uncached: f64,
    now: Moment,
) -> f64 {
    let slots = request
        .engine
        .map_or(row.entry.slots, |engine| engine.slots);
    let waiting = slot_wait(row, slots, model.hold_ms);
    let Some(_) = request.prompt else {
        return waiting;
    };
    let prefill_ms = (row.total_pending() + uncached) / model.tokens_per_ms;
    IDLE_FIRST_TOKEN_MS + (waiting + prefill_ms) * row.health.slowness(now)
}

/// Selects the endpoint with the lowest cost: the predicted time to a first output plus penalties.
/// Returns `None` if no endpoint is left.
///
/// `rows` are the endpoints of the service, a few hundred at the design size.
#[must_use]
pub fn place(
    rows: &[&EndpointRow],
    request: &PlacementRequest<'_>,
    model: &EngineModel,
    now: Moment,
) -> Option<Placement> {
    let usable = usable_rows(rows, request.tried, now);
    let shared = request
        .prompt
        .map(PromptShape::shared_parts)
        .unwrap_or_default();
    let homes: Vec<HomeRanks> = shared
        .iter()
        .map(|part| HomeRanks::of(&usable, part.id))
        .collect();
    let lowest_failure_rate = usable
        .iter()
        .map(|row| row.health.failure_rate(now))
        .fold(1.0, f64::min);
    let work_of = |row: &EndpointRow| {
        let prompt = request.prompt;
        prompt.map(|prompt| prefill_work(row, prompt, &homes, now))
    };
    let candidates: Vec<(&EndpointRow, PrefillWork)> = usable
        .into_iter()
        .map(|row| (row, work_of(row).unwrap_or_default()))
        .collect();
    let holders = PartHolder::by_version(&candidates, request.engine);
    let mut best: Option<(f64, Placement)> = None;
    for (row, mut work) in candidates {
        let holder = holders.get(&row.entry.software);
        let fetch = holder.and_then(|holder| holder.fetch(row, work));
        let fetched = fetch.map_or(0.0, |fetch| fetch.tokens);
        let fetch_ms = fetch.map_or(0.0, |fetch| fetch.ms);
        work.tokens -= fetched;
        work.shared -= fetched;
        let first_ms = predicted_ms(row, request, model, work.tokens, now) + fetch_ms;
        let reread_ms = REREAD_WEIGHT * work.shared / model.tokens_per_ms;
        let penalty_ms =
            penalties(row, request, now, lowest_failure_rate) + FETCH_WEIGHT * fetch_ms;
        let cost = first_ms + reread_ms + penalty_ms;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let placement = Placement {
                endpoint: row.entry.key.clone(),
                first_ms,
                unqueued_ms: IDLE_FIRST_TOKEN_MS + fetch_ms + work.tokens / model.tokens_per_ms,
                uncached: work.tokens,
                reread: work.shared,
                fetch_from: fetch.map(|fetch| fetch.from),
            };
            best = Some((cost, placement));
        }
    }
    best.map(|(_, placement)| placement)
}

/// Returns the endpoints that may get the request. A pause that the endpoint itself asked for
/// always excludes it. A pause that this router set after a failed connection or a full endpoint,
/// and silence, are ignored if they affect all endpoints left. Otherwise requests would be refused
/// while the last endpoints are paused for a moment, or while all endpoints only seem silent.
fn usable_rows<'a>(
    rows: &[&'a EndpointRow],
    tried: &[EndpointKey],
    now: Moment,
) -> Vec<&'a EndpointRow> {
    let mut ready = rows.to_vec();
    ready.retain(|row| row.is_ready(now) && !tried.contains(&row.entry.key));
    let unpaused: Vec<_> = ready
        .iter()
        .copied()
        .filter(|row| now >= row.paused_until && !row.health.is_silent(now))
        .collect();
    if unpaused.is_empty() { ready } else { unpaused }
}

/// Penalties of an endpoint in addition to its time to a first output, in ms: another failure
/// domain, failures and a busy batch. `lowest_failure_rate` is the lowest one among the usable
/// endpoints.
fn penalties(
    row: &EndpointRow,
    request: &PlacementRequest<'_>,
    now: Moment,
    lowest_failure_rate: f64,
) -> f64 {
    let away = if row.entry.domain == *request.domain {
        0.0
    } else {
        DOMAIN_PENALTY_MS
    };
    let excess = row.health.failure_rate(now) - lowest_failure_rate - FAILURE_TOLERANCE;
    let failing = excess.max(0.0) * FAILURE_PENALTY_MS;
    let busy = f64::from(row.total_active()) / f64::from(row.entry.slots.max(1));
    away + failing + busy * FULL_BATCH_MS
}
