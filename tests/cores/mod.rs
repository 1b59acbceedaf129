//! Test harness: a few decision cores that exchange messages through an in-memory queue.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use verbenaturn::catalog::EndpointEntry;
use verbenaturn::catalog::FenceCheck;
use verbenaturn::catalog::FleetCatalog;
use verbenaturn::catalog::KindEntry;
use verbenaturn::catalog::PoolEntry;
use verbenaturn::catalog::PoolProtocol;
use verbenaturn::catalog::TeamEntry;
use verbenaturn::catalog::UrgencyClass;
use verbenaturn::configs::CoreConfig;
use verbenaturn::core::RouterCore;
use verbenaturn::core::RouterIdentity;
use verbenaturn::core::action::CoreAction;
use verbenaturn::core::event::AttemptOutcome;
use verbenaturn::core::event::CoreEvent;
use verbenaturn::core::event::ListedRouter;
use verbenaturn::core::event::RepeatRule;
use verbenaturn::core::event::RequestFacts;
use verbenaturn::core::event::TicketName;
use verbenaturn::peers::frames::FRAME_OVERHEAD;
use verbenaturn::units::AttemptNumber;
use verbenaturn::units::ConfigRevision;
use verbenaturn::units::DomainName;
use verbenaturn::units::EndpointId;
use verbenaturn::units::EndpointName;
use verbenaturn::units::HostName;
use verbenaturn::units::KindName;
use verbenaturn::units::Moment;
use verbenaturn::units::PoolId;
use verbenaturn::units::PoolName;
use verbenaturn::units::RequestFingerprint;
use verbenaturn::units::RequestId;
use verbenaturn::units::RouterIncarnation;
use verbenaturn::units::ServiceUnits;
use verbenaturn::units::ShareWeight;
use verbenaturn::units::SlotCount;
use verbenaturn::units::TeamId;
use verbenaturn::units::TeamName;
use verbenaturn::units::TimeSpan;
use verbenaturn::wire::PeerBody;
use verbenaturn::wire::PeerMessage;

/// Time between two ticks in microseconds.
pub const TICK_US: u64 = 5_000;

/// The pool used by tests that need only one.
pub fn pool() -> PoolId {
    pool_named("tagging")
}

/// The id of a pool by name.
pub fn pool_named(name: &str) -> PoolId {
    PoolId::from(&name.parse::<PoolName>().unwrap())
}

/// The id of a team; teams are named `team-1` and so on.
pub fn team(number: usize) -> TeamId {
    TeamId::from(&format!("team-{number}").parse::<TeamName>().unwrap())
}

/// The id of an endpoint; endpoints are named `engine-1` and so on.
pub fn endpoint(number: usize) -> EndpointId {
    EndpointId::from(&format!("engine-{number}").parse::<EndpointName>().unwrap())
}

/// The host of a router.
pub fn host(router: usize) -> HostName {
    format!("host-{router}").parse().unwrap()
}

fn domain(number: usize) -> DomainName {
    format!("domain-{number}").parse().unwrap()
}

/// The request kind used by all requests.
pub fn kind() -> KindName {
    "tag".parse().unwrap()
}

fn kind_entry() -> KindEntry {
    KindEntry {
        urgency: UrgencyClass::Batch,
        unrepeatable: true,
        deadline: TimeSpan::from_millis(30_000),
        goal: TimeSpan::from_millis(1_000),
        objective_per_mille: 990,
        method: None,
        path_prefix: None,
    }
}

fn team_entry(number: usize) -> TeamEntry {
    TeamEntry {
        name: format!("team-{number}").parse().unwrap(),
        share: ShareWeight(1),
        key_hashes: Vec::new(),
        queue_limit: 512,
        kinds: BTreeMap::from([(kind(), kind_entry())]),
        default_kind: kind(),
    }
}

/// Catalog entry of an endpoint.
pub fn endpoint_entry(number: usize, slots: u32, pools: Vec<PoolId>) -> EndpointEntry {
    EndpointEntry {
        name: format!("engine-{number}").parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        pools,
        domain: domain(number % 3),
        slots: SlotCount(slots),
        fence_check: FenceCheck::Checked,
        leaving: false,
    }
}

/// Catalog entry of a pool.
pub fn pool_entry(name: &str, endpoints: Vec<EndpointId>) -> PoolEntry {
    PoolEntry {
        name: name.parse().unwrap(),
        protocol: PoolProtocol::Engine,
        endpoints,
    }
}

// Fields added to the catalog later get their defaults here.
#[allow(clippy::needless_update)]
/// A catalog with one pool, two teams and `endpoints` endpoints of `slots` slots each.
pub fn catalog(endpoints: usize, slots: u32) -> FleetCatalog {
    let ids: Vec<EndpointId> = (1..=endpoints).map(endpoint).collect();
    FleetCatalog {
        revision: ConfigRevision(1),
        teams: (1..=2)
            .map(|number| (team(number), team_entry(number)))
            .collect(),
        pools: BTreeMap::from([(pool(), pool_entry("tagging", ids))]),
        endpoints: (1..=endpoints)
            .map(|number| {
                let entry = endpoint_entry(number, slots, vec![pool()]);
                (endpoint(number), entry)
            })
            .collect(),
        ..FleetCatalog::default()
    }
}

/// A repeatable request of team 1.
pub fn facts(request: u64) -> RequestFacts {
    RequestFacts {
        request: RequestId(request),
        team: team(1),
        kind: kind(),
        pool: pool(),
        repeat: RepeatRule::Repeatable,
        deadline: Moment(3_600_000_000),
        fingerprint: RequestFingerprint(7),
        prefix: 0,
        resumable: false,
        forwarded: false,
    }
}

/// The same request as [`facts`], but unrepeatable.
pub fn unrepeatable(request: u64, ticket: Option<TicketName>) -> RequestFacts {
    RequestFacts {
        repeat: RepeatRule::Unrepeatable(ticket),
        ..facts(request)
    }
}

/// Returns the load report of an idle endpoint's process, identified by `life`.
pub fn idle_report(endpoint: EndpointId, life: u64) -> CoreEvent {
    CoreEvent::EndpointLoad {
        endpoint,
        running: 0,
        waiting: 0,
        active: pool(),
        life,
        fence: 0,
    }
}

/// The event for the end of an attempt.
pub fn ended(request: u64, attempt: u32, outcome: AttemptOutcome) -> CoreEvent {
    CoreEvent::AttemptEnded {
        request: RequestId(request),
        attempt: AttemptNumber(attempt),
        outcome,
        service: ServiceUnits(100),
    }
}

/// Cores, their connections and the actions that they returned.
pub struct CoreFleet {
    /// The cores; `None` while one is down.
    pub cores: Vec<Option<RouterCore>>,
    /// The current time.
    pub now: Moment,
    /// Pairs of routers that can't reach each other.
    pub cut: BTreeSet<(usize, usize)>,
    /// Number of publication texts that cores had parsed and checked.
    pub adoptions: u64,
    /// Number of messages sent between cores.
    pub messages: u64,
    /// Bytes of gossip messages sent, including framing.
    pub gossip_bytes: u64,
    actions: Vec<(usize, CoreAction)>,
    catalog: Arc<FleetCatalog>,
    config: CoreConfig,
    started_routers: u64,
    tick_us: u64,
}

impl CoreFleet {
    /// Creates a fleet in which all routers know their peers and the publication, and slots have
    /// been granted.
    pub fn new(routers: usize, catalog: FleetCatalog) -> Self {
        Self::with_config(routers, catalog, CoreConfig::default())
    }

    /// Like [`Self::new`], with the given time between ticks in microseconds.
    pub fn with_tick(routers: usize, catalog: FleetCatalog, tick_us: u64) -> Self {
        Self::build(routers, catalog, CoreConfig::default(), tick_us)
    }

    /// Like [`Self::new`], with the given settings.
    pub fn with_config(routers: usize, catalog: FleetCatalog, config: CoreConfig) -> Self {
        Self::build(routers, catalog, config, TICK_US)
    }

    fn build(routers: usize, catalog: FleetCatalog, config: CoreConfig, tick_us: u64) -> Self {
        let mut fleet = Self {
            cores: (0..routers).map(|_| None).collect(),
            now: Moment(1_000_000),
            cut: BTreeSet::new(),
            adoptions: 0,
            messages: 0,
            gossip_bytes: 0,
            actions: Vec::new(),
            catalog: Arc::new(catalog),
            config,
            started_routers: 0,
            tick_us,
        };
        for router in 0..routers {
            fleet.start(router);
        }
        fleet.advance(1_000);
        fleet.actions.clear();
        fleet
    }

    /// Starts a router with empty state, which reads the fleet's publication.
    pub fn start(&mut self, router: usize) {
        let catalog = Arc::clone(&self.catalog);
        let text = Bytes::new();
        self.start_with(router, Some(CoreEvent::Published { catalog, text }));
    }

    /// Starts a router with empty state; `published` is the publication it reads, if any.
    pub fn start_with(&mut self, router: usize, published: Option<CoreEvent>) {
        self.started_routers += 1;
        let identity = RouterIdentity {
            host: host(router),
            incarnation: RouterIncarnation(1_000 + self.started_routers),
            domain: domain(router % 3),
            address: "127.0.0.1:9".into(),
        };
        let core = RouterCore::new(identity, self.config.clone(), self.started_routers);
        self.cores[router] = Some(core);
        let routers = (0..self.cores.len()).map(listed).collect();
        let leaving = Vec::new();
        self.handle_event(router, CoreEvent::HostsListed { routers, leaving });
        if let Some(published) = published {
            self.handle_event(router, published);
        }
        for peer in 0..self.cores.len() {
            self.connect(router, peer);
        }
    }

    /// Stops a router; its peers see their connections to it close.
    pub fn stop(&mut self, router: usize) {
        self.cores[router] = None;
        for peer in 0..self.cores.len() {
            self.handle_event(peer, CoreEvent::PeerClosed { host: host(router) });
        }
    }

    /// Cuts the link between two routers.
    pub fn cut_link(&mut self, one: usize, other: usize) {
        self.cut.insert((one.min(other), one.max(other)));
        self.handle_event(one, CoreEvent::PeerClosed { host: host(other) });
        self.handle_event(other, CoreEvent::PeerClosed { host: host(one) });
    }

    /// Restores the link between two routers.
    pub fn restore_link(&mut self, one: usize, other: usize) {
        self.cut.remove(&(one.min(other), one.max(other)));
        self.connect(one, other);
    }

    fn connect(&mut self, one: usize, other: usize) {
        let (Some(left), Some(right)) = (self.incarnation_of(one), self.incarnation_of(other))
        else {
            return;
        };
        if one == other || !self.is_linked(one, other) {
            return;
        }
        let opened = |host, incarnation| CoreEvent::PeerOpened { host, incarnation };
        self.handle_event(one, opened(host(other), right));
        self.handle_event(other, opened(host(one), left));
    }

    /// True if two routers can reach each other.
    pub fn is_linked(&self, one: usize, other: usize) -> bool {
        !self.cut.contains(&(one.min(other), one.max(other)))
    }

    /// A router's incarnation; `None` while it is down.
    pub fn incarnation_of(&self, router: usize) -> Option<RouterIncarnation> {
        let core = self.cores[router].as_ref()?;
        Some(core.state().identity.incarnation)
    }

    /// The core of a running router.
    pub fn core(&self, router: usize) -> &RouterCore {
        self.cores[router].as_ref().unwrap()
    }

    /// Passes an event to a router, delivers the resulting messages, and keeps all other actions
    /// for [`Self::take`].
    pub fn handle_event(&mut self, router: usize, event: CoreEvent) {
        let mut queue = VecDeque::from([(router, event)]);
        while let Some((router, event)) = queue.pop_front() {
            let now = self.now;
            let Some(core) = self.cores[router].as_mut() else {
                continue;
            };
            for action in core.handle(now, event) {
                match action {
                    CoreAction::Send { host, message } => {
                        queue.extend(self.delivery(router, &host, message));
                    }
                    CoreAction::AdoptText { revision, text } => {
                        self.adoptions += 1;
                        queue.push_back((router, self.check_publication(revision, &text)));
                    }
                    action => self.actions.push((router, action)),
                }
            }
        }
    }

    /// Replaces parsing and checking: a text that starts with `bad` is rejected.
    fn check_publication(&self, revision: ConfigRevision, text: &Bytes) -> CoreEvent {
        if text.starts_with(b"bad") {
            return CoreEvent::PublicationRefused { revision };
        }
        self.publication(revision.0, text.clone())
    }

    /// The event for a valid publication of this revision.
    pub fn publication(&self, revision: u64, text: Bytes) -> CoreEvent {
        let mut catalog = FleetCatalog::clone(&self.catalog);
        catalog.revision = ConfigRevision(revision);
        let catalog = Arc::new(catalog);
        CoreEvent::Published { catalog, text }
    }

    fn delivery(
        &mut self,
        router: usize,
        to: &HostName,
        message: PeerMessage,
    ) -> Option<(usize, CoreEvent)> {
        let peer = (0..self.cores.len()).find(|peer| host(*peer) == *to)?;
        self.messages += 1;
        if matches!(message.body, Some(PeerBody::Gossip(_))) {
            self.gossip_bytes += (message.encoded_len() + FRAME_OVERHEAD) as u64;
        }
        if !self.is_linked(router, peer) {
            return None;
        }
        let event = CoreEvent::Message {
            from: host(router),
            incarnation: self.incarnation_of(router)?,
            message,
        };
        Some((peer, event))
    }

    /// Advances the time, with ticks at the fleet's interval.
    pub fn advance(&mut self, millis: u64) {
        self.advance_by(millis, self.tick_us);
    }

    /// Advances the time, with ticks `tick_us` microseconds apart.
    pub fn advance_by(&mut self, millis: u64, tick_us: u64) {
        let end = self.now + TimeSpan::from_millis(millis);
        while self.now < end {
            self.now = (self.now + TimeSpan(tick_us)).min(end);
            for router in 0..self.cores.len() {
                self.handle_event(router, CoreEvent::Tick);
            }
        }
    }

    /// Passes an event to a router and returns the actions that follow at once.
    pub fn ask(&mut self, router: usize, event: CoreEvent) -> Vec<CoreAction> {
        self.handle_event(router, event);
        self.take(router)
    }

    /// Returns the actions of a router since the last call.
    pub fn take(&mut self, router: usize) -> Vec<CoreAction> {
        let (mine, others) = std::mem::take(&mut self.actions)
            .into_iter()
            .partition(|(asker, _)| *asker == router);
        self.actions = others;
        let mine: Vec<(usize, CoreAction)> = mine;
        mine.into_iter().map(|(_, action)| action).collect()
    }

    /// Sends an unrepeatable request without a ticket and returns the ticket that is offered.
    pub fn get_ticket(&mut self, router: usize, request: u64) -> TicketName {
        let facts = unrepeatable(request, None);
        let actions = self.ask(router, CoreEvent::Arrived(facts));
        actions
            .iter()
            .find_map(|action| match action {
                CoreAction::OfferTicket { ticket, .. } => Some(*ticket),
                _ => None,
            })
            .unwrap()
    }

    /// Sends an unrepeatable request with a ticket and returns the actions that follow at once.
    pub fn present(&mut self, router: usize, request: u64, ticket: TicketName) -> Vec<CoreAction> {
        let facts = unrepeatable(request, Some(ticket));
        self.ask(router, CoreEvent::Arrived(facts))
    }
}

fn listed(router: usize) -> ListedRouter {
    ListedRouter {
        host: host(router),
        address: "127.0.0.1:9".into(),
        domain: domain(router % 3),
        leaving: false,
    }
}

/// The dispatched requests with their endpoints.
pub fn dispatched(actions: &[CoreAction]) -> Vec<(u64, EndpointId)> {
    actions
        .iter()
        .filter_map(|action| match action {
            CoreAction::Dispatch {
                request, endpoint, ..
            } => Some((request.0, *endpoint)),
            _ => None,
        })
        .collect()
}
