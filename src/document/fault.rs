//! Validation faults of a document, each with its path.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// A validation fault.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DocumentFault {
    /// Path of the faulty value, such as `teams.nadi-clinic.share`; empty for the whole document.
    pub path: SmolStr,
    /// Description of the fault and of what is valid.
    pub message: String,
}

impl DocumentFault {
    /// Creates a fault at a path.
    #[must_use]
    pub fn new(path: impl Into<SmolStr>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            write!(formatter, "{}", self.message)
        } else {
            write!(formatter, "{}: {}", self.path, self.message)
        }
    }
}

/// All faults that were found, sorted by path and without duplicates. Never empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct FaultList(Vec<DocumentFault>);

impl FaultList {
    /// Returns the faults.
    #[must_use]
    pub fn faults(&self) -> &[DocumentFault] {
        &self.0
    }
}

impl From<Vec<DocumentFault>> for FaultList {
    fn from(mut faults: Vec<DocumentFault>) -> Self {
        faults.sort();
        faults.dedup();
        Self(faults)
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let gap = if index == 0 { "" } else { "\n" };
            write!(formatter, "{gap}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}

/// Appends a name to a path.
#[must_use]
pub fn join(path: &str, part: &str) -> String {
    if path.is_empty() {
        part.to_owned()
    } else {
        format!("{path}.{part}")
    }
}
