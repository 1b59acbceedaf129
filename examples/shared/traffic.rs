//! Callers' traffic: streams, plain calls and unrepeatable calls, and what became of each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

use super::caller::Call;
use super::caller::CallEnd;
use super::caller::expected_text;
use super::caller::streamed_text;
use super::site::key_of;

/// Sends of one call through different routers at most.
const MOST_SENDS: usize = 20;
/// Rest before a refused call is sent again.
const REST: Duration = Duration::from_millis(100);

/// The source's balancer before the routers, as simple as can be.
#[derive(Debug, Default)]
pub struct Balancer {
    routers: Mutex<Vec<SocketAddr>>,
    killed: Mutex<Vec<SocketAddr>>,
}

impl Balancer {
    /// Balances over these routers.
    pub fn new(routers: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            routers: Mutex::new(routers),
            killed: Mutex::default(),
        })
    }

    /// Sends no more new calls to a router.
    pub fn remove(&self, router: SocketAddr) {
        self.routers
            .lock()
            .unwrap()
            .retain(|other| *other != router);
    }

    /// Notes that a router is killed: calls through it may break.
    pub fn note_kill(&self, router: SocketAddr) {
        self.killed.lock().unwrap().push(router);
    }

    fn was_killed(&self, router: SocketAddr) -> bool {
        self.killed.lock().unwrap().contains(&router)
    }

    /// One of the routers; the first ones are picked more often, as tenants are spread unevenly.
    fn pick(&self, random: &mut StdRng) -> SocketAddr {
        let routers = self.routers.lock().unwrap();
        let first = random.random_range(0..routers.len());
        let second = random.random_range(0..routers.len());
        routers[first.min(second)]
    }
}

/// What became of the calls of one team.
#[derive(Debug, Default)]
pub struct CallTally {
    /// Whole answers.
    pub answered: AtomicU64,
    /// Refusals with "not run".
    pub refused: AtomicU64,
    /// Errors with "unknown".
    pub unknown: AtomicU64,
    /// Connections that broke with a router that was killed.
    pub killed: AtomicU64,
    /// Calls that got no answer and no error, or an error without an outcome.
    pub lost: AtomicU64,
    /// Answers that broke off, or were not whole, or were not the caller's own.
    pub cut: AtomicU64,
    /// Microseconds of all whole answers together.
    pub micros: AtomicU64,
    /// Longest time of a whole answer, in microseconds.
    pub longest: AtomicU64,
}

impl CallTally {
    fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn note_whole(&self, began: Instant) {
        let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
        Self::add(&self.answered);
        self.micros.fetch_add(micros, Ordering::Relaxed);
        self.longest.fetch_max(micros, Ordering::Relaxed);
    }
}

/// One team's callers.
#[derive(Clone)]
pub struct TeamCallers {
    /// The team.
    pub team: String,
    /// Where its calls go.
    pub balancer: Arc<Balancer>,
    /// What became of them.
    pub tally: Arc<CallTally>,
    /// Ends them.
    pub stop: CancellationToken,
}

impl TeamCallers {
    /// The callers of a team.
    pub fn new(team: &str, balancer: &Arc<Balancer>, stop: &CancellationToken) -> Self {
        Self {
            team: team.to_owned(),
            balancer: Arc::clone(balancer),
            tally: Arc::default(),
            stop: stop.clone(),
        }
    }

    /// Keeps `width` streams going, of 10 to `tokens` tokens each, until stopped; waits for the
    /// last to end.
    pub async fn flood(self, width: u64, tokens: u64) {
        let mut workers = Vec::new();
        for worker in 0..width {
            let callers = self.clone();
            workers.push(tokio::spawn(async move {
                let mut random = StdRng::seed_from_u64(worker);
                let mut number = 0;
                while !callers.stop.is_cancelled() {
                    number += 1;
                    let id = format!("{}-{worker}-{number}", callers.team);
                    let length = random.random_range(10..=tokens);
                    callers.stream(&id, length, &mut random).await;
                }
            }));
        }
        for worker in workers {
            let _ = worker.await;
        }
    }

    /// One streamed query of so many tokens each `pause`, until stopped.
    pub async fn ask(self, pause: Duration, tokens: u64) {
        let mut random = StdRng::seed_from_u64(99);
        let mut number = 0;
        while !self.stop.is_cancelled() {
            number += 1;
            let id = format!("{}-query-{number}", self.team);
            self.stream(&id, tokens, &mut random).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// One unrepeatable call each `pause`, until stopped; each is sent a second time with its
    /// ticket, as by a caller who lost the first answer. Returns the ids used.
    pub async fn log(self, pause: Duration) -> Vec<String> {
        let mut random = StdRng::seed_from_u64(7);
        let mut ids = Vec::new();
        while !self.stop.is_cancelled() {
            let id = format!("{}-log-{}", self.team, ids.len());
            self.log_once(&id, &mut random).await;
            ids.push(id);
            tokio::time::sleep(pause).await;
        }
        ids
    }

    /// Sends a stream until it is answered whole.
    async fn stream(&self, id: &str, tokens: u64, random: &mut StdRng) {
        let call = Call::completion(&key_of(&self.team), "luma", tokens, true)
            .header("standin-id", id)
            .header("standin-team", &self.team);
        for _ in 0..MOST_SENDS {
            let router = self.balancer.pick(random);
            let began = Instant::now();
            let end = call.send(router).await;
            let text = streamed_text(&end.text());
            match (end.status(), text) {
                (Some(StatusCode::OK), Some(text)) if text == expected_text(tokens) => {
                    self.tally.note_whole(began);
                    return;
                }
                (Some(StatusCode::OK), _) => return CallTally::add(&self.tally.cut),
                _ => {}
            }
            if self.note_failure(&end, router) {
                return;
            }
            tokio::time::sleep(REST).await;
        }
    }

    async fn log_once(&self, id: &str, random: &mut StdRng) {
        let plain = Call::new(&key_of(&self.team), "POST", "/portal/log", "mix")
            .header("standin-id", id)
            .header("standin-team", &self.team);
        let mut call = plain.clone();
        let mut answers = 0;
        for _ in 0..MOST_SENDS {
            let router = self.balancer.pick(random);
            let began = Instant::now();
            let end = call.send(router).await;
            if !end.ticket().is_empty() {
                call = plain.clone().header("verbenaturn-ticket", end.ticket());
                continue;
            }
            if end.status() == Some(StatusCode::OK) {
                self.tally.note_whole(began);
                answers += 1;
                if answers == 2 {
                    return;
                }
                continue;
            }
            if self.note_failure(&end, router) || end.outcome() == "unknown" {
                return;
            }
            tokio::time::sleep(REST).await;
        }
    }

    /// Counts a call that was not answered; true if it is not to be sent again.
    fn note_failure(&self, end: &CallEnd, router: SocketAddr) -> bool {
        let tally = &self.tally;
        match end {
            // Nothing was sent: the balancer takes another router.
            CallEnd::Unreachable => {}
            CallEnd::Broken if self.balancer.was_killed(router) => CallTally::add(&tally.killed),
            CallEnd::Broken => {
                CallTally::add(&tally.cut);
                return true;
            }
            CallEnd::Answered { outcome, .. } => match outcome.as_str() {
                "not-run" => CallTally::add(&tally.refused),
                "unknown" => CallTally::add(&tally.unknown),
                _ => {
                    CallTally::add(&tally.lost);
                    return true;
                }
            },
        }
        false
    }
}
