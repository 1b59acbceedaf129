//! Callers' traffic: streams, plain calls and unrepeatable calls, with counts of their outcomes.

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

/// Greatest number of sends of one call, through different routers.
const MAX_CALL_SENDS: usize = 20;
/// Delay before a failed call is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A minimal load balancer in front of the routers.
#[derive(Debug, Default)]
pub struct Balancer {
    routers: Mutex<Vec<SocketAddr>>,
    killed: Mutex<Vec<SocketAddr>>,
}

impl Balancer {
    /// Creates a balancer over these routers.
    pub fn new(routers: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            routers: Mutex::new(routers),
            killed: Mutex::default(),
        })
    }

    /// Stops sending new calls to a router.
    pub fn remove(&self, router: SocketAddr) {
        self.routers
            .lock()
            .unwrap()
            .retain(|other| *other != router);
    }

    /// Records that a router is killed, so that broken connections to it are expected.
    pub fn note_kill(&self, router: SocketAddr) {
        self.killed.lock().unwrap().push(router);
    }

    fn was_killed(&self, router: SocketAddr) -> bool {
        self.killed.lock().unwrap().contains(&router)
    }

    /// Picks a router at random. Earlier ones are picked more often, as teams are spread unevenly.
    fn pick(&self, random: &mut StdRng) -> SocketAddr {
        let routers = self.routers.lock().unwrap();
        let first = random.random_range(0..routers.len());
        let second = random.random_range(0..routers.len());
        routers[first.min(second)]
    }
}

/// Counts of the outcomes of one team's calls.
#[derive(Debug, Default)]
pub struct CallTally {
    /// Complete answers.
    pub answered: AtomicU64,
    /// Errors with the outcome `not-run`.
    pub refused: AtomicU64,
    /// Errors with the outcome `unknown`.
    pub unknown: AtomicU64,
    /// Connections that broke because their router was killed.
    pub killed: AtomicU64,
    /// Calls that got an error without a known outcome.
    pub lost: AtomicU64,
    /// Answers that were broken off, incomplete or did not match the request.
    pub cut: AtomicU64,
    /// Total time of all complete answers, in microseconds.
    pub micros: AtomicU64,
    /// Longest time of a complete answer, in microseconds.
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

/// The callers of one team.
#[derive(Clone)]
pub struct TeamCallers {
    /// Name of the team.
    pub team: String,
    /// Balancer that picks the router of each call.
    pub balancer: Arc<Balancer>,
    /// Outcomes of the calls.
    pub tally: Arc<CallTally>,
    /// Stops the callers.
    pub stop: CancellationToken,
}

impl TeamCallers {
    /// Creates the callers of a team.
    pub fn new(team: &str, balancer: &Arc<Balancer>, stop: &CancellationToken) -> Self {
        Self {
            team: team.to_owned(),
            balancer: Arc::clone(balancer),
            tally: Arc::default(),
            stop: stop.clone(),
        }
    }

    /// Keeps `width` streams of 10 to `tokens` tokens each open until stopped, then waits for the
    /// last one to end.
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

    /// Sends one streamed query of `tokens` tokens at a time, with `pause` between them, until
    /// stopped.
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

    /// Sends one unrepeatable call at a time, with `pause` between them, until stopped. Each is
    /// sent a second time with its ticket, like a caller that lost the first answer. Returns the
    /// ids.
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

    /// Sends a streamed call, with retries, until it is answered completely.
    async fn stream(&self, id: &str, tokens: u64, random: &mut StdRng) {
        let call = Call::completion(&key_of(&self.team), "luma", tokens, true)
            .header("standin-id", id)
            .header("standin-team", &self.team);
        for _ in 0..MAX_CALL_SENDS {
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
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn log_once(&self, id: &str, random: &mut StdRng) {
        let plain = Call::new(&key_of(&self.team), "POST", "/portal/log", "mix")
            .header("standin-id", id)
            .header("standin-team", &self.team);
        let mut call = plain.clone();
        let mut answers = 0;
        for _ in 0..MAX_CALL_SENDS {
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
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Counts a failed call; returns true if it must not be sent again.
    fn note_failure(&self, end: &CallEnd, router: SocketAddr) -> bool {
        let tally = &self.tally;
        match end {
            // Nothing was sent, so the call is retried and the balancer picks a router again.
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
