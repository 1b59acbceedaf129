//! Routers, engines and requests that crash engines, without a network.
// Each test file that includes this module uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;

use verbenaturn::gateway::decide::Admission;
use verbenaturn::gateway::decide::AdmissionRequest;
use verbenaturn::gateway::decide::AttemptEnd;
use verbenaturn::gateway::decide::AttemptTicket;
use verbenaturn::gateway::decide::GatewayCore;
use verbenaturn::gateway::decide::RefusalCause;
use verbenaturn::gateway::decide::answered::AnswerEnd;
use verbenaturn::gateway::decide::answered::AnswerEvidence;
use verbenaturn::gateway::decide::shares::ShareStanding;
use verbenaturn::gateway::protocol::PartId;
use verbenaturn::gateway::protocol::PartIds;
use verbenaturn::gateway::protocol::PromptPart;
use verbenaturn::gateway::protocol::PromptShape;
use verbenaturn::gateway::routes::EndpointEntry;
use verbenaturn::gateway::routes::EndpointKey;
use verbenaturn::gateway::routes::ProcessStartTime;
use verbenaturn::units::RequestFingerprint;

use super::engines::ask;
use super::engines::endpoints;
use super::engines::engine_service;
use super::engines::ms;
use super::engines::nadi;
use super::engines::prompt;
use super::engines::route;
use super::engines::router_with;
use super::engines::service;

/// Number of routers.
pub const ROUTERS: usize = 8;
/// Number of engines.
const ENGINES: usize = 18;

/// Pause between two messages of a router to the others, in ms.
pub const ROUND_MS: u64 = 100;

/// Time from the end of an engine to the end of its registration, in ms: three heartbeats of 1.2 s
/// and the delay of the list.
pub const LAPSE_MS: u64 = 3_900;

/// Engines that a request may crash before every router refuses it.
pub const CRASHES_ALLOWED: usize = 3;

/// Sorts behind all others, so that messages which list requests in order list it last.
pub const CRASHING: RequestFingerprint = RequestFingerprint(u64::MAX);

/// A successful answer whose end its framing tells.
pub const WHOLE: AnswerEvidence = AnswerEvidence {
    status: 200,
    end: AnswerEnd::Framed,
};

/// What the routers see of an engine that a request crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// The connection of another router is refused, soon after the loss.
    RefusedElsewhere,
    /// The connection of the router that lost the request is refused, soon after the loss.
    RefusedHere,
    /// Its registration lapses, and nothing else is seen.
    Lapses,
    /// It registers with a later start under its key, after the loss.
    StartsAgain,
    /// The same, but its new start is read before the router hears of its own loss.
    StartsAgainBeforeLoss,
    /// Another engine registers at its address, and its own registration lapses.
    AddressReused,
}

/// Something that happens to the fleet at a set time.
#[derive(Debug)]
pub enum FleetEvent {
    /// A router loses these requests at an engine.
    Lose(usize, Vec<AttemptTicket>),
    /// The caller of this attempt leaves.
    Abandon(usize, AttemptTicket),
    /// A router's connection for this attempt is refused.
    Refuse(usize, AttemptTicket),
    /// The list changes: an entry is removed and another one added.
    List(Option<EndpointKey>, Option<EndpointEntry>),
}

/// Routers that exchange messages each round, and the engines that they use.
pub struct RouterFleet {
    /// Time since the start, in ms.
    pub now: u64,
    /// The routers.
    pub routers: Vec<GatewayCore>,
    /// The endpoint list that all routers have.
    pub listed: BTreeMap<EndpointKey, EndpointEntry>,
    /// What is to happen, with its time in ms.
    pub events: Vec<(u64, FleetEvent)>,
    /// When engines' processes ended, by their hashes.
    pub ends: BTreeMap<u64, u64>,
    /// Routers below this one receive nothing from the others, nor the others from them.
    pub cut_below: usize,
    /// Shared parts of the prompts of requests that have several, or such that others have as well.
    /// A request that is not listed has one part that no other has.
    pub parts: BTreeMap<RequestFingerprint, Vec<u64>>,
    next_key: usize,
    next_fingerprint: u64,
}

impl RouterFleet {
    pub fn new() -> Self {
        let mut listed = endpoints("engine", ENGINES);
        for (index, entry) in listed.values_mut().enumerate() {
            entry.address.set_port(u16::try_from(index + 1).unwrap());
        }
        Self {
            now: 0,
            routers: (0..ROUTERS).map(|_| router_with(&listed)).collect(),
            listed,
            events: Vec::new(),
            ends: BTreeMap::new(),
            cut_below: 0,
            parts: BTreeMap::new(),
            next_key: 0,
            next_fingerprint: 1_000,
        }
    }

    /// Lets time pass: events happen when they are due, and routers exchange messages each round.
    pub fn run_until(&mut self, until: u64) {
        while self.now < until {
            let next_round = (self.now / ROUND_MS + 1) * ROUND_MS;
            let next_event = self.events.iter().map(|(at, _)| *at).min();
            let due = next_event.unwrap_or(u64::MAX).max(self.now);
            if due <= next_round.min(until) {
                self.now = due;
                let index = self.events.iter().position(|(at, _)| *at <= due);
                let (_, event) = self.events.remove(index.unwrap());
                self.happen(event);
            } else {
                self.now = next_round.min(until);
                if self.now == next_round {
                    self.exchange();
                }
            }
        }
    }

    fn happen(&mut self, event: FleetEvent) {
        let now = ms(self.now);
        match event {
            FleetEvent::Lose(router, lost) => {
                for ticket in lost {
                    self.routers[router].ended(now, ticket, AttemptEnd::Lost);
                }
            }
            FleetEvent::Abandon(router, ticket) => {
                self.routers[router].ended(now, ticket, AttemptEnd::Abandoned);
            }
            FleetEvent::Refuse(router, ticket) => {
                self.routers[router].ended(now, ticket, AttemptEnd::Gone);
            }
            FleetEvent::List(removed, added) => {
                if let Some(key) = removed {
                    self.listed.remove(&key);
                }
                if let Some(entry) = added {
                    self.listed.insert(entry.key.clone(), entry);
                }
                for core in &mut self.routers {
                    core.set_endpoints(now, &self.listed);
                }
            }
        }
    }

    /// Each router sends its report to all others.
    fn exchange(&mut self) {
        let now = ms(self.now);
        let reports: Vec<_> = self
            .routers
            .iter_mut()
            .map(|core| core.quarantine.report(now))
            .collect();
        for (from, report) in reports.iter().enumerate() {
            for (to, core) in self.routers.iter_mut().enumerate() {
                let is_cut = (from < self.cut_below) != (to < self.cut_below);
                if from != to && !is_cut {
                    core.quarantine.apply_report(now, report.clone());
                }
            }
        }
    }

    /// Returns the prompt of a request.
    fn prompt(&self, fingerprint: RequestFingerprint) -> PromptShape {
        let own = vec![fingerprint.0];
        let shared = self.parts.get(&fingerprint).unwrap_or(&own);
        let mut prompt = prompt(0, 100, 10);
        let last = prompt.parts.pop();
        prompt.parts = shared
            .iter()
            .map(|part| PromptPart {
                id: PartId(*part),
                tokens: 100,
            })
            .chain(last)
            .collect();
        prompt
    }

    /// A request with these shared parts that is like no other.
    pub fn fresh_with(&mut self, parts: &[u64]) -> RequestFingerprint {
        let fingerprint = self.fresh();
        self.parts.insert(fingerprint, parts.to_vec());
        fingerprint
    }

    /// A fingerprint that no other request has.
    pub fn fresh(&mut self) -> RequestFingerprint {
        self.next_fingerprint += 1;
        RequestFingerprint(self.next_fingerprint)
    }

    fn admit(
        &mut self,
        router: usize,
        fingerprint: RequestFingerprint,
        tried: &[EndpointKey],
    ) -> Admission {
        let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
        let prompt = self.prompt(fingerprint);
        let call = AdmissionRequest {
            fingerprint,
            tried,
            ..ask(&route, &service, &shape, &team, &prompt)
        };
        let core = &mut self.routers[router];
        let standing = core.arrived(ms(self.now), &call);
        core.admit(ms(self.now), &call, standing)
    }

    /// Runs a request that is answered whole, and returns whether it was within its team's share.
    pub fn answer_within_share(&mut self, router: usize, fingerprint: RequestFingerprint) -> bool {
        let (route, service, shape, team) = (route("r", 800), service(), engine_service(), nadi());
        let prompt = self.prompt(fingerprint);
        let call = AdmissionRequest {
            fingerprint,
            ..ask(&route, &service, &shape, &team, &prompt)
        };
        let now = ms(self.now);
        let core = &mut self.routers[router];
        let standing = core.arrived(now, &call);
        if let Admission::Send(ticket) = core.admit(now, &call, standing) {
            self.answered(router, ticket, fingerprint);
        }
        standing == ShareStanding::Within
    }

    /// Sends a request through a router; `None` if it is refused as one that crashes endpoints.
    /// Where a process has ended, the connection is refused and the next engine is tried.
    pub fn send(
        &mut self,
        router: usize,
        fingerprint: RequestFingerprint,
    ) -> Option<AttemptTicket> {
        let mut tried = Vec::new();
        loop {
            match self.admit(router, fingerprint, &tried) {
                Admission::Send(ticket) if self.has_ended(&ticket.entry) => {
                    tried.push(ticket.entry.key.clone());
                    self.routers[router].ended(ms(self.now), ticket, AttemptEnd::Gone);
                }
                Admission::Send(ticket) => return Some(ticket),
                Admission::Refuse {
                    cause: RefusalCause::Quarantined | RefusalCause::PartQuarantined,
                    ..
                } => return None,
                refusal @ Admission::Refuse { .. } => panic!("{refusal:?}"),
            }
        }
    }

    fn has_ended(&self, engine: &EndpointEntry) -> bool {
        let ended_at = self.ends.get(&engine.life().hash());
        ended_at.is_some_and(|at| *at <= self.now)
    }

    /// Sends a request through a router to this engine; `None` if the router does not use it.
    pub fn send_to(
        &mut self,
        router: usize,
        engine: &EndpointKey,
        fingerprint: RequestFingerprint,
    ) -> Option<AttemptTicket> {
        let others = self.listed.keys().filter(|key| *key != engine);
        let others: Vec<_> = others.cloned().collect();
        match self.admit(router, fingerprint, &others) {
            Admission::Send(ticket) if ticket.entry.key == *engine => Some(ticket),
            Admission::Send(_) | Admission::Refuse { .. } => None,
        }
    }

    /// Runs a request that is answered whole.
    pub fn answer(&mut self, router: usize, fingerprint: RequestFingerprint) -> bool {
        let Some(ticket) = self.send(router, fingerprint) else {
            return false;
        };
        self.answered(router, ticket, fingerprint);
        true
    }

    pub fn answered(
        &mut self,
        router: usize,
        ticket: AttemptTicket,
        fingerprint: RequestFingerprint,
    ) {
        let now = ms(self.now);
        let parts = PartIds::of(Some(&self.prompt(fingerprint)));
        let core = &mut self.routers[router];
        core.ended(now, ticket, AttemptEnd::Answered);
        core.quarantine
            .record_answer(now, fingerprint, &parts, WHOLE);
    }

    /// An engine to take the place of one that ended, under a new key.
    pub fn successor(&mut self, of: &EndpointEntry) -> EndpointEntry {
        self.next_key += 1;
        EndpointEntry {
            key: EndpointKey(format!("engine-next-{}", self.next_key).into()),
            ..of.clone()
        }
    }

    /// The engine of an attempt crashes 50 ms from now. The requests in `beside` run there as well
    /// and are lost with it, by the routers that sent them.
    pub fn crash(
        &mut self,
        router: usize,
        ticket: AttemptTicket,
        sign: CrashSign,
        beside: Vec<(usize, AttemptTicket)>,
    ) {
        let engine = ticket.entry.clone();
        let (ended, key) = (self.now + 50, engine.key.clone());
        self.ends.insert(engine.life().hash(), ended);
        let heard = match sign {
            CrashSign::StartsAgainBeforeLoss => ended + 1_010,
            _ => ended,
        };
        let mut lost: BTreeMap<usize, Vec<_>> = BTreeMap::new();
        lost.entry(router).or_default().push(ticket);
        for (other, ticket) in beside {
            lost.entry(other).or_default().push(ticket);
        }
        for (other, lost) in lost {
            self.events.push((heard, FleetEvent::Lose(other, lost)));
        }
        let next = self.successor(&engine);
        let reborn = EndpointEntry {
            born: ProcessStartTime(engine.born.0 + ended),
            ..engine.clone()
        };
        let connecting = match sign {
            CrashSign::RefusedElsewhere => (router + 3) % ROUTERS,
            _ => router,
        };
        let fingerprint = self.fresh();
        let connection = self.send_to(connecting, &key, fingerprint);
        let events = match sign {
            CrashSign::RefusedElsewhere | CrashSign::RefusedHere => vec![
                (
                    ended + 50,
                    FleetEvent::Refuse(connecting, connection.unwrap()),
                ),
                (ended + LAPSE_MS, FleetEvent::List(Some(key), Some(next))),
            ],
            CrashSign::Lapses => vec![(ended + LAPSE_MS, FleetEvent::List(Some(key), Some(next)))],
            CrashSign::StartsAgain | CrashSign::StartsAgainBeforeLoss => {
                vec![(ended + 1_000, FleetEvent::List(None, Some(reborn)))]
            }
            CrashSign::AddressReused => vec![
                (ended + 1_000, FleetEvent::List(None, Some(next))),
                (ended + LAPSE_MS, FleetEvent::List(Some(key), None)),
            ],
        };
        self.events.extend(events);
    }

    /// Sends the crashing request through each router in turn, `pause_ms` apart, and returns when
    /// engines ended.
    pub fn crash_one_by_one(&mut self, sign: CrashSign, sends: usize, pause_ms: u64) -> Vec<u64> {
        let mut ends = Vec::new();
        for turn in 0..sends {
            let at = 1_000 + turn as u64 * pause_ms;
            self.run_until(at);
            let router = turn % ROUTERS;
            if let Some(ticket) = self.send(router, CRASHING) {
                ends.push(at + 50);
                self.crash(router, ticket, sign, Vec::new());
            }
        }
        ends
    }
}
