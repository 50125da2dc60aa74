//! Deadlines, which shrink on the way and bound every wait.

use nutmegdale_base::clock;

/// Longest time that a caller may ask for.
pub const MAX_MS: clock::Millis = clock::Millis(3_600_000);

/// Point on this process's clock at which the caller stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    ends: clock::Millis,
}

/// The value of `nutmegdale-deadline-ms` is not a number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl Deadline {
    /// Reads the header of a request that arrived at `now`; without one, `default` applies.
    ///
    /// # Errors
    ///
    /// Refuses a value that is not a whole number, since a guess could run past the caller's wait.
    pub fn parse(
        now: clock::Millis,
        header: Option<&[u8]>,
        default: clock::Millis,
    ) -> Result<Deadline, Malformed> {
        let span = match header {
            None => default,
            Some(value) => {
                let text = std::str::from_utf8(value).map_err(|_| Malformed)?;
                clock::Millis(text.trim().parse().map_err(|_| Malformed)?)
            }
        };
        Ok(Deadline {
            ends: now + span.min(MAX_MS),
        })
    }

    /// Returns the earlier of this deadline and `span` after `now`.
    pub fn within(self, now: clock::Millis, span: clock::Millis) -> Deadline {
        Deadline {
            ends: self.ends.min(now + span),
        }
    }

    /// Returns the deadline `span` later.
    pub fn extended(self, span: clock::Millis) -> Deadline {
        Deadline {
            ends: self.ends + span,
        }
    }

    /// Returns the time left, or `None` if the deadline has passed.
    pub fn left(self, now: clock::Millis) -> Option<clock::Millis> {
        let left = self.ends.since(now);
        (left > clock::Millis::ZERO).then_some(left)
    }
}
