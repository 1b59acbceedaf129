//! The complete state of a decision core, as tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::catalog::FleetCatalog;
use crate::configs::CoreConfig;
use crate::units::EndpointId;
use crate::units::HostName;
use crate::units::Moment;
use crate::units::PoolId;
use crate::units::RequestId;
use crate::wire::PeerBody;
use crate::wire::PeerMessage;

use super::RouterIdentity;
use super::action::CoreAction;
use super::event::CoreEvent;
use super::tables::byte_budget::ByteBudget;
use super::tables::crashes::CrashTable;
use super::tables::detector::DetectorTable;
use super::tables::endpoints::EndpointTable;
use super::tables::entry_pool::EntryPool;
use super::tables::gossip_queue::GossipQueue;
use super::tables::members::MemberTable;
use super::tables::orders::OrderTable;
use super::tables::owned_pool::OwnedPool;
use super::tables::publication_sync::PublicationSync;
use super::tables::requests::RequestTable;
use super::tables::retry_budgets::RetryBudgets;
use super::tables::slot_limits::SlotLimits;
use super::tables::tickets::TicketTable;
use super::tables::trials::TrialTable;

/// The tables of one router's core, and the actions its systems have queued for the driver.
#[derive(Debug)]
pub struct CoreState {
    /// This router's identity.
    pub identity: RouterIdentity,
    /// Settings of the systems.
    pub config: CoreConfig,
    /// The time of the event being handled.
    pub now: Moment,
    /// The only source of randomness.
    pub random: StdRng,
    /// The publication in force.
    pub catalog: Arc<FleetCatalog>,
    /// The text of the publication in force, to pass on to peers.
    pub publication_text: Bytes,
    /// Publication revisions of peers, and the fetch in progress.
    pub publication_sync: PublicationSync,
    /// Members of the fleet.
    pub members: MemberTable,
    /// Failure detection of members.
    pub detector: DetectorTable,
    /// Runtime state of endpoints.
    pub endpoints: EndpointTable,
    /// Leaving endpoints to announce to peers.
    pub leaving_gossip: GossipQueue<EndpointId>,
    /// Requests that entered the fleet here.
    pub requests: RequestTable,
    /// Endpoint crashes and the requests suspected of causing them.
    pub crashes: CrashTable,
    /// Isolated runs of suspects.
    pub trials: TrialTable,
    /// Tickets that this process minted.
    pub tickets: TicketTable,
    /// Pools that this router uses as an entry router.
    pub entry_pools: BTreeMap<PoolId, EntryPool>,
    /// Pools that this router owns.
    pub owned: BTreeMap<PoolId, OwnedPool>,
    /// Model-load orders to endpoints.
    pub orders: OrderTable,
    /// Concurrency limits of endpoints.
    pub slot_limits: SlotLimits,
    /// Retry budgets of teams.
    pub retry_budgets: RetryBudgets,
    /// Requests in backoff before a retry, ordered by the end of the backoff.
    pub backoffs: BTreeSet<(Moment, RequestId)>,
    /// Pools that the current event changed, or all pools on a tick. `dispatch` dispatches their
    /// waiting requests; `reporting`, which adds all pools on a tick, sends the reports that are
    /// due and empties the set.
    pub changed_pools: BTreeSet<PoolId>,
    /// Byte budget of urgent demand reports.
    pub report_budget: ByteBudget,
    /// Byte budget of allotments.
    pub allotment_budget: ByteBudget,
    /// True once an operator asked for a drain.
    pub draining: bool,
    /// Since when the draining router has had no work in flight.
    pub drain_idle_since: Option<Moment>,
    /// True once the driver was informed that the drain is complete.
    pub drained: bool,
    actions: Vec<CoreAction>,
    loopback: Vec<PeerMessage>,
}

impl CoreState {
    /// Creates the state with empty tables.
    #[must_use]
    pub fn new(identity: RouterIdentity, config: CoreConfig, seed: u64) -> Self {
        Self {
            members: MemberTable::new(&identity),
            identity,
            config,
            now: Moment(0),
            random: StdRng::seed_from_u64(seed),
            catalog: Arc::default(),
            publication_text: Bytes::new(),
            publication_sync: PublicationSync::default(),
            detector: DetectorTable::default(),
            endpoints: EndpointTable::default(),
            leaving_gossip: GossipQueue::default(),
            requests: RequestTable::default(),
            crashes: CrashTable::default(),
            trials: TrialTable::default(),
            tickets: TicketTable::default(),
            entry_pools: BTreeMap::new(),
            owned: BTreeMap::new(),
            orders: OrderTable::default(),
            slot_limits: SlotLimits::default(),
            retry_budgets: RetryBudgets::default(),
            backoffs: BTreeSet::new(),
            changed_pools: BTreeSet::new(),
            report_budget: ByteBudget::default(),
            allotment_budget: ByteBudget::default(),
            draining: false,
            drain_idle_since: None,
            drained: false,
            actions: Vec::new(),
            loopback: Vec::new(),
        }
    }

    /// Queues an action for the driver.
    pub fn act(&mut self, action: CoreAction) {
        self.actions.push(action);
    }

    /// Sends a message to a router. A message to this router is handled after the current event.
    pub fn send(&mut self, host: &HostName, body: PeerBody) {
        let message = PeerMessage::new(body);
        if *host == self.identity.host {
            self.loopback.push(message);
        } else {
            self.act(CoreAction::Send {
                host: host.clone(),
                message,
            });
        }
    }

    pub(super) fn take_actions(&mut self) -> Vec<CoreAction> {
        mem::take(&mut self.actions)
    }

    pub(super) fn take_loopback(&mut self) -> Vec<CoreEvent> {
        mem::take(&mut self.loopback)
            .into_iter()
            .map(|message| CoreEvent::Message {
                from: self.identity.host.clone(),
                incarnation: self.identity.incarnation,
                message,
            })
            .collect()
    }
}
