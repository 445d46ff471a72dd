//! Errors of calls to the platform.

use smol_str::SmolStr;
use thiserror::Error;

/// A failed call to the platform, classified by what is known of its effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The call had no effect: it certainly never reached the platform.
    #[error("{step} at {peer}: platform unreachable: {cause}")]
    Unreachable {
        /// Description of the operation.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// Error from the transport.
        cause: SmolStr,
    },
    /// The call may or may not have taken effect: its confirmation was lost.
    #[error("{step} at {peer}: effect unknown: {cause}")]
    Unconfirmed {
        /// Description of the operation.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// Error from the transport.
        cause: SmolStr,
    },
    /// The platform refused the call, for example because of the caller's credentials; the call
    /// had no effect.
    #[error("{step} at {peer}: not allowed: {cause}")]
    Forbidden {
        /// Description of the operation.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// Error from the platform.
        cause: SmolStr,
    },
    /// The platform's answer was invalid; the effect is unknown.
    #[error("{step} at {peer}: bad answer: {cause}")]
    BadAnswer {
        /// Description of the operation.
        step: &'static str,
        /// The platform's address.
        peer: SmolStr,
        /// What was invalid.
        cause: SmolStr,
    },
}

impl PlatformError {
    /// Returns whether the call certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Forbidden { .. })
    }
}
