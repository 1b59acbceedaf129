//! Whether this router has more work than it can do.
//!
//! The load that this answers: a balancer spreads callers unevenly, and half of a fleet's traffic
//! may come to one small host. It runs out of descriptors or of processor time while the others
//! idle. The router then says that it is not ready, which sends new connections elsewhere, closes
//! connections after their answer, and refuses at once what it has no descriptors for: the
//! caller's retry reaches another router.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

use super::accept_queue::AcceptQueue;
use super::front::Traffic;
use super::link::LinkUse;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Descriptors that are neither a caller's nor an endpoint's: files, listeners, peers, the store.
const OTHER_DESCRIPTORS: usize = 300;

/// Part of the descriptors that idle connections to endpoints may hold, as a divisor.
pub const IDLE_DIVISOR: usize = 8;

/// Part of the descriptors in use at which the router asks for fewer callers, and at which it takes
/// them again, in percent. They lie apart so that readiness does not flap.
const ASK_PERCENT: usize = 75;
const TAKE_PERCENT: usize = 50;

/// Part of the descriptors in use beyond which calls are refused, in percent: the rest takes in the
/// connections that a balancer still sends for two seconds, so that each of them is answered.
const REFUSE_PERCENT: usize = 90;

/// Idle time after which a caller's connection is closed when descriptors are scarce. Callers that
/// are at work send again sooner.
const SCARCE_IDLE: Duration = Duration::from_millis(500);

/// Lateness beyond which calls of teams beyond their shares are refused without a look at
/// the endpoints, in ms. They are most of what makes a router lag, and each costs a placement.
const BEYOND_LAG_MS: f64 = 60.0;

/// Lateness beyond which all calls are refused, in ms. A caller that gives up on a router
/// that lags is seen to leave as late, and endpoints work on for nobody; a refusal sends it to
/// another router at once. A part of the half second in which such work has to end.
const ALL_LAG_MS: f64 = 150.0;

/// Most lateness that a standing queue counts for, in ms. It stands for seconds where connections
/// wait for a part of one, and a long mean would refuse callers after it has gone.
const MOST_STANDING_MS: f64 = 2.0 * ALL_LAG_MS;

/// Use of the link, in percent, beyond which what this router measures is its own delay: a queue
/// as long as a prompt's reading builds up on a link that is half full and gets its calls in clumps.
const DISTURBED_LINK_PERCENT: usize = 50;

/// Lateness of timers, in ms, beyond which it is: a fifth of the usual time to a first token.
const DISTURBED_LAG_MS: f64 = 20.0;

/// Weight of a new lateness of timers in the mean: a second of steady lateness shows.
const LAG_WEIGHT: f64 = 0.2;

/// Descriptors that connections hold.
///
/// Guards against a router that runs out of them: it accepts nothing any more, its callers wait in
/// the listener's queue until they give up, and what it reads from there later has no caller.
/// Calls alone don't tell: of thousands of open connections most may be idle.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DescriptorUse {
    /// Callers' connections.
    pub callers: usize,
    /// Connections to endpoints that a call uses.
    pub calls: usize,
    /// Idle connections to endpoints.
    pub idle: usize,
}

impl DescriptorUse {
    /// Part of what connections may hold, in percent.
    #[must_use]
    pub fn percent(&self, descriptors: usize) -> usize {
        let usable = descriptors.saturating_sub(OTHER_DESCRIPTORS).max(1);
        (self.callers + self.calls + self.idle) * 100 / usable
    }
}

/// Whether this router can take no further call now: it has no descriptors for it, or is too late.
#[must_use]
pub fn is_too_late<P>(traffic: &Traffic<P>, now: Instant) -> bool {
    is_full(traffic) || traffic.callers.lag(now) == LagLevel::TooLate
}

/// Whether there are no descriptors for another call.
fn is_full<P>(traffic: &Traffic<P>) -> bool {
    let descriptors = traffic.shared.config.descriptors;
    descriptor_use(traffic).percent(descriptors) > REFUSE_PERCENT
}

fn descriptor_use<P>(traffic: &Traffic<P>) -> DescriptorUse {
    DescriptorUse {
        callers: traffic.callers.count(),
        calls: traffic.shared.in_flight(),
        idle: traffic.pool.count(),
    }
}

/// Callers' open connections, on the traffic thread.
#[derive(Debug, Default)]
pub struct CallerTable {
    count: Cell<usize>,
    /// How late timers were at the last look, in ms.
    timers_late_ms: Cell<f64>,
    queue: Cell<AcceptQueue>,
    scarce: Notify,
}

impl CallerTable {
    /// Counts a connection until the guard is dropped.
    pub fn open(&self) -> CallerGuard<'_> {
        self.count.set(self.count.get() + 1);
        CallerGuard { table: self }
    }

    /// How late this router is.
    #[must_use]
    pub fn lag(&self, now: Instant) -> LagLevel {
        LagLevel::of(self.late_ms(now))
    }

    /// How late timers come, or connections are accepted, in ms: whichever is later.
    fn late_ms(&self, now: Instant) -> f64 {
        let standing_ms = self.queue.get().standing(now).as_secs_f64() * 1e3;
        self.timers_late_ms
            .get()
            .max(standing_ms.min(MOST_STANDING_MS))
    }

    /// A connection was accepted.
    pub fn queue_took(&self, now: Instant) {
        let mut queue = self.queue.get();
        queue.took(now);
        self.queue.set(queue);
    }

    /// No connection waited to be accepted.
    pub fn queue_emptied(&self) {
        self.queue.set(AcceptQueue::default());
    }

    /// Open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Resolves when a connection that has been idle since then is to be closed for want of
    /// descriptors.
    pub async fn idle_too_long(&self, since: Instant) {
        loop {
            self.scarce.notified().await;
            if since.elapsed() >= SCARCE_IDLE {
                return;
            }
        }
    }
}

/// An open connection of a caller.
#[derive(Debug)]
pub struct CallerGuard<'a> {
    table: &'a CallerTable,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        self.table.count.set(self.table.count.get() - 1);
    }
}

/// Looks at the load until the router ends.
pub async fn watch_load<P>(traffic: Rc<Traffic<P>>) {
    let shared = &traffic.shared;
    let mut link = LinkUse::default();
    let mut looked = Instant::now();
    let mut lag_ms = 0.0;
    loop {
        let due = Instant::now() + LOOK_PAUSE;
        sleep(LOOK_PAUSE).await;
        let late = Instant::now().saturating_duration_since(due).as_secs_f64() * 1e3;
        traffic.callers.timers_late_ms.set(late);
        let late = traffic.callers.late_ms(Instant::now());
        lag_ms += LAG_WEIGHT * (late - lag_ms);
        let was = shared.is_overloaded();
        let used = descriptor_use(&traffic);
        let passed = Instant::now().saturating_duration_since(looked);
        looked = Instant::now();
        link.look(shared.link.totals(), passed, shared.config.link_mbps);
        let is_late = lag_ms > DISTURBED_LAG_MS;
        let is_disturbed = is_late || link.percent() > DISTURBED_LINK_PERCENT;
        shared.core().set_disturbed(is_disturbed);
        let percent = used.percent(shared.config.descriptors);
        if percent > ASK_PERCENT {
            traffic.callers.scarce.notify_waiters();
        }
        let fullest = percent.max(link.percent());
        let is = is_overloaded(fullest, lag_ms, shared.config.overload_lag_ms, was);
        if is != was {
            let DescriptorUse { callers, calls, .. } = used;
            let (received, sent) = link.both();
            spdlog::warn!(
                "gateway: overloaded={is} descriptors_percent={percent} callers={callers} \
                 calls={calls} lag_ms={lag_ms:.0} link_in_percent={received} \
                 link_out_percent={sent}"
            );
            shared.set_overloaded(is);
        }
    }
}

/// How late a router is, and so what it refuses unlooked at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LagLevel {
    /// In time: it refuses nothing for it.
    #[default]
    InTime,
    /// It refuses teams beyond their shares.
    Late,
    /// It refuses everything.
    TooLate,
}

impl LagLevel {
    /// The level at this lateness.
    #[must_use]
    pub fn of(late_ms: f64) -> Self {
        if late_ms > ALL_LAG_MS {
            Self::TooLate
        } else if late_ms > BEYOND_LAG_MS {
            Self::Late
        } else {
            Self::InTime
        }
    }
}

/// Whether the router should have fewer callers. `most_lag_ms` is the lateness of timers at which
/// it should.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn is_overloaded(percent: usize, lag_ms: f64, most_lag_ms: u64, was: bool) -> bool {
    let bound = if was { TAKE_PERCENT } else { ASK_PERCENT };
    let lag = most_lag_ms as f64 * bound as f64 / 100.0;
    percent > bound || lag_ms > lag
}
