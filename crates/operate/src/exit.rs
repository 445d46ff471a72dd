//! Exit codes.

use std::process::ExitCode;

use catalogue::ApplyEnd;

/// The exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// Done; a change is accepted, or was in force already.
    Done = 0,
    /// A local operation failed, such as writing a file.
    Failed = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
    /// Declarations have faults; nothing was changed.
    Invalid = 3,
    /// Other operators changed the same items; nothing was changed.
    Conflict = 4,
    /// The platform can't be reached; nothing was changed.
    Unreachable = 5,
    /// The connection to the platform failed before it confirmed or rejected the change.
    Unknown = 6,
    /// Accepted, but not in force on every host when the wait ended.
    NotEverywhere = 7,
    /// The operator is not permitted to do this; nothing was changed.
    Denied = 8,
}

impl Exit {
    /// All codes, in order.
    pub const ALL: &'static [Self] = &[
        Self::Done,
        Self::Failed,
        Self::Usage,
        Self::Invalid,
        Self::Conflict,
        Self::Unreachable,
        Self::Unknown,
        Self::NotEverywhere,
        Self::Denied,
    ];

    /// Returns the code.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the name that JSON output contains.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Usage => "usage",
            Self::Invalid => "invalid",
            Self::Conflict => "conflict",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
            Self::NotEverywhere => "not-everywhere",
            Self::Denied => "denied",
        }
    }

    /// Returns a one-line description of the code.
    #[must_use]
    pub const fn about(self) -> &'static str {
        match self {
            Self::Done => "done; a change is accepted, or was in force already",
            Self::Failed => "a local operation failed",
            Self::Usage => "the command line or the settings are invalid",
            Self::Invalid => "declarations have faults; nothing was changed",
            Self::Conflict => "other operators changed the same items; nothing was changed",
            Self::Unreachable => "the platform can't be reached; nothing was changed",
            Self::Unknown => {
                "the platform could not be reached to confirm whether the change was accepted"
            }
            Self::NotEverywhere => "accepted, but not in force on every host when the wait ended",
            Self::Denied => "the operator is not permitted to do this; nothing was changed",
        }
    }

    /// Returns the code for how a change ended.
    #[must_use]
    pub const fn of(end: &ApplyEnd) -> Self {
        match end {
            ApplyEnd::Accepted { .. } | ApplyEnd::InForce { .. } => Self::Done,
            ApplyEnd::Conflict(_) | ApplyEnd::Contended { .. } | ApplyEnd::Withdrawn { .. } => {
                Self::Conflict
            }
            ApplyEnd::Invalid(_) => Self::Invalid,
            ApplyEnd::Denied(_) | ApplyEnd::Refused(_) => Self::Denied,
            ApplyEnd::Unreachable(_) | ApplyEnd::Unreadable(_) => Self::Unreachable,
            ApplyEnd::Unknown { .. } => Self::Unknown,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
