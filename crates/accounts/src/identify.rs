//! Decides whose request it is: when it arrives, and again right before each send.
//!
//! Load pattern: callers with many accounts, some of which use withdrawn, wrong or forged keys, at
//! processes whose copy of the configuration may be seconds old.

use crate::{account, index, key, lease};
use nutmegdale_base::clock;
use std::borrow;
use std::sync;

/// Copy of the accounts on which a decision is based.
#[derive(Debug, Clone, Copy)]
pub struct Copy<'a> {
    /// Accounts by key.
    pub index: &'a index::Index,
    /// Limits on the age.
    pub lease: lease::Lease,
    /// Time for which there is no evidence that the copy has every accepted change.
    pub age: clock::Millis,
}

/// Whose request it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Caller<'a> {
    /// The route is public, so it does not matter.
    Public,
    /// The account has the key with this digest.
    Account(&'a sync::Arc<account::Account>, key::Digest),
}

/// Why the request of a caller is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request has no key, several ones, or one that no account has.
    UnknownKey,
    /// The copy is too old for the decision.
    StaleCopy,
    /// The key has been withdrawn since the request arrived, and another account has it now. The
    /// caller may try again as this account.
    Reassigned,
}

impl<'a> Copy<'a> {
    /// Decides whose request it is when it arrives.
    ///
    /// # Errors
    ///
    /// Fails if the caller is not known, or the copy is too old to tell.
    pub fn identify(
        &self,
        is_public: bool,
        presented: key::Presented<'_>,
    ) -> Result<Caller<'a>, Refusal> {
        if is_public {
            return Ok(Caller::Public);
        }
        let permitted = self.lease.permits(self.age);
        if permitted == lease::Use::Nothing {
            return Err(Refusal::StaleCopy);
        }
        let digest = presented.digest();
        let found = digest.and_then(|digest| Some((self.index.find(&digest)?, digest)));
        match found {
            Some((account, digest)) => Ok(Caller::Account(account, digest)),
            None => Err(self.unknown_key()),
        }
    }

    /// Decides right before a send whether `account` still has the key by which it was identified.
    ///
    /// # Errors
    ///
    /// Fails if the key was withdrawn, or the copy is too old to tell.
    pub fn confirm(&self, account: &account::Account, digest: &key::Digest) -> Result<(), Refusal> {
        if self.lease.permits(self.age) == lease::Use::Nothing {
            return Err(Refusal::StaleCopy);
        }
        match self.index.find(digest) {
            Some(current) if current.name == account.name => Ok(()),
            Some(_) => Err(Refusal::Reassigned),
            None => Err(self.unknown_key()),
        }
    }

    /// Returns the refusal of a key that no account in the copy has.
    fn unknown_key(&self) -> Refusal {
        match self.lease.permits(self.age) {
            lease::Use::Everything => Refusal::UnknownKey,
            lease::Use::Acceptance | lease::Use::Nothing => Refusal::StaleCopy,
        }
    }
}

/// Returns the regions in which a request may be served, from the restrictions of its route and its
/// account, each of them empty if there is none. Returns `None` if the two have no common region.
pub fn common_regions<'a>(
    route: &'a [String],
    account: &'a [String],
) -> Option<borrow::Cow<'a, [String]>> {
    if account.is_empty() || route == account {
        return Some(borrow::Cow::Borrowed(route));
    }
    if route.is_empty() {
        return Some(borrow::Cow::Borrowed(account));
    }
    let common = route.iter().filter(|region| account.contains(region));
    let common: Vec<_> = common.cloned().collect();
    (!common.is_empty()).then_some(borrow::Cow::Owned(common))
}
