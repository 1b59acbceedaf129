//! Who calls what, and what it costs: the same calls for the fleet and for the naive version.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::units::KindName;
use verbenaturn::units::PoolId;
use verbenaturn::units::TeamId;

/// One call as the load plan makes it.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Its team.
    pub team: TeamId,
    /// Its kind.
    pub kind: KindName,
    /// Its pool.
    pub pool: PoolId,
    /// Service units that it takes.
    pub cost: u64,
    /// Microseconds that it takes on an endpoint within its limit.
    pub duration_us: u64,
    /// Microseconds that its caller waits.
    pub patience_us: u64,
    /// True if it may run at most once.
    pub unrepeatable: bool,
    /// True if it crashes the endpoint that runs it.
    pub poison: bool,
}

/// When a stream of calls sends its next one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallPace {
    /// As soon as an answer came, so that the stream is always backlogged.
    Closed,
    /// At random, so many a second on average.
    Open(f64),
}

/// Calls of one kind by one team.
#[derive(Debug, Clone)]
pub struct CallStream {
    /// The team.
    pub team: TeamId,
    /// The kind.
    pub kind: KindName,
    /// The pool.
    pub pool: PoolId,
    /// Least and greatest cost.
    pub costs: (u64, u64),
    /// Service units a second of one call.
    pub rate: u64,
    /// Pace.
    pub pace: CallPace,
    /// Calls outstanding at once, for a closed stream.
    pub depth: u32,
    /// Routers that it uses: all, or only the one of this index modulo the fleet.
    pub router: Option<usize>,
    /// Microseconds from start and end between which it calls.
    pub span: (u64, u64),
    /// True if its calls may run at most once.
    pub unrepeatable: bool,
    /// True if its calls crash endpoints.
    pub poison: bool,
}

/// All streams, with the seed that their costs come from.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The streams.
    pub streams: Vec<CallStream>,
    /// The seed.
    pub seed: u64,
}

/// Bits of a call's number that count within its lane.
const LANE_SHIFT: u64 = 24;
/// Bits of a call's number below its stream's number.
const STREAM_SHIFT: u64 = 40;

impl LoadPlan {
    fn draws(&self, call: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ call)
    }

    fn stream(&self, call: u64) -> &CallStream {
        &self.streams[usize::try_from(call >> STREAM_SHIFT).expect("few streams")]
    }

    /// What a call is. Depends on the seed and the call's number only.
    pub fn spec(&self, call: u64) -> CallSpec {
        let stream = self.stream(call);
        let mut draws = self.draws(call);
        let cost = draws.random_range(stream.costs.0..=stream.costs.1);
        CallSpec {
            team: stream.team,
            kind: stream.kind.clone(),
            pool: stream.pool,
            cost,
            duration_us: (cost * 1_000_000 / stream.rate).max(1),
            patience_us: 600_000_000,
            unrepeatable: stream.unrepeatable,
            poison: stream.poison,
        }
    }

    /// What resends are recognised by: calls that crash endpoints are all resends of one.
    pub fn fingerprint(&self, call: u64) -> u64 {
        if self.stream(call).poison {
            return call >> STREAM_SHIFT << STREAM_SHIFT | 1;
        }
        call + 1
    }

    fn router(&self, call: u64, routers: usize) -> usize {
        let free = self.draws(!call).random_range(0..routers);
        self.stream(call)
            .router
            .map_or(free, |index| index % routers)
    }

    fn gap(&self, call: u64) -> u64 {
        match self.stream(call).pace {
            CallPace::Closed => 0,
            CallPace::Open(per_s) => {
                let draw: f64 = self.draws(call ^ 0xFF).random_range(1e-9..1.0);
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let gap = (-draw.ln() * 1e6 / per_s) as u64;
                gap
            }
        }
    }

    /// The first call of each lane: moment, call and router.
    pub fn first_calls(&self, routers: usize) -> Vec<(u64, u64, usize)> {
        let mut calls = Vec::new();
        for (place, stream) in self.streams.iter().enumerate() {
            for lane in 0..u64::from(stream.depth) {
                let call = (place as u64) << STREAM_SHIFT | lane << LANE_SHIFT;
                calls.push((
                    stream.span.0 + self.gap(call),
                    call,
                    self.router(call, routers),
                ));
            }
        }
        calls
    }

    /// For a closed stream, the call that follows an ended one: wait, call and router. A caller
    /// that was refused waits a little first.
    pub fn next_call(&self, call: u64, whole: bool, routers: usize) -> Option<(u64, u64, usize)> {
        if self.stream(call).pace != CallPace::Closed {
            return None;
        }
        let next = call + 1;
        let wait = if whole { 0 } else { 100_000 };
        Some((wait, next, self.router(next, routers)))
    }

    /// For an open stream, the call that follows an arrived one: wait, call and router.
    pub fn follower(&self, call: u64, routers: usize) -> Option<(u64, u64, usize)> {
        if self.stream(call).pace == CallPace::Closed {
            return None;
        }
        let next = call + 1;
        Some((self.gap(next), next, self.router(next, routers)))
    }

    /// True if the call's stream still calls at this moment.
    pub fn lasts(&self, call: u64, now: u64) -> bool {
        self.stream(call).span.1 > now
    }
}
