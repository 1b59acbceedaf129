//! Exit codes of `verbenactl`, and the errors that lead to them.

use std::fmt;
use std::process::ExitCode;

/// Outcome of a run of the tool, which decides the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// Done, and nothing to report.
    Good,
    /// Done, with something to report: faults, differences, alerts or a refused request.
    Finding,
    /// The arguments are wrong.
    Usage,
    /// A file can't be read or written.
    File,
    /// A router can't be reached, or refuses the credential.
    Unreachable,
    /// It is not known whether a request ran.
    Unknown,
}

impl ExitKind {
    /// All variants, in the order of their exit codes.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Finding,
        Self::Usage,
        Self::File,
        Self::Unreachable,
        Self::Unknown,
    ];

    /// Returns the exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Good => 0,
            Self::Finding => 1,
            Self::Usage => 2,
            Self::File => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
        }
    }

    /// Returns the description of the code for the help and the reference page.
    #[must_use]
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Good => "Done, and nothing to report.",
            Self::Finding => {
                "Done, and there is something: faults, differences, alerts, a refusal."
            }
            Self::Usage => "The arguments are wrong.",
            Self::File => "A file can't be read or written.",
            Self::Unreachable => "A router can't be reached, or refuses the credential.",
            Self::Unknown => "It is not known whether the request ran.",
        }
    }
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind.code())
    }
}

/// Error that ends a subcommand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CtlError {
    /// Outcome that decides the exit code.
    pub kind: ExitKind,
    message: String,
}

impl CtlError {
    /// Creates an error with the message to print.
    #[must_use]
    pub fn new(kind: ExitKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Creates an error for a file that can't be read or written.
    #[must_use]
    pub fn file(path: &std::path::Path, error: &std::io::Error) -> Self {
        Self::new(ExitKind::File, format!("{}: {error}", path.display()))
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for CtlError {}
