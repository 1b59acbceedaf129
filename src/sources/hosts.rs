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

/// The host list as the sources gives it. Fields that are not known here are left alone: the
/// list is the source's, not this project's.
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
    /// Its name.
    pub host: HostName,
    /// Its peer listener.
    #[schemars(extend("format" = ADDRESS_FORMAT))]
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// True if it leaves.
    #[serde(default)]
    pub leaving: bool,
}

/// A host that runs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EndpointRow {
    /// The endpoint's name in the publication.
    pub name: EndpointName,
    /// True if it leaves.
    #[serde(default)]
    pub leaving: bool,
    /// Grows each time the endpoint is put back after it left.
    #[serde(default)]
    pub generation: u64,
}

impl HostList {
    /// Reads a host list.
    ///
    /// # Errors
    /// Every fault of the text, each with its path.
    pub fn read(text: &[u8]) -> Result<Self, FaultList> {
        read_document(text)
    }

    /// The list as the decision core takes it, one row a router and endpoint.
    ///
    /// A list that lags may hold a host twice, once live and once leaving; seen as new work on a
    /// host that is being taken away. Leaving wins, and for an endpoint the highest generation,
    /// so the order of the rows does not matter.
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

    /// The endpoints that the list calls live, with their generations.
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
