//! Detects overload of this router and sheds load.
//!
//! Load pattern: a balancer spreads callers unevenly, and half of a fleet's traffic may come to one
//! small host, which runs out of descriptors or processor time while the other hosts idle. The
//! router then reports that it is not ready, so that new connections go elsewhere, closes
//! connections after their answer, and refuses calls at once for which it has no descriptors: the
//! caller's retry reaches another router.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

use super::accept_queue::AcceptQueue;
use super::front::TrafficState;
use super::link::LinkUse;

/// Interval between two load checks.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Descriptors reserved for files, listeners, peers and the store, out of the process's limit.
const OTHER_DESCRIPTORS: usize = 300;

/// Divisor of the descriptor limit that gives the most idle connections in the pool: one for every
/// eight descriptors.
pub const IDLE_DIVISOR: usize = 8;

/// Use above which the router is overloaded, in percent of the descriptors, of the link's speed or
/// of `overload_lag_ms`.
const OVERLOAD_ENTER_PERCENT: usize = 75;

/// Use at or below which the router is no longer overloaded, in percent. The gap between the two
/// bounds keeps readiness from flapping.
const OVERLOAD_LEAVE_PERCENT: usize = 50;

/// Use of descriptors above which calls are refused, in percent. The rest is for connections that a
/// balancer still sends for two seconds, so that each of them gets a reply.
const REFUSE_PERCENT: usize = 90;

/// Idle time after which a caller's connection is closed when descriptors are scarce. Active
/// callers send their next request sooner.
const SCARCE_IDLE: Duration = Duration::from_millis(500);

/// Momentary lag above which calls of teams over their share are refused without placing them, in
/// ms. These calls cause most of a router's lag, and each placement costs processor time.
const OVER_SHARE_LAG_MS: f64 = 60.0;

/// Momentary lag above which all calls are refused, in ms. A lagging router also notices late that
/// a caller has left, and endpoints keep working in vain; a refusal sends the caller to another
/// router at once. An endpoint's work for a caller that has left has to end within half a second;
/// the lag may use up only a fraction of that.
const REFUSE_ALL_LAG_MS: f64 = 150.0;

/// Cap on the lag counted for a standing accept queue (one that is never empty), in ms. The queue
/// may stay non-empty for seconds while each connection waits for only a fraction of one, and an
/// uncapped value would stay in the moving average and refuse callers after the queue has drained.
const MAX_STANDING_MS: f64 = 2.0 * REFUSE_ALL_LAG_MS;

/// Use of the link above which this router's measurements of endpoints are distorted by its own
/// delay, in percent. If calls arrive in bursts, a link that is half full on average already delays
/// packets by as much time as the prefill of a prompt takes.
const DISTURBED_LINK_PERCENT: usize = 50;

/// Lag above which this router's measurements of endpoints are distorted by its own delay, in ms: a
/// fifth of the usual time to a first token.
const DISTURBED_LAG_MS: f64 = 20.0;

/// Weight of a new lag sample in the moving average: a steady lag shows within a second.
const LAG_SAMPLE_WEIGHT: f64 = 0.2;

/// Descriptors held by connections.
///
/// Guards against a router that runs out of descriptors: it accepts no more connections, callers
/// wait in the accept queue until they time out, and requests read later have no caller any more.
/// The number of calls is not enough to detect this, since most of thousands of open connections
/// may be idle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DescriptorUse {
    /// Open connections of callers.
    pub callers: usize,
    /// Connections to endpoints in use by calls.
    pub calls: usize,
    /// Idle connections to endpoints.
    pub idle: usize,
}

impl DescriptorUse {
    /// Share in use of the descriptors that are available for connections, in percent.
    #[must_use]
    pub fn percent(&self, descriptors: usize) -> usize {
        let usable = descriptors.saturating_sub(OTHER_DESCRIPTORS).max(1);
        (self.callers + self.calls + self.idle) * 100 / usable
    }
}

/// Returns whether all calls must be refused now: descriptors are used up or the lag is too high.
#[must_use]
pub fn must_refuse_all<P>(traffic: &TrafficState<P>, now: Instant) -> bool {
    is_full(traffic) || traffic.callers.lag(now) == LagLevel::TooLate
}

/// Returns whether too few descriptors are left for another call.
fn is_full<P>(traffic: &TrafficState<P>) -> bool {
    let descriptors = traffic.shared.config.descriptors;
    descriptor_use(traffic).percent(descriptors) > REFUSE_PERCENT
}

/// Counts the descriptors in use.
fn descriptor_use<P>(traffic: &TrafficState<P>) -> DescriptorUse {
    DescriptorUse {
        callers: traffic.callers.count(),
        calls: traffic.shared.in_flight(),
        idle: traffic.pool.count(),
    }
}

/// Load that callers put on the router: their open connections, and the momentary lag of the
/// traffic thread.
#[derive(Debug, Default)]
pub struct CallerLoad {
    count: Rc<Cell<usize>>,
    /// Delay of the timer at the last load check, in ms.
    timer_delay_ms: Cell<f64>,
    queue: Cell<AcceptQueue>,
    scarce: Notify,
}

impl CallerLoad {
    /// Counts a connection until the guard is dropped.
    pub fn open(&self) -> CallerGuard {
        self.count.set(self.count.get() + 1);
        CallerGuard {
            count: Rc::clone(&self.count),
        }
    }

    /// The router's current lag level.
    #[must_use]
    pub fn lag(&self, now: Instant) -> LagLevel {
        LagLevel::of(self.momentary_lag_ms(now))
    }

    /// The router's momentary lag, in ms: the delay of timers or of accepting connections,
    /// whichever is larger. Refusals go by this value; overload goes by its moving average.
    fn momentary_lag_ms(&self, now: Instant) -> f64 {
        let standing_ms = self.queue.get().non_empty_for(now).as_secs_f64() * 1e3;
        self.timer_delay_ms
            .get()
            .max(standing_ms.min(MAX_STANDING_MS))
    }

    /// Records an accepted connection.
    pub fn record_accepted_connection(&self, now: Instant) {
        let mut queue = self.queue.get();
        queue.record_accept(now);
        self.queue.set(queue);
    }

    /// Records that the accept queue is empty.
    pub fn record_empty_queue(&self) {
        self.queue.set(AcceptQueue::default());
    }

    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Resolves when a connection that has been idle since `since` is to be closed because
    /// descriptors are scarce.
    pub async fn idle_too_long(&self, since: Instant) {
        loop {
            self.scarce.notified().await;
            if since.elapsed() >= SCARCE_IDLE {
                return;
            }
        }
    }
}

/// Counts an open connection of a caller until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    count: Rc<Cell<usize>>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// Checks the load at regular intervals until the router stops.
pub async fn watch_load<P>(traffic: Rc<TrafficState<P>>) {
    let shared = &traffic.shared;
    let mut link = LinkUse::default();
    let mut last_check = Instant::now();
    let mut lag_ms = 0.0;
    loop {
        let due = Instant::now() + LOAD_CHECK_INTERVAL;
        sleep(LOAD_CHECK_INTERVAL).await;
        let late = Instant::now().saturating_duration_since(due).as_secs_f64() * 1e3;
        traffic.callers.timer_delay_ms.set(late);
        let late = traffic.callers.momentary_lag_ms(Instant::now());
        lag_ms += LAG_SAMPLE_WEIGHT * (late - lag_ms);
        let was_overloaded = shared.is_overloaded();
        let used = descriptor_use(&traffic);
        let passed = Instant::now().saturating_duration_since(last_check);
        last_check = Instant::now();
        link.add_sample(shared.link.totals(), passed, shared.config.link_mbps);
        let is_late = lag_ms > DISTURBED_LAG_MS;
        let is_disturbed = is_late || link.percent() > DISTURBED_LINK_PERCENT;
        shared.core().set_disturbed(is_disturbed);
        let percent = used.percent(shared.config.descriptors);
        if percent > OVERLOAD_ENTER_PERCENT {
            traffic.callers.scarce.notify_waiters();
        }
        let fullest = percent.max(link.percent());
        let is = is_overloaded(
            fullest,
            lag_ms,
            shared.config.overload_lag_ms,
            was_overloaded,
        );
        if is != was_overloaded {
            let DescriptorUse { callers, calls, .. } = used;
            let (received, sent) = link.percent_by_direction();
            spdlog::warn!(
                "gateway: overloaded={is} descriptors_percent={percent} callers={callers} \
                 calls={calls} lag_ms={lag_ms:.0} link_in_percent={received} \
                 link_out_percent={sent}"
            );
            shared.set_overloaded(is);
        }
    }
}

/// Level of a router's lag, which decides what it refuses without placing it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LagLevel {
    /// Nothing is refused.
    #[default]
    InTime,
    /// Calls of teams over their share are refused.
    Late,
    /// All calls are refused.
    TooLate,
}

impl LagLevel {
    /// The level for a lag of `momentary_lag_ms`.
    #[must_use]
    pub fn of(momentary_lag_ms: f64) -> Self {
        if momentary_lag_ms > REFUSE_ALL_LAG_MS {
            Self::TooLate
        } else if momentary_lag_ms > OVER_SHARE_LAG_MS {
            Self::Late
        } else {
            Self::InTime
        }
    }
}

/// Returns whether the router is overloaded and should get fewer callers. `percent` is the use of
/// descriptors or of the link, `lag_ms` the moving average of the lag, and `max_lag_ms` the lag
/// that counts as 100 percent.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn is_overloaded(percent: usize, lag_ms: f64, max_lag_ms: u64, was_overloaded: bool) -> bool {
    let bound = if was_overloaded {
        OVERLOAD_LEAVE_PERCENT
    } else {
        OVERLOAD_ENTER_PERCENT
    };
    let lag = max_lag_ms as f64 * bound as f64 / 100.0;
    percent > bound || lag_ms > lag
}
