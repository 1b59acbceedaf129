//! Generates the calls of a run and their costs, the same for the fleet and the naive version.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use verbenaturn::units::KindName;
use verbenaturn::units::PoolId;
use verbenaturn::units::TeamId;

/// One call of the load plan.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Team that sends the call.
    pub team: TeamId,
    /// Request kind.
    pub kind: KindName,
    /// Pool that serves the call.
    pub pool: PoolId,
    /// Cost in service units.
    pub cost: u64,
    /// Duration in microseconds on an endpoint that runs no more than its limit.
    pub duration_us: u64,
    /// Microseconds until the caller's deadline.
    pub timeout_us: u64,
    /// True if the call may run at most once.
    pub unrepeatable: bool,
    /// True if the call crashes the endpoint that runs it.
    pub poison: bool,
}

/// Arrival process of a stream of calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallPace {
    /// Closed loop: the next call follows an answer at once, so the stream is always backlogged.
    Closed,
    /// Open loop: Poisson arrivals with this mean rate per second.
    Open(f64),
}

/// Calls of one kind by one team.
#[derive(Debug, Clone)]
pub struct CallStream {
    /// Team that sends the calls.
    pub team: TeamId,
    /// Request kind.
    pub kind: KindName,
    /// Pool that serves the calls.
    pub pool: PoolId,
    /// Least and greatest cost of a call, in service units.
    pub costs: (u64, u64),
    /// Service units per second of one call.
    pub rate: u64,
    /// Arrival process.
    pub pace: CallPace,
    /// Calls outstanding at once, for a closed stream.
    pub depth: u32,
    /// Router that gets the calls, as an index modulo the fleet size; `None` for a random one.
    pub router: Option<usize>,
    /// Start and end of the stream, in microseconds from the start of the run.
    pub span: (u64, u64),
    /// True if the calls may run at most once.
    pub unrepeatable: bool,
    /// True if the calls crash endpoints.
    pub poison: bool,
}

/// All streams, with the seed that costs, arrival times and routers are drawn from.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Streams of calls; a stream's index is part of its calls' numbers.
    pub streams: Vec<CallStream>,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Low bits of a call number that count the calls of a lane.
const LANE_SHIFT: u64 = 24;
/// Bits of a call number below the stream index: lane and count.
const STREAM_SHIFT: u64 = 40;

impl LoadPlan {
    fn call_rng(&self, call: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ call)
    }

    fn stream(&self, call: u64) -> &CallStream {
        &self.streams[usize::try_from(call >> STREAM_SHIFT).expect("stream index fits in usize")]
    }

    /// Returns the properties of a call; they depend only on the seed and the call number.
    pub fn spec(&self, call: u64) -> CallSpec {
        let stream = self.stream(call);
        let mut call_rng = self.call_rng(call);
        let cost = call_rng.random_range(stream.costs.0..=stream.costs.1);
        CallSpec {
            team: stream.team,
            kind: stream.kind.clone(),
            pool: stream.pool,
            cost,
            duration_us: (cost * 1_000_000 / stream.rate).max(1),
            timeout_us: 600_000_000,
            unrepeatable: stream.unrepeatable,
            poison: stream.poison,
        }
    }

    /// Returns the fingerprint that identifies resends. All crashing calls of a stream count as
    /// resends of one call.
    pub fn fingerprint(&self, call: u64) -> u64 {
        if self.stream(call).poison {
            return call >> STREAM_SHIFT << STREAM_SHIFT | 1;
        }
        call + 1
    }

    fn router(&self, call: u64, routers: usize) -> usize {
        let free = self.call_rng(!call).random_range(0..routers);
        self.stream(call)
            .router
            .map_or(free, |index| index % routers)
    }

    fn gap(&self, call: u64) -> u64 {
        match self.stream(call).pace {
            CallPace::Closed => 0,
            CallPace::Open(per_s) => {
                let draw: f64 = self.call_rng(call ^ 0xFF).random_range(1e-9..1.0);
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let gap = (-draw.ln() * 1e6 / per_s) as u64;
                gap
            }
        }
    }

    /// Returns the first call of each lane: time in microseconds, call number and router.
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

    /// For a closed stream, returns the call that follows an ended one: wait in microseconds, call
    /// number and router. The wait is 0 after a complete answer and 100 ms otherwise.
    pub fn next_call(&self, call: u64, whole: bool, routers: usize) -> Option<(u64, u64, usize)> {
        if self.stream(call).pace != CallPace::Closed {
            return None;
        }
        let next = call + 1;
        let wait = if whole { 0 } else { 100_000 };
        Some((wait, next, self.router(next, routers)))
    }

    /// For an open stream, returns the call that follows an arrival: wait in microseconds, call
    /// number and router.
    pub fn next_arrival(&self, call: u64, routers: usize) -> Option<(u64, u64, usize)> {
        if self.stream(call).pace == CallPace::Closed {
            return None;
        }
        let next = call + 1;
        Some((self.gap(next), next, self.router(next, routers)))
    }

    /// Returns true if the call's stream still sends calls at `now`.
    pub fn is_stream_active(&self, call: u64, now: u64) -> bool {
        self.stream(call).span.1 > now
    }
}
