//! Parsing of the deadline header.

use std::time::Duration;

use ids::Reason;

/// Bounds of deadlines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeadlineSettings {
    /// Maximum time that a request may ask for; longer ones are cut to it.
    pub cap: Duration,
}

impl Default for DeadlineSettings {
    fn default() -> Self {
        Self {
            cap: Duration::from_mins(1),
        }
    }
}

impl DeadlineSettings {
    /// Returns the time left for a request: from the header if there is one, else `default`.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::BadDeadline`] if the value is not a whole number of milliseconds, and
    /// with [`Reason::DeadlineExpired`] if it is zero.
    pub fn time_left(&self, header: Option<&[u8]>, default: Duration) -> Result<Duration, Reason> {
        let Some(text) = header else {
            return Ok(default.min(self.cap));
        };
        let millis = parse_millis(text).ok_or(Reason::BadDeadline)?;
        if millis == 0 {
            return Err(Reason::DeadlineExpired);
        }
        Ok(Duration::from_millis(millis).min(self.cap))
    }
}

/// Parses a whole number; saturates if it has too many digits.
fn parse_millis(text: &[u8]) -> Option<u64> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let push = |n: u64, c: &u8| n.saturating_mul(10).saturating_add(u64::from(c - b'0'));
    Some(text.iter().fold(0, push))
}
