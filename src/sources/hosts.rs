//! The host list: live and leaving routers and endpoints.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::core::event::CoreEvent;
use crate::core::event::ListedRouter;
use crate::document::FaultList;
use crate::document::read_document;
use crate::document::shape::ADDRESS_FORMAT;
use crate::units::DomainName;
use crate::units::EndpointId;
use crate::units::EndpointName;
use crate::units::HostName;

/// Largest host list, in bytes.
pub const MAX_HOSTS_BYTES: usize = 4 * 1_048_576;

/// The host list as its source provides it. Unknown fields are ignored, because the source defines
/// the list, not this project.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct HostList {
    /// Hosts that run a router.
    pub routers: Vec<RouterRow>,
    /// Hosts that run an endpoint.
    pub endpoints: Vec<EndpointRow>,
}

/// A host that runs a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RouterRow {
    /// The host's name.
    pub host: HostName,
    /// Address of the router's peer listener.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub address: SocketAddr,
    /// The host's failure domain.
    pub domain: DomainName,
    /// True if the router is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// A host that runs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EndpointRow {
    /// The endpoint's name in the publication.
    pub name: EndpointName,
    /// True if the endpoint is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Increases each time the endpoint is put back after it left.
    #[serde(default)]
    pub generation: u64,
}

impl HostList {
    /// Parses a host list.
    ///
    /// # Errors
    /// Every fault of the text, each with its path.
    pub fn read(text: &[u8]) -> Result<Self, FaultList> {
        read_document(text)
    }

    /// Converts the list to an event for the decision core, with one row for each router and
    /// endpoint.
    ///
    /// A list that lags may hold a host twice, once live and once leaving; this led to new work on
    /// a host that was being removed. Leaving wins, and for an endpoint the highest generation, so
    /// the order of the rows does not matter.
    #[must_use]
    pub fn event(&self) -> CoreEvent {
        let mut routers: BTreeMap<&HostName, ListedRouter> = BTreeMap::new();
        for row in &self.routers {
            let before = routers.get(&row.host).is_some_and(|router| router.leaving);
            let router = ListedRouter {
                host: row.host.clone(),
                address: SmolStr::new(row.address.to_string()),
                domain: row.domain.clone(),
                leaving: row.leaving || before,
            };
            routers.insert(&row.host, router);
        }
        let leaving = self
            .endpoint_rows()
            .into_iter()
            .filter_map(|(id, (generation, leaving))| leaving.then_some((id, generation)))
            .collect();
        CoreEvent::HostsListed {
            routers: routers.into_values().collect(),
            leaving,
        }
    }

    /// Converts the endpoints that aren't leaving, with their generations, to an event.
    #[must_use]
    pub fn live_event(&self) -> CoreEvent {
        let live = self
            .endpoint_rows()
            .into_iter()
            .filter_map(|(id, (generation, leaving))| (!leaving).then_some((id, generation)))
            .collect();
        CoreEvent::EndpointsListed { live }
    }

    fn endpoint_rows(&self) -> BTreeMap<EndpointId, (u64, bool)> {
        let mut endpoints: BTreeMap<EndpointId, (u64, bool)> = BTreeMap::new();
        for row in &self.endpoints {
            let seen = endpoints.entry(EndpointId::from(&row.name)).or_default();
            *seen = (*seen).max((row.generation, row.leaving));
        }
        endpoints
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn leaving_wins_over_a_second_row() {
        let list = br#"{"routers": [
            {"host": "a", "address": "127.0.0.1:1", "domain": "d", "leaving": true},
            {"host": "a", "address": "127.0.0.1:1", "domain": "d"}],
          "endpoints": [{"name": "e", "leaving": true, "generation": 3}, {"name": "e", "generation": 2}],
          "more": 1}"#;
        let CoreEvent::HostsListed { routers, leaving } = HostList::read(list).unwrap().event()
        else {
            panic!("not a host list");
        };
        assert_eq!(routers.len(), 1);
        assert!(routers[0].leaving);
        assert_eq!(leaving.len(), 1);
        assert_eq!(leaving[0].1, 3);
    }
}
