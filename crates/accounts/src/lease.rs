//! Whether a decision on a key may be based on a copy of the configuration of a given age.
//!
//! Load pattern: a process is partitioned or suspended for seconds while operators withdraw keys and
//! add new ones. Its age is the time for which it has no evidence that its copy has every accepted
//! change, on a clock that includes the time during which the VM is suspended.

use nutmegdale_base::clock;

/// Time after its acknowledgement from which a version must be in use everywhere. A copy of this age
/// may lack only versions that need not be in use yet, so a refusal based on it is right.
pub const APPLY_MS: clock::Millis = clock::Millis(2_500);
/// Time by which the lease ends before a withdrawn key must be refused everywhere. A VM that has used
/// up its share of a core may be suspended for this long between the check and the send.
pub const SEND_MARGIN_MS: clock::Millis = clock::Millis(100);

/// What a copy may be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// To accept a known key and to refuse an unknown one.
    Everything,
    /// To accept a known key only: an unknown one may have been added since.
    Acceptance,
    /// For nothing: a known key may have been withdrawn.
    Nothing,
}

/// Limits on the age of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Age from which no key is accepted; `None` if there is no such age.
    expiry: Option<clock::Millis>,
}

impl Lease {
    /// Creates a lease under which a key is accepted nowhere from `revocation` after the
    /// acknowledgement of its withdrawal, or without such a limit.
    pub fn new(revocation: Option<clock::Millis>) -> Lease {
        Lease {
            expiry: revocation.map(|revocation| revocation.since(SEND_MARGIN_MS)),
        }
    }

    /// Returns what a copy of this age may be used for.
    pub fn permits(&self, age: clock::Millis) -> Use {
        if self.expiry.is_some_and(|expiry| age >= expiry) {
            Use::Nothing
        } else if age >= APPLY_MS {
            Use::Acceptance
        } else {
            Use::Everything
        }
    }
}
