//! Exit codes.

use std::process::ExitCode;

use catalogue::ApplyEnd;

/// How a command ended, as its exit code says it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// Done; a change is accepted, or was in force already.
    Done = 0,
    /// Something on this side failed, such as a file that can't be written.
    Failed = 1,
    /// The command line or the settings make no sense.
    Usage = 2,
    /// Declarations have faults; nothing was changed.
    Invalid = 3,
    /// Other operators changed the same items; nothing was changed.
    Conflict = 4,
    /// The platform can't be reached; nothing was changed.
    Unreachable = 5,
    /// The platform was lost before it said whether the change was accepted.
    Unknown = 6,
    /// Accepted, but not in force on every host within the time.
    NotEverywhere = 7,
    /// The operator may not do this; nothing was changed.
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

    /// Returns the word used in JSON output.
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

    /// Returns one line that explains the code.
    #[must_use]
    pub const fn about(self) -> &'static str {
        match self {
            Self::Done => "done; a change is accepted, or was in force already",
            Self::Failed => "something on this side failed",
            Self::Usage => "the command line or the settings make no sense",
            Self::Invalid => "declarations have faults; nothing was changed",
            Self::Conflict => "other operators changed the same items; nothing was changed",
            Self::Unreachable => "the platform can't be reached; nothing was changed",
            Self::Unknown => "the platform was lost before it said whether the change is accepted",
            Self::NotEverywhere => "accepted, but not in force on every host within the time",
            Self::Denied => "the operator may not do this; nothing was changed",
        }
    }

    /// Returns the code for the end of a change.
    #[must_use]
    pub const fn of(verdict: &ApplyEnd) -> Self {
        match verdict {
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
