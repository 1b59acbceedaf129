//! Status that only the traffic threads know, not the decision core: refused publications and
//! failures of the sources.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::document::FaultList;
use crate::units::ConfigRevision;

use super::status::PublicationStatus;
use super::status::RefusedPublication;

/// Latest refused publication and source failures, for status and metrics.
#[derive(Debug, Default)]
pub struct StatusBoard {
    publication: Mutex<PublicationStatus>,
}

impl StatusBoard {
    fn lock(&self) -> MutexGuard<'_, PublicationStatus> {
        let publication = self.publication.lock();
        publication.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a refused publication, unless a newer refused one is recorded.
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

    /// Records whether this router watches the configuration service. Its fault is cleared if not.
    pub fn watches(&self, on: bool) {
        let mut status = self.lock();
        status.watching = on;
        if !on {
            status.source_fault = None;
        }
    }

    /// Records that the configuration service answered (`None`) or failed with `fault`.
    pub fn sources(&self, fault: Option<String>) {
        self.lock().source_fault = fault;
    }

    /// Records that the host list was read (`None`) or failed with `fault`.
    pub fn hosts(&self, fault: Option<String>) {
        self.lock().hosts_fault = fault;
    }

    /// Returns the status with the revision in force. A refused publication that is not newer is
    /// left out, because the operators have corrected it.
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
