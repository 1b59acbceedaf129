//! Everything that a decision core knows, in tables.

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
use super::tables::members::MemberTable;
use super::tables::orders::OrderTable;
use super::tables::owned_pool::OwnedPool;
use super::tables::publication_sync::PublicationSync;
use super::tables::requests::RequestTable;
use super::tables::retry_budgets::RetryBudgets;
use super::tables::rumors::RumorQueue;
use super::tables::slot_limits::SlotLimits;
use super::tables::tickets::TicketTable;
use super::tables::trials::TrialTable;

/// The tables of one router's core, and what its systems want done.
#[derive(Debug)]
pub struct CoreState {
    /// Who this router is.
    pub identity: RouterIdentity,
    /// Settings of the systems.
    pub config: CoreConfig,
    /// The time of the event being handled.
    pub now: Moment,
    /// The only source of randomness.
    pub random: StdRng,
    /// The publication in force.
    pub catalog: Arc<FleetCatalog>,
    /// Its text, to pass on to peers.
    pub publication_text: Bytes,
    /// Which revisions peers have.
    pub publication_sync: PublicationSync,
    /// Routers.
    pub members: MemberTable,
    /// What was seen of them.
    pub detector: DetectorTable,
    /// Endpoints.
    pub endpoints: EndpointTable,
    /// Leaving endpoints to tell peers of.
    pub leaving_rumors: RumorQueue<EndpointId>,
    /// Requests that entered the fleet here.
    pub requests: RequestTable,
    /// Crashes and suspects.
    pub crashes: CrashTable,
    /// Suspects that run apart.
    pub trials: TrialTable,
    /// Tickets that this router minted.
    pub tickets: TicketTable,
    /// Pools as this router uses them.
    pub entries: BTreeMap<PoolId, EntryPool>,
    /// Pools that this router owns.
    pub owned: BTreeMap<PoolId, OwnedPool>,
    /// Orders to endpoints.
    pub orders: OrderTable,
    /// Limits of endpoints.
    pub slot_limits: SlotLimits,
    /// Retries that teams have earned.
    pub retry_budgets: RetryBudgets,
    /// Requests that wait before a retry, by the end of their wait.
    pub backoffs: BTreeSet<(Moment, RequestId)>,
    /// Pools that something happened to in this event.
    pub woken: BTreeSet<PoolId>,
    /// Bytes that urgent reports may still use.
    pub report_budget: ByteBudget,
    /// Bytes that allotments may still use.
    pub allotment_budget: ByteBudget,
    /// True once operators asked for a drain.
    pub draining: bool,
    /// Since when nothing is left to do in a drain.
    pub drain_quiet_since: Option<Moment>,
    /// True once the driver was told that the drain is over.
    pub drained: bool,
    actions: Vec<CoreAction>,
    loopback: Vec<PeerMessage>,
}

impl CoreState {
    /// Empty tables.
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
            leaving_rumors: RumorQueue::default(),
            requests: RequestTable::default(),
            crashes: CrashTable::default(),
            trials: TrialTable::default(),
            tickets: TicketTable::default(),
            entries: BTreeMap::new(),
            owned: BTreeMap::new(),
            orders: OrderTable::default(),
            slot_limits: SlotLimits::default(),
            retry_budgets: RetryBudgets::default(),
            backoffs: BTreeSet::new(),
            woken: BTreeSet::new(),
            report_budget: ByteBudget::default(),
            allotment_budget: ByteBudget::default(),
            draining: false,
            drain_quiet_since: None,
            drained: false,
            actions: Vec::new(),
            loopback: Vec::new(),
        }
    }

    /// Asks the driver for an action.
    pub fn act(&mut self, action: CoreAction) {
        self.actions.push(action);
    }

    /// Sends a message to a router; one to itself is handled after the current event.
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
