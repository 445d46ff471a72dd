//! What may go wrong with a call to the platform.

use smol_str::SmolStr;
use thiserror::Error;

/// A failed call to the platform, told apart by what is known of its effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The call had no effect: it surely never reached the platform.
    #[error("{step} at {peer}: platform unreachable: {cause}")]
    Unreachable {
        /// What was being done.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// What the transport said.
        cause: SmolStr,
    },
    /// The call may or may not have taken effect: its confirmation was lost.
    #[error("{step} at {peer}: effect unknown: {cause}")]
    Unconfirmed {
        /// What was being done.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// What the transport said.
        cause: SmolStr,
    },
    /// The platform refused the call, such as for the caller's credentials; there was no effect.
    #[error("{step} at {peer}: not allowed: {cause}")]
    Forbidden {
        /// What was being done.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// What the platform said.
        cause: SmolStr,
    },
    /// The platform's answer made no sense; the effect is unknown.
    #[error("{step} at {peer}: bad answer: {cause}")]
    BadAnswer {
        /// What was being done.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// What was wrong with it.
        cause: SmolStr,
    },
}

impl PlatformError {
    /// Tells whether the call surely had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Forbidden { .. })
    }
}
