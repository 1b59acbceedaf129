//! Slots of a pool while control messages are lost, duplicated and reordered.

mod cores;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use verbenaturn::configs::CoreConfig;
use verbenaturn::core::RouterCore;
use verbenaturn::core::RouterIdentity;
use verbenaturn::core::action::CoreAction;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::event::ListedRouter;
use verbenaturn::units::HostName;
use verbenaturn::units::Moment;
use verbenaturn::units::RouterIncarnation;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;

use self::cores::catalog;
use self::cores::ended;
use self::cores::facts;
use self::cores::host;

const ROUTERS: usize = 3;
/// Slots of the only endpoint.
const SLOTS: u32 = 6;
/// Microseconds between two steps.
const STEP_US: u64 = 5_000;

/// What happens to the next message about slots.
#[derive(Debug, Clone, Copy)]
enum MessageFate {
    Deliver,
    Lose,
    Double,
    Delay,
}

/// Cores whose messages about slots get the generated fates; all other messages arrive at once.
struct SlotRig {
    cores: Vec<RouterCore>,
    now: u64,
    fates: VecDeque<MessageFate>,
    delayed: VecDeque<(usize, usize, PeerMessage)>,
    running: BTreeMap<u64, (usize, u32)>,
}

impl SlotRig {
    fn new(fates: Vec<MessageFate>) -> Self {
        let mut rig = Self {
            cores: (0..ROUTERS).map(new_core).collect(),
            now: 1_000_000,
            fates: VecDeque::new(),
            delayed: VecDeque::new(),
            running: BTreeMap::new(),
        };
        for router in 0..ROUTERS {
            rig.introduce(router);
        }
        // Before faults begin, all views agree and the owner has waited for `settle_ms`.
        for _ in 0..200 {
            rig.step();
        }
        rig.fates = fates.into();
        rig
    }

    fn introduce(&mut self, router: usize) {
        let routers = (0..ROUTERS)
            .map(|other| ListedRouter {
                host: host(other),
                address: "127.0.0.1:9".into(),
                domain: "domain-0".parse().unwrap(),
                leaving: false,
            })
            .collect();
        let leaving = Vec::new();
        self.handle_event(router, CoreEvent::HostsListed { routers, leaving });
        for other in (0..ROUTERS).filter(|other| *other != router) {
            let incarnation = incarnation_of(other);
            let opened = CoreEvent::PeerOpened {
                host: host(other),
                incarnation,
            };
            self.handle_event(router, opened);
        }
        let catalog = Arc::new(catalog(1, SLOTS));
        let text = Bytes::new();
        self.handle_event(router, CoreEvent::Published { catalog, text });
    }

    fn handle_event(&mut self, router: usize, event: CoreEvent) {
        let mut queue = VecDeque::from([(router, event)]);
        while let Some((router, event)) = queue.pop_front() {
            for action in self.cores[router].handle(Moment(self.now), event) {
                match action {
                    CoreAction::Send { host, message } => {
                        queue.extend(self.carry(router, &host, message));
                    }
                    CoreAction::Dispatch {
                        request, attempt, ..
                    } => {
                        self.running.insert(request.0, (router, attempt.0));
                    }
                    _ => {}
                }
            }
        }
    }

    fn carry(
        &mut self,
        from: usize,
        to: &HostName,
        message: PeerMessage,
    ) -> Vec<(usize, CoreEvent)> {
        let to = (0..ROUTERS).find(|other| host(*other) == *to).unwrap();
        let about_slots = matches!(
            message.body,
            Some(PeerBody::Demand(_) | PeerBody::Allotment(_))
        );
        let fate = if about_slots {
            self.fates.pop_front().unwrap_or(MessageFate::Deliver)
        } else {
            MessageFate::Deliver
        };
        let arrival = |message| (to, arrival(from, message));
        match fate {
            MessageFate::Deliver => vec![arrival(message)],
            MessageFate::Lose => Vec::new(),
            MessageFate::Double => vec![arrival(message.clone()), arrival(message)],
            MessageFate::Delay => {
                self.delayed.push_back((from, to, message));
                Vec::new()
            }
        }
    }

    /// Advances all cores by one tick; delayed messages arrive after later ones.
    fn step(&mut self) {
        self.now += STEP_US;
        if (self.now / STEP_US).is_multiple_of(7)
            && let Some((from, to, message)) = self.delayed.pop_front()
        {
            self.handle_event(to, arrival(from, message));
        }
        for router in 0..ROUTERS {
            self.handle_event(router, CoreEvent::Tick);
        }
    }

    fn finish(&mut self, place: usize) {
        let Some((request, (router, attempt))) = self.running.iter().nth(place) else {
            return;
        };
        let (request, router, attempt) = (*request, *router, *attempt);
        self.running.remove(&request);
        self.handle_event(router, ended(request, attempt, AttemptOutcome::Whole));
    }
}

fn incarnation_of(router: usize) -> RouterIncarnation {
    RouterIncarnation(500 + router as u64)
}

fn arrival(from: usize, message: PeerMessage) -> CoreEvent {
    CoreEvent::Message {
        from: host(from),
        incarnation: incarnation_of(from),
        message,
    }
}

fn new_core(router: usize) -> RouterCore {
    let identity = RouterIdentity {
        host: host(router),
        incarnation: incarnation_of(router),
        domain: "domain-0".parse().unwrap(),
        address: "127.0.0.1:9".into(),
    };
    RouterCore::new(identity, CoreConfig::default(), router as u64)
}

fn fates() -> impl Strategy<Value = Vec<MessageFate>> {
    let fate = prop_oneof![
        3 => Just(MessageFate::Deliver),
        1 => Just(MessageFate::Lose),
        1 => Just(MessageFate::Double),
        1 => Just(MessageFate::Delay),
    ];
    proptest::collection::vec(fate, 0..120)
}

// Reports and allotments are lost, duplicated and reordered while requests come and go at all
// routers. The endpoint must never run more requests than it has slots: a slot counted as returned
// twice would exceed the limit. Once messages arrive again, every slot must be used: a slot that
// each side believes the other holds would stay idle forever.
#[test]
fn no_slot_is_doubled_and_none_is_leaked() {
    let config = Config {
        cases: 48,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let steps = proptest::collection::vec((0..ROUTERS, 0..8_usize), 60..160);
    runner
        .run(&(fates(), steps), |(fates, steps)| {
            let mut rig = SlotRig::new(fates);
            for (request, (router, place)) in (1_u64..).zip(steps) {
                rig.handle_event(router, CoreEvent::Arrived(facts(request)));
                rig.finish(place);
                rig.step();
                prop_assert!(rig.running.len() <= SLOTS as usize);
            }
            rig.fates.clear();
            for request in 10_000..10_040 {
                rig.handle_event(0, CoreEvent::Arrived(facts(request)));
            }
            for _ in 0..1_000 {
                rig.step();
                prop_assert!(rig.running.len() <= SLOTS as usize);
            }
            prop_assert_eq!(rig.running.len(), SLOTS as usize);
            Ok(())
        })
        .unwrap();
}
