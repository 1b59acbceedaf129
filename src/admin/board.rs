//! What the traffic threads know and the decision core does not: refused publications and
//! failures of the sources.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::document::FaultList;
use crate::units::ConfigRevision;

use super::status::PublicationStatus;
use super::status::RefusedPublication;

/// The newest of these, for status and metrics.
#[derive(Debug, Default)]
pub struct StatusBoard {
    publication: Mutex<PublicationStatus>,
}

impl StatusBoard {
    fn lock(&self) -> MutexGuard<'_, PublicationStatus> {
        let publication = self.publication.lock();
        publication.unwrap_or_else(PoisonError::into_inner)
    }

    /// A publication was refused.
    pub fn refused(&self, revision: ConfigRevision, faults: &FaultList) {
        let mut status = self.lock();
        let known = status
            .refused
            .as_ref()
            .map_or(0, |refused| refused.revision);
        if revision.0 >= known {
            status.refused = Some(RefusedPublication {
                revision: revision.0,
                faults: faults.faults().to_vec(),
            });
        }
    }

    /// Whether this router watches the configuration service.
    pub fn watches(&self, on: bool) {
        let mut status = self.lock();
        status.watching = on;
        if !on {
            status.source_fault = None;
        }
    }

    /// The configuration service answered, or failed with this.
    pub fn sources(&self, fault: Option<String>) {
        self.lock().source_fault = fault;
    }

    /// The host list was read, or failed with this.
    pub fn hosts(&self, fault: Option<String>) {
        self.lock().hosts_fault = fault;
    }

    /// All of it, with the revision in force; a refused publication that is not newer is left
    /// out, for the operators have mended it.
    #[must_use]
    pub fn publication(&self, in_force: ConfigRevision) -> PublicationStatus {
        let mut status = self.lock().clone();
        status.revision = in_force.0;
        status.refused = status
            .refused
            .filter(|refused| refused.revision > in_force.0);
        status
    }
}

#[cfg(test)]
mod tests {
    use crate::document::DocumentFault;

    use super::*;

    #[test]
    fn a_refused_publication_shows_until_a_newer_one_is_in_force() {
        let board = StatusBoard::default();
        let faults = FaultList::from(vec![DocumentFault::new("teams.a.share", "is 0")]);
        board.refused(ConfigRevision(8), &faults);
        assert!(board.publication(ConfigRevision(7)).refused.is_some());
        assert!(board.publication(ConfigRevision(9)).refused.is_none());
    }
}
